"""Measures the bytes of a unary gRPC call on the wire in addition to its messages."""

import asyncio
from typing import Any

from grpclib.client import Channel
from grpclib.server import Server, Stream
from pollengate_net.grpc_requests import receive_request
from pollengate_net.messages import worker_pb2 as pb
from pollengate_net.messages.worker_grpc import HeartbeatsBase, HeartbeatsStub

from benchmarks.capacity.fits import Fit, Point, fit_line

__all__ = ["measure_framing"]

HOST = "127.0.0.1"
CALL_COUNTS = (50, 200, 800)
CHUNK_BYTES = 65_536


class _EmptyHeartbeats(HeartbeatsBase):
    """Replies to every heartbeat with an empty message."""

    async def Heartbeat(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Replies without a lease."""
        await receive_request(stream)
        await stream.send_message(pb.HeartbeatReply())


class _CountingRelay:
    """A TCP relay between a client and a server that counts the bytes of both directions."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.bytes = 0
        self._connections: list[asyncio.Task[None]] = []

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relays one client connection in a task of its own."""
        self._connections.append(asyncio.create_task(self._serve(reader, writer)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(HOST, self._port)
        await asyncio.gather(
            self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
        )

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            self.bytes += len(chunk)
            writer.write(chunk)
        writer.close()

    async def finish(self) -> None:
        """Waits until every connection is closed."""
        await asyncio.gather(*self._connections)


def measure_framing() -> Fit:
    """Returns the bytes of both directions against the number of calls on one connection.

    The messages are empty, so all bytes are framing.
    """
    return asyncio.run(_measure())


async def _measure() -> Fit:
    server = Server([_EmptyHeartbeats()])
    await server.start(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    points = [Point(calls, await _count_bytes(port, calls)) for calls in CALL_COUNTS]
    server.close()
    await server.wait_closed()
    return fit_line(points)


async def _count_bytes(port: int, calls: int) -> int:
    relay = _CountingRelay(port)
    listener = await asyncio.start_server(relay.accept, HOST, 0)
    channel = Channel(HOST, listener.sockets[0].getsockname()[1])
    stub = HeartbeatsStub(channel)
    for _ in range(calls):
        await stub.Heartbeat(pb.HeartbeatRequest())
    channel.close()
    await relay.finish()
    listener.close()
    await listener.wait_closed()
    return relay.bytes
