"""Tests of callers that do not read the replies of an edge process, on virtual time."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from grpclib.exceptions import GRPCError
from pollengated.edge.rpc import CALL_TIMEOUT_S, MAX_VIEW_REPLIES, EdgeService

from tests.utils import run_virtual

CALLERS = 50


class UnreadStream:
    """A call whose caller has sent its request and never reads.

    Attributes:
        sending: replies of all calls that wait to be read.
    """

    sending = 0

    async def recv_message(self) -> object:
        return mock.Mock(known_change=0)

    async def send_message(self, _: Any) -> None:
        UnreadStream.sending += 1
        try:
            await asyncio.Event().wait()
        finally:
            UnreadStream.sending -= 1


class UnreadReplyTest(unittest.TestCase):
    """Many callers at once."""

    def call(self, method: str) -> tuple[int, list[Any]]:
        """Returns the largest number of replies that waited, and how the calls ended."""

        async def main() -> tuple[int, list[Any]]:
            view = mock.Mock(
                **{"cache.entries_by_key": {}, "cache.revision": 1, "cache.newest_change": 1}
            )
            view.cache.age_s.return_value = 0.0
            shards = mock.Mock(**{"rooms_by_shard.return_value": {}})
            service = EdgeService(shards, view)
            calls = [
                asyncio.create_task(getattr(service, method)(UnreadStream()))
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(CALL_TIMEOUT_S / 2)
            waiting = UnreadStream.sending
            done, _ = await asyncio.wait(calls, timeout=CALLERS * CALL_TIMEOUT_S)
            return waiting, [call.exception() for call in done]

        return run_virtual(main())

    def test_views_that_nobody_reads_do_not_pile_up(self) -> None:
        waiting, errors = self.call("GetView")
        self.assertEqual(MAX_VIEW_REPLIES, waiting)
        self.assertEqual([GRPCError] * CALLERS, [type(error) for error in errors])

    def test_heartbeats_that_nobody_reads_end(self) -> None:
        _, errors = self.call("Heartbeats")
        self.assertEqual([GRPCError] * CALLERS, [type(error) for error in errors])


if __name__ == "__main__":
    unittest.main()
