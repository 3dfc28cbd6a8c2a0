"""Tests of connections with late or malformed request headers, or with unread responses."""

import asyncio
import json
import logging
import unittest
from typing import Any

import uvicorn
from hypothesis import given, settings
from hypothesis import strategies as st
from pollengated.http_protocol import http_protocol
from pollengated.metrics import Metrics
from uvicorn.server import ServerState

from tests.utils import run_virtual

HEAD_TIMEOUT_S = 10.0
RESPONSE_TIMEOUT_S = 5.0


class FakeTransport(asyncio.Transport):
    """A transport that records what was written and when it was closed or aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed_at: float | None = None
        self.aborted_at: float | None = None
        self.unsent = 0
        self.protocol: Any = None

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def close(self) -> None:
        if self.closed_at is None:
            self.closed_at = asyncio.get_running_loop().time()

    def abort(self) -> None:
        self.aborted_at = asyncio.get_running_loop().time()
        self.closed_at = self.aborted_at
        self.protocol.connection_lost(None)

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def is_closing(self) -> bool:
        return self.closed_at is not None

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


async def respond_ok(_: Any, __: Any, send: Any) -> None:
    """An application that responds to every request with status 200."""
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


def connect(metrics: Metrics) -> tuple[Any, FakeTransport]:
    """Returns a connected protocol and its transport."""
    config = uvicorn.Config(respond_ok, log_config=None, lifespan="off", timeout_keep_alive=300)
    config.load()
    protocol = http_protocol(metrics, HEAD_TIMEOUT_S, RESPONSE_TIMEOUT_S)(config, ServerState(), {})
    transport = FakeTransport()
    transport.protocol = protocol
    protocol.connection_made(transport)
    return protocol, transport


async def drive(metrics: Metrics, chunks: list[bytes], pause_s: float) -> FakeTransport:
    """Sends chunks on one connection, then waits until every timer must have fired."""
    protocol, transport = connect(metrics)
    for chunk in chunks:
        if transport.is_closing():
            break
        protocol.data_received(chunk)
        await asyncio.sleep(pause_s)
    await asyncio.sleep(HEAD_TIMEOUT_S * 2)
    return transport


class HttpProtocolTest(unittest.TestCase):
    """Feeds the protocol with bytes in virtual time."""

    def setUp(self) -> None:
        self.metrics = Metrics()
        logger = logging.getLogger("uvicorn.error")
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.ERROR)

    def drive(self, *chunks: bytes, pause_s: float = 1.0) -> FakeTransport:
        return run_virtual(drive(self.metrics, list(chunks), pause_s))

    def assert_problem(self, transport: FakeTransport, status: int, reason: str) -> None:
        head, _, body = transport.written.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(f"HTTP/1.1 {status} ".encode()), head)
        self.assertEqual(reason, json.loads(body)["reason"])
        self.assertEqual("not_run", json.loads(body)["outcome"])
        self.assertEqual({reason: 1}, self.metrics.refusals_by_reason())

    def test_complete_request_gets_a_response_and_keeps_the_connection_open(self) -> None:
        transport = self.drive(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        self.assertTrue(transport.written.startswith(b"HTTP/1.1 200"))
        self.assertIsNone(transport.closed_at)

    def test_silent_connection_is_closed(self) -> None:
        transport = self.drive()
        self.assert_problem(transport, 408, "request_incomplete")
        self.assertEqual(HEAD_TIMEOUT_S, transport.closed_at)

    def test_connection_with_headers_sent_byte_by_byte_is_closed(self) -> None:
        head = b"GET / HTTP/1.1\r\n"
        transport = self.drive(*(bytes([octet]) for octet in head), pause_s=1.0)
        self.assert_problem(transport, 408, "request_incomplete")
        self.assertEqual(HEAD_TIMEOUT_S, transport.closed_at)

    def test_connection_with_late_headers_of_a_second_request_is_closed(self) -> None:
        first = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
        transport = self.drive(first, b"GET / HT", pause_s=3.0)
        self.assertEqual(3.0 + HEAD_TIMEOUT_S, transport.closed_at)

    def stall_response(self, *unsent: int) -> tuple[float | None, float]:
        """Lets the transport report the given numbers of unsent bytes, one second apart.

        Returns:
            The time when the connection was aborted (None if it was not) and the time when the
            last number was set.
        """

        async def main() -> tuple[float | None, float]:
            protocol, transport = connect(self.metrics)
            protocol.data_received(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            transport.unsent = unsent[0]
            protocol.pause_writing()
            for count in unsent[1:]:
                await asyncio.sleep(1.0)
                transport.unsent = count
                if count == 0:
                    protocol.resume_writing()
            last_at = asyncio.get_running_loop().time()
            await asyncio.sleep(RESPONSE_TIMEOUT_S * 3)
            if not transport.is_closing():
                protocol.resume_writing()
            return transport.aborted_at, last_at

        return run_virtual(main())

    def test_response_that_the_client_does_not_read_is_aborted(self) -> None:
        self.assertEqual((RESPONSE_TIMEOUT_S, 0.0), self.stall_response(100_000))

    def test_response_that_the_client_reads_slowly_is_not_aborted(self) -> None:
        aborted_at, _ = self.stall_response(*range(100_000, -1, -5_000))
        self.assertIsNone(aborted_at)

    def test_partly_read_response_is_aborted_once_it_stalls(self) -> None:
        aborted_at, last_at = self.stall_response(100_000, 90_000, 80_000)
        self.assertIsNotNone(aborted_at)
        self.assertLessEqual(aborted_at, last_at + 2 * RESPONSE_TIMEOUT_S)

    def test_malformed_headers_get_a_problem_document(self) -> None:
        self.assert_problem(self.drive(b"\x16\x03\x01 hello\r\n\r\n"), 422, "invalid_request")

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.binary(max_size=40), max_size=5))
    def test_any_bytes_end_in_a_response_or_a_closed_connection(self, chunks: list[bytes]) -> None:
        transport = self.drive(*chunks)
        self.assertTrue(transport.is_closing() or transport.written.startswith(b"HTTP/1.1 "))
