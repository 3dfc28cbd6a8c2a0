"""A store stand-in that serves the JSON gateway of etcd v3 from an in-memory store."""

import base64
import json
from collections.abc import AsyncIterator
from typing import Any

from litestar import Litestar, post
from litestar.response import Response, Stream
from pollengate.memory_store import MemoryStore
from pollengate.store import (
    Delete,
    Entry,
    Operation,
    Put,
    Store,
    StoreFailure,
    Unchanged,
    WatchEvent,
)
from result import Err

__all__ = ["create_store_app"]


def create_store_app(store: Store | None = None) -> Litestar:
    """Returns the HTTP application, which serves `store` or, if None, a new in-memory store."""
    state = _Gateway(store if store is not None else MemoryStore())

    @post("/v3/kv/range", status_code=200)
    async def range_keys(data: dict[str, Any]) -> Response[Any]:
        return await state.range_keys(data)

    @post("/v3/kv/txn", status_code=200)
    async def txn(data: dict[str, Any]) -> Response[Any]:
        return await state.txn(data)

    @post("/v3/lease/grant", status_code=200)
    async def grant(data: dict[str, Any]) -> Response[Any]:
        result = await state.store.grant_lease(int(data["TTL"]))
        return _respond(result.map(lambda lease_id: {"ID": str(lease_id), "TTL": data["TTL"]}))

    @post("/v3/lease/keepalive", status_code=200)
    async def keep_alive(data: dict[str, Any]) -> Response[Any]:
        result = await state.store.renew_lease(int(data["ID"]))
        return _respond(
            result.map(
                lambda remaining_s: {"result": {"ID": data["ID"], "TTL": str(int(remaining_s))}}
            )
        )

    @post("/v3/lease/revoke", status_code=200)
    async def revoke(data: dict[str, Any]) -> Response[Any]:
        result = await state.store.revoke_lease(int(data["ID"]))
        return _respond(result.map(lambda _: {}))

    @post("/v3/watch", status_code=200)
    async def watch(data: dict[str, Any]) -> Stream:
        return Stream(state.watch(data["create_request"]))

    return Litestar([range_keys, txn, grant, keep_alive, revoke, watch], logging_config=None)


class _Gateway:
    def __init__(self, store: Store) -> None:
        self.store = store

    async def range_keys(self, request: dict[str, Any]) -> Response[Any]:
        key = _decode(request["key"])
        if request.get("range_end"):
            listing = await self.store.list(key)
            return _respond(listing.map(lambda found: _range_body(found.entries, found.revision)))
        entry = await self.store.get(key)
        return _respond(entry.map(lambda found: _range_body((found,) if found else (), 0)))

    async def txn(self, request: dict[str, Any]) -> Response[Any]:
        conditions = [
            Unchanged(_decode(compare["key"]), int(compare["mod_revision"]))
            for compare in request.get("compare", ())
        ]
        operations = [_operation(operation) for operation in request.get("success", ())]
        result = await self.store.commit(conditions, operations)
        if isinstance(result, Err):
            return _respond(result)
        commit = result.ok_value
        body: dict[str, Any] = {"header": {"revision": str(commit.revision)}}
        if commit.succeeded:
            body["succeeded"] = True
        else:
            body["responses"] = [
                {"response_range": _range_body((entry,), commit.revision)}
                for entry in commit.current
            ]
        return Response(body)

    async def watch(self, request: dict[str, Any]) -> AsyncIterator[bytes]:
        yield _line({"created": True})
        prefix = _decode(request["key"])
        from_revision = int(request.get("start_revision", "0"))
        async for event in self.store.watch(prefix, from_revision):
            yield _line({"events": [_event(event)]})


def _respond(result: Any) -> Response[Any]:
    if isinstance(result, Err):
        failure: StoreFailure = result.err_value
        return Response({"error": failure.detail, "code": 3}, status_code=400)
    return Response(result.ok_value)


def _decode(value: str) -> str:
    return base64.b64decode(value).decode()


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _operation(operation: dict[str, Any]) -> Operation:
    put = operation.get("request_put")
    if put is None:
        return Delete(_decode(operation["request_delete_range"]["key"]))
    value = base64.b64decode(put["value"])
    return Put(_decode(put["key"]), value, int(put.get("lease", "0")))


def _entry(entry: Entry) -> dict[str, str]:
    return {
        "key": _encode(entry.key.encode()),
        "value": _encode(entry.value),
        "mod_revision": str(entry.revision),
        "create_revision": str(entry.created_revision),
        "lease": str(entry.lease_id),
    }


def _range_body(entries: tuple[Entry, ...], revision: int) -> dict[str, Any]:
    return {
        "header": {"revision": str(revision)},
        "kvs": [_entry(entry) for entry in entries],
        "count": str(len(entries)),
    }


def _event(event: WatchEvent) -> dict[str, Any]:
    if event.entry is None:
        key = _encode(event.key.encode())
        return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(event.revision)}}
    return {"type": "PUT", "kv": _entry(event.entry)}


def _line(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"
