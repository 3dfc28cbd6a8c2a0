"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A request with a decoded JSON body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


class Abort(Exception):
    """Raised by a handler to reset the connection without a response."""


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


class HttpServer:
    """Serves one address; `stop` resets all connections."""

    def __init__(self, handler: Handler, host: str, port: int = 0) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.host, self.port = host, port

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                status, body = await self._handler(request)
                content = b"" if body is None else json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (Abort, ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    read = await _read_head(reader)
    if read is None:
        return None
    first, headers = read
    method, target, _ = first.split(" ")
    content = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urlsplit(target)
    body = json.loads(content) if content else None
    return Request(method, url.path, dict(parse_qsl(url.query)), headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Makes one call on a new connection; returns status 0 if there is no complete response."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            content = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}"]
            lines += [f"Content-Length: {len(content)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + content)
            read = await _read_head(reader)
            if read is None:
                return 0, None
            status = int(read[0].split(" ")[1])
            received = await reader.readexactly(int(read[1].get("content-length", "0")))
            with contextlib.suppress(ValueError):
                return status, json.loads(received)
            return status, None
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
