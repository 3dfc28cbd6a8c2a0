"""Client of the platform's store, over the JSON gateway of the etcd v3 API."""

import base64
import json
import math
from collections.abc import AsyncIterator, Sequence
from typing import Any

import httpx
from pollengate.store import (
    CommitResult,
    Entry,
    FailureKind,
    Listing,
    Operation,
    Put,
    Store,
    StoreFailure,
    Unchanged,
    WatchEvent,
)
from result import Err, Ok, Result

__all__ = ["EtcdStore", "prefix_end"]

CALL_TIMEOUT_S = 1.0
WATCH_READ_TIMEOUT_S = 30.0


class EtcdStore(Store):
    """A store that is called over the HTTP paths of the etcd JSON gateway."""

    def __init__(self, address: str) -> None:
        self._client = httpx.AsyncClient(base_url=f"http://{address}", timeout=CALL_TIMEOUT_S)

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Reads one key; returns None if it does not exist."""
        response = await self._call("/v3/kv/range", {"key": _encode_base64(key.encode())})
        return response.map(lambda body: next(iter(_decode_entries(body)), None))

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys that start with a prefix, and the store revision."""
        request = {
            "key": _encode_base64(prefix.encode()),
            "range_end": _encode_base64(prefix_end(prefix)),
        }
        response = await self._call("/v3/kv/range", request)
        return response.map(
            lambda body: Listing(tuple(_decode_entries(body)), _decode_revision(body))
        )

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies all operations in one transaction if all conditions hold."""
        request = {
            "compare": [_encode_condition(condition) for condition in conditions],
            "success": [_encode_operation(operation) for operation in operations],
            "failure": [
                {"request_range": {"key": _encode_base64(condition.key.encode())}}
                for condition in conditions
            ],
        }
        response = await self._call("/v3/kv/txn", request)
        return response.map(_decode_commit)

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Creates a lease, of `ttl_s` rounded up to whole seconds, and returns its id."""
        response = await self._call("/v3/lease/grant", {"TTL": str(math.ceil(ttl_s))})
        return response.map(lambda body: int(body["ID"]))

    async def renew_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Renews a lease and returns its remaining seconds, 0 if it has expired."""
        response = await self._call("/v3/lease/keepalive", {"ID": str(lease_id)})
        return response.map(lambda body: float(body["result"].get("TTL", "0")))

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Revokes a lease; the store deletes the keys that are attached to it."""
        response = await self._call("/v3/lease/revoke", {"ID": str(lease_id)})
        return response.map(lambda _: None)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes of all keys that start with a prefix.

        Ends if the connection is lost or nothing is received for `WATCH_READ_TIMEOUT_S`.

        Args:
            prefix: the prefix.
            from_revision: store revision of the first change to yield.
        """
        request = {
            "create_request": {
                "key": _encode_base64(prefix.encode()),
                "range_end": _encode_base64(prefix_end(prefix)),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }
        timeout = httpx.Timeout(CALL_TIMEOUT_S, read=WATCH_READ_TIMEOUT_S)
        try:
            async with self._client.stream(
                "POST", "/v3/watch", json=request, timeout=timeout
            ) as response:
                async for line in response.aiter_lines():
                    for event in _decode_watch_events(line):
                        yield event
        except httpx.HTTPError:
            return

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    async def _call(self, path: str, request: dict[str, Any]) -> Result[Any, StoreFailure]:
        try:
            response = await self._client.post(path, json=request)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Err(StoreFailure(FailureKind.NOT_SENT, _describe(error)))
        except httpx.HTTPError as error:
            return Err(StoreFailure(FailureKind.UNKNOWN, _describe(error)))
        if response.status_code >= 500:
            return Err(StoreFailure(FailureKind.UNKNOWN, f"status {response.status_code}"))
        if response.status_code >= 400:
            return Err(StoreFailure(FailureKind.REJECTED, response.text))
        return Ok(response.json())


def prefix_end(prefix: str) -> bytes:
    """Returns the end, exclusive, of the range of the keys that start with `prefix`."""
    encoded = prefix.encode()
    return encoded[:-1] + bytes([encoded[-1] + 1])


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode_base64(value: str) -> bytes:
    return base64.b64decode(value)


def _decode_entry(fields: dict[str, str]) -> Entry:
    return Entry(
        key=_decode_base64(fields["key"]).decode(),
        value=_decode_base64(fields.get("value", "")),
        revision=int(fields["mod_revision"]),
        created_revision=int(fields["create_revision"]),
        lease_id=int(fields.get("lease", "0")),
    )


def _decode_entries(body: dict[str, Any]) -> list[Entry]:
    return [_decode_entry(fields) for fields in body.get("kvs", ())]


def _decode_revision(body: dict[str, Any]) -> int:
    return int(body["header"]["revision"])


def _encode_condition(condition: Unchanged) -> dict[str, str]:
    return {
        "key": _encode_base64(condition.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.revision),
    }


def _encode_operation(operation: Operation) -> dict[str, Any]:
    key = _encode_base64(operation.key.encode())
    if isinstance(operation, Put):
        put = {
            "key": key,
            "value": _encode_base64(operation.value),
            "lease": str(operation.lease_id),
        }
        return {"request_put": put}
    return {"request_delete_range": {"key": key}}


def _decode_commit(body: dict[str, Any]) -> CommitResult:
    if body.get("succeeded", False):
        return CommitResult(True, _decode_revision(body))
    current: list[Entry] = []
    for response in body.get("responses", ()):
        current.extend(_decode_entries(response["response_range"]))
    return CommitResult(False, _decode_revision(body), tuple(current))


def _decode_watch_events(line: str) -> list[WatchEvent]:
    result = json.loads(line).get("result", {})
    events = []
    for event in result.get("events", ()):
        fields = event["kv"]
        is_delete = event.get("type") == "DELETE"
        key = _decode_base64(fields["key"]).decode()
        entry = None if is_delete else _decode_entry(fields)
        events.append(WatchEvent(key, int(fields["mod_revision"]), entry))
    return events
