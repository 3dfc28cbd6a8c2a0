"""Tests of how late configurations come into force over slow links, on virtual time."""

import asyncio
import json
import unittest

from pollengate.memory_store import MemoryStore
from pollengate.store import (
    Changes,
    Entry,
    FailureKind,
    Listing,
    Put,
    StoreFailure,
    Transfer,
)
from pollengate_platform.http import HttpClient, HttpFailure, HttpResponse
from pollengated.edge.clocks import Clocks
from pollengated.edge.operator_view import OperatorView
from result import Err, Ok, Result

from tests.utils import poll_until, run_virtual

ROUTES = 1_400
# The operators' bound on the time until a version is in force, where links have 5 Mbit/s.
CONFIG_S = 3.0
SITE_BYTES_PER_S = 625_000
SLOW_BYTES_PER_S = 250_000
STORM_GAP_S = 0.33
ROUND_TRIP_S = 0.01
PARTS = 20


def encode(version: int) -> bytes:
    """Returns a configuration of many routes."""
    route = {
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": "huvo11a",
        "maxAttempts": 4,
        "stretch": 1.5,
    }
    routes = [
        {"name": f"r-{n:06d}", "host": f"h{n:06d}.example", "prefix": f"/x{n:06d}/"} | route
        for n in range(ROUTES)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


def sent_bytes(entries: list[Entry]) -> int:
    """Returns the length of a response with entries."""
    return sum(len(entry.value) * 4 // 3 for entry in entries)


class SlowLinkStore(MemoryStore):
    """A store behind a link that carries one byte after the other, whatever the calls.

    Args:
        bytes_per_s: rate of the link.
    """

    def __init__(self, bytes_per_s: float) -> None:
        super().__init__()
        self._bytes_per_s = bytes_per_s
        self._link = asyncio.Lock()

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Polls; receives the response, unless it is too long."""
        found = (await super().changes(prefix, after_revision, wait_s)).unwrap()
        size = sent_bytes([event.entry for event in found.events if event.entry is not None])
        if max_bytes is not None and size > max_bytes:
            await asyncio.sleep(ROUND_TRIP_S)
            return Err(StoreFailure(FailureKind.TOO_LONG, "too long"))
        return Ok(Changes(found.events, found.revision, await self._receive(size)))

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Lists, and receives the response."""
        found = (await super().list(prefix)).unwrap()
        transfer = await self._receive(sent_bytes(list(found.entries)))
        return Ok(Listing(found.entries, found.revision, transfer))

    async def _receive(self, size: int) -> Transfer:
        began_at = asyncio.get_running_loop().time()
        async with self._link:
            await asyncio.sleep(ROUND_TRIP_S + size / self._bytes_per_s)
        return Transfer(size, asyncio.get_running_loop().time() - began_at)


class ConfigurationLagTest(unittest.TestCase):
    """Guards against a lag that grows with the versions that a process has missed."""

    async def play(self, bytes_per_s: float, versions: int) -> float:
        """Writes versions in quick succession; returns how late the last one is in force."""
        store = SlowLinkStore(bytes_per_s)
        await store.commit((), (Put("op/config", encode(1)),))
        view = OperatorView(store, Clocks.of_loop())
        running = asyncio.create_task(view.cache.run())
        await asyncio.sleep(20.0)
        for version in range(2, versions + 2):
            await asyncio.sleep(STORM_GAP_S)
            await store.commit((), (Put("op/config", encode(version)),))
        written_at = asyncio.get_running_loop().time()
        await poll_until(lambda: view.deployment is not None and view.deployment.version > versions)
        running.cancel()
        return asyncio.get_running_loop().time() - written_at

    def test_last_version_of_a_storm_is_in_force_in_time_over_the_slowest_link(self) -> None:
        lag_s = run_virtual(self.play(SITE_BYTES_PER_S, 12))
        self.assertLess(lag_s, CONFIG_S)

    def test_lag_is_bounded_by_the_newest_version_and_not_by_their_number(self) -> None:
        version_s = len(encode(1)) * 4 / 3 / SLOW_BYTES_PER_S + ROUND_TRIP_S
        for versions in (1, 2, 5, 12, 40):
            with self.subTest(versions=versions):
                lag_s = run_virtual(self.play(SLOW_BYTES_PER_S, versions))
                # One transfer may have begun just before the last version was written.
                self.assertLess(lag_s, 2 * version_s + 5 * ROUND_TRIP_S)

    def test_single_version_is_received_once(self) -> None:
        version_s = len(encode(1)) * 4 / 3 / SLOW_BYTES_PER_S + ROUND_TRIP_S
        self.assertLess(run_virtual(self.play(SLOW_BYTES_PER_S, 1)), version_s + 3 * ROUND_TRIP_S)


class LongResponseTest(unittest.TestCase):
    """Guards against a response that is received although it is longer than is accepted."""

    def call(self, head: bytes, max_bytes: int) -> tuple[Result[HttpResponse, HttpFailure], int]:
        """Calls a server whose body goes on; returns the result and the bytes that it sent."""
        sent = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            try:
                while sent < 40_000_000:
                    writer.write(b"1000\r\n" + b"x" * 4096 + b"\r\n")
                    sent += 4096
                    await writer.drain()
            except ConnectionError:
                pass
            writer.close()

        async def main() -> Result[HttpResponse, HttpFailure]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = HttpClient()
            url = f"http://127.0.0.1:{port}/x"
            result = await client.call("GET", url, 5.0, is_bulk=True, max_bytes=max_bytes)
            await client.close()
            server.close()
            return result

        return asyncio.run(main()), sent

    def test_response_that_says_its_length_is_not_received(self) -> None:
        result, _ = self.call(b"HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n", 100_000)
        self.assertTrue(result.unwrap_err().is_too_long)

    def test_response_in_chunks_is_given_up_once_it_is_too_long(self) -> None:
        result, sent = self.call(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 100_000)
        self.assertTrue(result.unwrap_err().is_too_long)
        self.assertLess(sent, 40_000_000)


if __name__ == "__main__":
    unittest.main()
