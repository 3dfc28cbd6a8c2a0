"""A stand-in of the platform's store: one set of keys, served at an address for each machine."""

import asyncio
import base64
import itertools
import json
import time
from collections.abc import Awaitable, Callable

from http_3 import NoReply, Request, Server

PAGE_ITEMS = 500
ANSWER_S = 0.004
# Called before a call is handled; may sleep, raise `NoReply` or `Reset`, or return a status.
Hook = Callable[[Request], Awaitable[int | None]]


class Store:
    """Items, leases and their history. All calls are handled in the order of their arrival."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 1
        self._events: list[dict] = []
        self._leases: dict[int, list] = {}
        self._numbers = itertools.count(7001)
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task | None = None
        self.hooks: dict[str, Hook] = {}
        self.servers: dict[str, Server] = {}

    async def open(self, name: str) -> str:
        """Returns an address of the store for the machine with this name."""

        async def handle(request: Request) -> tuple[int, object]:
            hook = self.hooks.get(name)
            if hook is not None:
                status = await hook(request)
                if status is not None:
                    return status, {}
            await asyncio.sleep(ANSWER_S)
            return await self.handle(request)

        self.servers[name] = Server(handle)
        if self._expiry is None:
            self._expiry = asyncio.create_task(self._expire())
        return await self.servers[name].start("127.0.0.1")

    def put(self, key: str, document: object, lease: int = 0) -> None:
        """Writes a key as the operator, a runner or the platform."""
        self.revision += 1
        raw = document if isinstance(document, bytes) else json.dumps(document).encode()
        self._put(key, base64.b64encode(raw).decode(), lease)
        self._notify()

    def remove(self, key: str) -> None:
        """Removes a key as the operator, a runner or the platform."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def value(self, key: str) -> object:
        """Returns the document of a key, None if it is absent."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def revoke(self, key: str) -> None:
        """Ends the lease of a key at once."""
        item = self.items.get(key)
        if item is not None and item["lease"]:
            self._end_lease(item["lease"])

    async def handle(self, request: Request) -> tuple[int, object]:
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"currentRev": self.revision})
        if path == "/v1/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if path == "/v1/kv-txn":
            return self._commit(request.json())
        if path == "/v1/kv-lease":
            ttl_ms = max(1000, int(request.json()["ttlMs"]))
            number = next(self._numbers)
            self._leases[number] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": number, "ttlMs": ttl_ms}
        kind, _, number = path.rpartition("/")
        if kind == "/v1/kv-keep":
            lease = self._leases.get(int(number))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttlMs": lease[0]}
        if kind == "/v1/kv-lease-end":
            if int(number) not in self._leases:
                return 404, {}
            self._end_lease(int(number))
            return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, object]:
        until = time.monotonic() + wait_ms / 1000
        while True:
            changed = self._changed
            events = [e for e in self._events if e["revision"] > after and self._is(e, prefix)]
            remaining_s = until - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                pass

    @staticmethod
    def _is(event: dict, prefix: str) -> bool:
        return event["key"].startswith(prefix)

    def _commit(self, call: dict) -> tuple[int, object]:
        expected = call.get("expect", [])
        found = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = found[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in found.values() if item]}
        puts = call.get("puts", [])
        if any(put["lease"] and put["lease"] not in self._leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put["lease"])
        for key in call.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        created = known["created"] if known else self.revision
        item = {"key": key, "value": value, "revision": self.revision}
        item |= {"created": created, "lease": lease}
        self.items[key] = item
        self._events.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._events.append({"key": key, "revision": self.revision, "deleted": True})

    def _end_lease(self, number: int) -> None:
        self._leases.pop(number, None)
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == number]:
            self._remove(key)
        self._notify()

    def _notify(self) -> None:
        del self._events[:-20_000]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [n for n, lease in self._leases.items() if lease[1] <= now]:
                self._end_lease(number)


async def silent(_: Request) -> None:
    """A hook: the store doesn't answer."""
    raise NoReply


async def busy(_: Request) -> int:
    """A hook: the store turns the machine away."""
    return 503
