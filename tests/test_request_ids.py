"""Tests of request ids across a call between processes."""

import unittest
from typing import Any

from grpclib.testing import ChannelFor
from pollengate_net.messages import scheduler_pb2 as pb
from pollengate_net.messages.scheduler_grpc import SchedulerBase, SchedulerStub
from pollengate_net.request_ids import (
    current_request_id,
    set_request_id,
    trace_channel,
    trace_server,
)

from tests.utils import run_virtual


class SchedulerFake(SchedulerBase):
    """Answers a status with the request id that it works on."""

    async def Status(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.StatusReply(process_id=current_request_id()))

    async def _refuse(self, stream: Any) -> None:
        raise NotImplementedError

    Submit = Show = Cancel = List = _refuse


class RequestIdTest(unittest.TestCase):
    """Calls a server in memory."""

    def call(self, request_id: str | None) -> tuple[str, list[str]]:
        """Returns the id that the server saw, and the calls that it reported."""
        calls: list[str] = []

        async def main() -> str:
            server = ChannelFor([SchedulerFake()])
            async with server as channel:
                trace_channel(channel)
                trace_server(server._server, calls.append)
                if request_id is not None:
                    set_request_id(request_id)
                reply = await SchedulerStub(channel).Status(pb.StatusRequest())
                return str(reply.process_id)

        return run_virtual(main()), calls

    def test_id_of_the_request_reaches_the_server(self) -> None:
        method = "/pollengate.scheduler.v1.Scheduler/Status"
        self.assertEqual(("match-7", [method]), self.call("match-7"))

    def test_call_outside_a_request_has_no_id(self) -> None:
        self.assertEqual(("", []), self.call(None))
