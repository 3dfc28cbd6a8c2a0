"""Tests of the backend client over loopback connections to a scripted server."""

import asyncio
import gzip
import unittest
from collections.abc import Awaitable, Callable

from pollengate.backend_client import (
    BackendRequest,
    BackendResponse,
    ExchangeFailure,
    ResponseTruncatedError,
)
from pollengate.request_outcomes import FailurePoint, Sent
from pollengate_net.http_backend import BODY_BUFFER_BYTES, HttpBackendClient
from result import Err, Ok, Result

Script = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Exchange = Result[BackendResponse, ExchangeFailure]


class ScriptedServer:
    """Server that reads request heads and lets a script respond to them.

    Attributes:
        heads: the request heads received so far.
        connections: number of connections accepted so far.
        address: `ip:port` of the server, empty before `start`.
    """

    def __init__(self, script: Script) -> None:
        self.heads: list[bytes] = []
        self.connections = 0
        self.address = ""
        self._script = script

    async def start(self) -> asyncio.Server:
        """Starts the server on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self._script(head, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def exchange_id_of(head: bytes) -> bytes:
    """Returns the exchange id in a request head."""
    return head.partition(b"pollengate-request-id: ")[2].partition(b"\r\n")[0]


def encode_response(
    head: bytes, body: bytes, *header_lines: bytes, status: bytes = b"200 OK"
) -> bytes:
    """Returns a response with the exchange id of a request and the given header lines."""
    all_header_lines = (b"pollengate-request-id: " + exchange_id_of(head), *header_lines)
    return b"HTTP/1.1 " + status + b"\r\n" + b"\r\n".join(all_header_lines) + b"\r\n\r\n" + body


def respond_with(*header_lines: bytes, body: bytes = b"whole", status: bytes = b"200 OK") -> Script:
    """Returns a script that sends the same response to every request.

    Args:
        *header_lines: header lines; by default only the content length.
        body: the response body.
        status: status code and reason phrase.
    """

    async def script(head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sent_header_lines = header_lines or (b"content-length: %d" % len(body),)
        writer.write(encode_response(head, body, *sent_header_lines, status=status))

    return script


async def build_request(
    exchange_id: str = "x.1", idle_timeout_s: float | None = 0.3, **fields: object
) -> BackendRequest:
    """Returns a request with a deadline in two seconds; `fields` replace the default fields."""
    deadline = asyncio.get_running_loop().time() + 2.0
    values: dict[str, object] = {
        "method": b"GET",
        "target": b"/services/s/a%2Fb?q=1%202",
        "headers": ((b"x-a", b"1"), (b"x-a", b"2")),
        "body": b"",
    }
    values |= fields
    return BackendRequest(  # type: ignore[arg-type]
        **values, exchange_id=exchange_id, deadline=deadline, idle_timeout_s=idle_timeout_s
    )


class HttpBackendTest(unittest.TestCase):
    """Complete, streamed and failed exchanges."""

    def exchange(self, script: Script, count: int = 1, **fields: object) -> list[Exchange]:
        """Makes `count` exchanges with a new server, one after the other."""

        async def main() -> list[Exchange]:
            client = HttpBackendClient()
            async with await self.server.start():
                results = []
                for number in range(count):
                    request = await build_request(f"x.{number}", **fields)  # type: ignore[arg-type]
                    results.append(await client.exchange(self.server.address, request))
                await client.close()
                return results

        self.server = ScriptedServer(script)
        return asyncio.run(main())

    def assert_fails(self, script: Script, point: FailurePoint, sent: Sent = Sent.WHOLE) -> None:
        result = self.exchange(script)[0]
        self.assertIsInstance(result, Err)
        failure = result.unwrap_err()
        self.assertEqual((point, sent), (failure.point, failure.sent), failure)

    def test_query_and_repeated_headers_arrive_as_sent(self) -> None:
        self.exchange(respond_with())
        head = self.server.heads[0]
        self.assertTrue(head.startswith(b"GET /services/s/a%2Fb?q=1%202 HTTP/1.1\r\n"), head)
        self.assertIn(b"x-a: 1\r\nx-a: 2\r\n", head)

    def test_encoded_body_is_not_decoded(self) -> None:
        body = gzip.compress(b"standings" * 50)
        header_lines = (b"content-encoding: gzip", b"content-length: %d" % len(body))
        result = self.exchange(respond_with(*header_lines, body=body))[0].unwrap()
        self.assertEqual(body, result.body)
        self.assertIn((b"content-encoding", b"gzip"), result.headers)

    def test_repeated_response_headers_stay_separate(self) -> None:
        header_lines = (b"set-cookie: a=1", b"set-cookie: b=2", b"content-length: 5")
        result = self.exchange(respond_with(*header_lines))[0].unwrap()
        cookies = [value for name, value in result.headers if name == b"set-cookie"]
        self.assertEqual([b"a=1", b"b=2"], cookies)

    def test_responses_without_a_body(self) -> None:
        for status, method in ((b"204 No Content", b"GET"), (b"304 Not Modified", b"GET")):
            script = respond_with(b"etag: a", body=b"", status=status)
            results = self.exchange(script, count=2, method=method)
            self.assertEqual([b"", b""], [result.unwrap().body for result in results])
            self.assertEqual(1, self.server.connections)

    def test_response_to_head_keeps_its_content_length(self) -> None:
        script = respond_with(b"content-length: 500", body=b"")
        results = self.exchange(script, count=2, method=b"HEAD")
        self.assertIn((b"content-length", b"500"), results[1].unwrap().headers)
        self.assertEqual(1, self.server.connections)

    def test_connections_are_reused(self) -> None:
        self.exchange(respond_with(), count=20)
        self.assertEqual(1, self.server.connections)

    def test_refused_connection(self) -> None:
        async def main() -> Exchange:
            server = ScriptedServer(respond_with())
            (await server.start()).close()
            return await HttpBackendClient().exchange(server.address, await build_request())

        failure = asyncio.run(main()).unwrap_err()
        self.assertEqual((FailurePoint.CONNECT_FAILED, Sent.NOTHING), (failure.point, failure.sent))

    def test_reset_before_the_response(self) -> None:
        async def script(_: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        self.assert_fails(script, FailurePoint.CONNECTION_LOST)

    def test_closed_before_the_response(self) -> None:
        async def script(_: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        self.assert_fails(script, FailurePoint.CONNECTION_LOST)

    def test_reset_during_the_request(self) -> None:
        async def script(_: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        body = b"x" * 50_000_000
        failure = self.exchange(script, method=b"POST", body=body)[0].unwrap_err()
        self.assertEqual(FailurePoint.CONNECTION_LOST, failure.point)
        self.assertNotEqual(Sent.NOTHING, failure.sent)

    def test_truncated_response(self) -> None:
        async def script(
            head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(encode_response(head, b"wh", b"content-length: 5"))
            writer.close()

        self.assert_fails(script, FailurePoint.ANSWER_CUT_SHORT)

    def test_truncated_chunked_response(self) -> None:
        async def script(
            head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(encode_response(head, b"5\r\nwhole\r\n", b"transfer-encoding: chunked"))
            writer.close()

        self.assert_fails(script, FailurePoint.ANSWER_CUT_SHORT)

    def test_stalled_response(self) -> None:
        self.assert_fails(respond_with(b"content-length: 9"), FailurePoint.ANSWER_CUT_SHORT)

    def test_malformed_response(self) -> None:
        async def script(_: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"nonsense\r\n\r\n")

        self.assert_fails(script, FailurePoint.ANSWER_MALFORMED)

    def test_excess_bytes_after_a_response_are_not_read_as_the_next_response(self) -> None:
        extra = b"HTTP/1.1 200 OK\r\npollengate-request-id: x.0\r\ncontent-length: 3\r\n\r\nold"
        script = respond_with(b"content-length: 5", body=b"whole" + extra)
        for result in self.exchange(script, count=3):
            if isinstance(result, Ok):
                self.assertEqual(b"whole", result.ok_value.body)

    def test_response_to_another_request(self) -> None:
        async def script(_: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(
                encode_response(b"pollengate-request-id: y.9\r\n", b"old", b"content-length: 3")
            )

        self.assert_fails(script, FailurePoint.ANSWER_TO_ANOTHER_REQUEST)
        results = self.exchange(script, count=2)
        self.assertEqual(2, self.server.connections)
        self.assertTrue(all(isinstance(result, Err) for result in results))

    def test_status_503_means_not_run_only_with_the_header(self) -> None:
        status = b"503 Service Unavailable"
        not_run_response = respond_with(
            b"pollengate-not-run: true", b"content-length: 5", status=status
        )
        self.assert_fails(not_run_response, FailurePoint.REFUSED_BY_BACKEND)
        plain_unavailable = self.exchange(respond_with(b"content-length: 5", status=status))[0]
        self.assertEqual(503, plain_unavailable.unwrap().status)

    def test_connection_without_response_is_not_reused(self) -> None:
        """The server ignores requests 2 and 3; the request after each opens a new connection."""
        received = 0

        async def script(
            head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal received
            received += 1
            if received in (2, 3):
                await reader.read()
                return
            writer.write(encode_response(head, b"whole", b"content-length: 5"))

        results = self.exchange(script, count=4)
        self.assertEqual([True, False, False, True], [isinstance(r, Ok) for r in results])
        self.assertEqual(FailurePoint.SILENT, results[1].unwrap_err().point)
        self.assertEqual(4, self.server.connections + 1)

    def stream(self, script: Script) -> bytes:
        async def main() -> bytes:
            client = HttpBackendClient()
            async with await self.server.start():
                result = (
                    await client.exchange(self.server.address, await build_request())
                ).unwrap()
                body = result.body
                try:
                    assert result.remaining_body is not None
                    async for chunk in result.remaining_body:
                        body += chunk
                finally:
                    await result.close()
                    await client.close()
                return body

        self.server = ScriptedServer(script)
        return asyncio.run(main())

    def test_long_response_is_streamed_completely(self) -> None:
        body = bytes(range(256)) * (BODY_BUFFER_BYTES // 100)
        self.assertEqual(body, self.stream(respond_with(body=body)))

    def test_truncated_streamed_response_raises(self) -> None:
        async def script(
            head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            body = b"x" * (BODY_BUFFER_BYTES * 2)
            writer.write(encode_response(head, body, b"content-length: %d" % (len(body) + 1)))
            await writer.drain()
            writer.close()

        with self.assertRaises(ResponseTruncatedError):
            self.stream(script)
