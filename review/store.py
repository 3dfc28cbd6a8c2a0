"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from http_io import Abort, HttpServer, Request

PAGE_ITEMS = 500
VALUE_BYTES = 1_048_576


@dataclass
class _Lease:
    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class Store:
    """The store; `mode` is "up", "reset" (all calls are reset) or "silent" (none is answered)."""

    def __init__(self, host: str) -> None:
        self.server = HttpServer(self._handle, host)
        self.mode = "up"
        self.refused_values = 0
        self._revision = 1
        self._next_lease = 1000
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, _Lease] = {}
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Expires leases; they pause while the store is down."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.mode != "up":
                for lease in self._leases.values():
                    lease.ends_at += now - last
            last = now
            for lease_id, lease in list(self._leases.items()):
                if lease.ends_at <= now:
                    self._end_lease(lease_id)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item, as the operator and the runners do."""
        return self._apply([(key, value, lease)], [])

    def remove(self, key: str) -> None:
        """Removes an item, as the operator and the runners do."""
        if key in self._items:
            self._apply([], [key])

    def put_json(self, key: str, value: Any) -> int:
        return self.put(key, json.dumps(value).encode())

    def get_value(self, key: str) -> bytes | None:
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix: str) -> list[str]:
        return [key for key in self._items if key.startswith(prefix)]

    def _apply(self, puts: Iterable[tuple[str, bytes, int]], removed: Iterable[str]) -> int:
        self._revision += 1
        for key, value, lease in puts:
            known = self._items.get(key)
            if known is not None and known["lease"] in self._leases:
                self._leases[known["lease"]].keys.discard(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": self._revision if known is None else known["created"],
                "lease": lease,
            }
            self._items[key] = item
            self._history.append(item)
            if lease:
                self._leases[lease].keys.add(key)
        for key in removed:
            known = self._items.pop(key, None)
            if known is None:
                continue
            if known["lease"] in self._leases:
                self._leases[known["lease"]].keys.discard(key)
            self._history.append({"key": key, "revision": self._revision, "deleted": True})
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._revision

    def _end_lease(self, lease_id: int) -> bool:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        if lease.keys:
            self._apply([], list(lease.keys))
        return True

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if self.mode == "reset":
            raise Abort
        if self.mode == "silent":
            await asyncio.sleep(60)
            raise Abort
        name = request.path.removeprefix("/v1/")
        if name == "kv-key":
            item = self._items.get(request.query["key"])
            return (404, None) if item is None else (200, item | {"currentRev": self._revision})
        if name == "kv-range":
            return 200, self._range(request.query["prefix"], request.query.get("after", ""))
        if name == "kv-watch":
            return await self._watch(request.query)
        if name == "kv-txn":
            return self._txn(request.body)
        if name == "kv-lease":
            self._next_lease += 1
            ttl_s = request.body["ttlMs"] / 1000
            self._leases[self._next_lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self._next_lease, "ttlMs": request.body["ttlMs"]}
        if name.startswith("kv-keep/"):
            lease = self._leases.get(int(name.rpartition("/")[2]))
            if lease is None:
                return 404, None
            lease.ends_at = time.monotonic() + lease.ttl_s
            return 200, {"ttlMs": int(lease.ttl_s * 1000)}
        if name.startswith("kv-lease-end/"):
            return (200 if self._end_lease(int(name.rpartition("/")[2])) else 404), None
        return 400, None

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return {"items": items, "truncated": truncated, "currentRev": self._revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after"]), query["prefix"]
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = ends_at - time.monotonic()
            if found or remaining_s <= 0:
                return 200, {"events": found, "currentRev": self._revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected = [(row["key"], row["revision"]) for row in body.get("expect", [])]
        if any(self._revision_of(key) != revision for key, revision in expected):
            current = [self._items[key] for key, _ in expected if key in self._items]
            return 412, {"items": current}
        puts = [
            (put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for put in body.get("puts", [])
        ]
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, None
        if any(len(value) > VALUE_BYTES for _, value, _ in puts):
            self.refused_values += 1
            return 400, {"error": "a value is longer than valueBytes"}
        if any(lease and lease not in self._leases for _, _, lease in puts):
            return 404, None
        return 200, {"revision": self._apply(puts, body.get("remove", []))}

    def _revision_of(self, key: str) -> int:
        item = self._items.get(key)
        return 0 if item is None else item["revision"]
