"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of this review."""

import asyncio
import contextlib
import json
import urllib.parse
from collections.abc import Awaitable, Callable

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


class NoReply(Exception):
    """Raised by a handler: the connection stays open, and nothing is answered on it."""


class Reset(Exception):
    """Raised by a handler: the connection is reset."""


class Request:
    """A request that was read completely."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.headers = headers
        self.body = body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))

    def json(self) -> dict:
        return json.loads(self.body) if self.body else {}


Handler = Callable[[Request], Awaitable[tuple[int, object]]]


class Server:
    """Serves one address; `close` ends all of its connections.

    Attributes:
        life: connections of an earlier life are silent, and are reset by what arrives on them, as
            with a machine that has lost power and is up again.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.address = ""
        self.life = 0

    @property
    def is_open(self) -> bool:
        return self._server is not None

    async def start(self, host: str, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self.abort_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        life = self.life
        try:
            while (request := await read_request(reader)) is not None:
                if life != self.life:
                    writer.transport.abort()
                    return
                try:
                    status, document = await self._handler(request)
                except NoReply:
                    await reader.read(1)
                    if life != self.life:
                        writer.transport.abort()
                    await asyncio.sleep(3600)
                    return
                except Reset:
                    writer.transport.abort()
                    return
                body = b"" if document is None else json.dumps(document).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request, None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, head[1], body)


async def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict] | None:
    """Makes one call on a connection of its own; returns None without a complete response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if document is None else json.dumps(document).encode()
            lines = {"Host": address, "Content-Length": str(len(body)), "Connection": "close"}
            if body:
                lines["Content-Type"] = "application/json"
            lines |= headers or {}
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                return None
            status = int(found[0].split(" ")[1])
            length = int(found[1].get("content-length", "0"))
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else {}
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
