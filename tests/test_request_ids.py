"""Tests that request ids are passed along in calls between processes."""

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


class FakeScheduler(SchedulerBase):
    """Scheduler that replies to status calls with the current request id as its process id."""

    async def Status(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.StatusReply(process_id=current_request_id()))

    async def _raise_not_implemented(self, stream: Any) -> None:
        raise NotImplementedError

    Submit = Show = Cancel = List = _raise_not_implemented


class RequestIdTest(unittest.TestCase):
    """Calls an in-memory server."""

    def call_status(self, request_id: str | None) -> tuple[str, list[str]]:
        """Calls `Status` and returns the id that the server received and the methods it traced.

        Args:
            request_id: current request id of the caller, None if it has none.
        """
        calls: list[str] = []

        async def main() -> str:
            server = ChannelFor([FakeScheduler()])
            async with server as channel:
                trace_channel(channel)
                trace_server(server._server, calls.append)
                if request_id is not None:
                    set_request_id(request_id)
                reply = await SchedulerStub(channel).Status(pb.StatusRequest())
                return str(reply.process_id)

        return run_virtual(main()), calls

    def test_server_receives_the_request_id_of_the_caller(self) -> None:
        method = "/pollengate.scheduler.v1.Scheduler/Status"
        self.assertEqual(("match-7", [method]), self.call_status("match-7"))

    def test_call_outside_a_request_has_no_request_id(self) -> None:
        self.assertEqual(("", []), self.call_status(None))
