"""An in-memory store with the semantics of the platform's store."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Sequence

from result import Err, Ok, Result

from pollengate.store import (
    Changes,
    CommitResult,
    Delete,
    Entry,
    FailureKind,
    Listing,
    Operation,
    PolledStore,
    Put,
    StoreFailure,
    Unchanged,
    WatchEvent,
)

__all__ = ["MemoryStore"]

MAX_VALUE_BYTES = 1_000_000
LEASE_CHECK_INTERVAL_S = 1.0
# The event loop runs a timer that is due within its clock resolution before the clock reaches it,
# so a loop with a shorter wait would repeat without any time passing.
CLOCK_RESOLUTION_S = 1e-6


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str]


class MemoryStore(PolledStore):
    """Keeps keys, leases and changes in memory; leases expire by the event loop's clock."""

    def __init__(self) -> None:
        self._entries_by_key: dict[str, Entry] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._history: list[WatchEvent] = []
        self._changed = asyncio.Event()
        self._revision = 1
        self._next_lease_id = 1000

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Reads one key."""
        self._expire_leases()
        return Ok(self._entries_by_key.get(key))

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys that start with a prefix, sorted by key."""
        self._expire_leases()
        entries = [e for k, e in sorted(self._entries_by_key.items()) if k.startswith(prefix)]
        return Ok(Listing(tuple(entries), self._revision))

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies all operations atomically if all conditions hold."""
        self._expire_leases()
        rejected = self._find_rejection(operations)
        if rejected is not None:
            return Err(rejected)
        if not all(self._is_met(condition) for condition in conditions):
            current = [self._entries_by_key.get(condition.key) for condition in conditions]
            return Ok(
                CommitResult(False, self._revision, tuple(e for e in current if e is not None))
            )
        if operations:
            self._revision += 1
        for operation in operations:
            self._apply(operation)
        return Ok(CommitResult(True, self._revision))

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Creates a lease and returns its id."""
        self._next_lease_id += 1
        now = asyncio.get_running_loop().time()
        self._leases_by_id[self._next_lease_id] = _Lease(ttl_s, now + ttl_s, set())
        return Ok(self._next_lease_id)

    async def renew_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Renews a lease for its full duration; returns 0 if it has expired."""
        self._expire_leases()
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return Ok(0.0)
        lease.expires_at = asyncio.get_running_loop().time() + lease.ttl_s
        return Ok(lease.ttl_s)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Ends a lease and deletes the keys bound to it."""
        self._end_lease(lease_id)
        return Ok(None)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes of keys that start with a prefix, from a revision on; never ends."""
        position = 0
        while True:
            changed = self._changed
            while position < len(self._history):
                event = self._history[position]
                position += 1
                if event.revision >= from_revision and event.key.startswith(prefix):
                    yield event
            await self._wait_for_change(changed)

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Returns the changes after a revision, waiting up to `wait_s` for the first."""
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = self._changed
            self._expire_leases()
            events = [
                event
                for event in self._history
                if event.revision > after_revision and event.key.startswith(prefix)
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= CLOCK_RESOLUTION_S:
                return Ok(Changes(tuple(events), self._revision))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wait_for_change(changed), remaining_s)
            _check_cancellation()

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        now = asyncio.get_running_loop().time()
        expiry_times = [lease.expires_at for lease in self._leases_by_id.values()]
        next_expiry_s = min(
            (expires_at - now for expires_at in expiry_times), default=LEASE_CHECK_INTERVAL_S
        )
        try:
            await asyncio.wait_for(
                changed.wait(), max(CLOCK_RESOLUTION_S, min(next_expiry_s, LEASE_CHECK_INTERVAL_S))
            )
        except TimeoutError:
            self._expire_leases()
        _check_cancellation()

    def _find_rejection(self, operations: Sequence[Operation]) -> StoreFailure | None:
        for operation in operations:
            if not isinstance(operation, Put):
                continue
            if len(operation.value) > MAX_VALUE_BYTES:
                return StoreFailure(FailureKind.INVALID, f"value of {operation.key} exceeds 1 MB")
            if operation.lease_id and operation.lease_id not in self._leases_by_id:
                return StoreFailure(FailureKind.REJECTED, f"lease {operation.lease_id} not found")
        return None

    def _is_met(self, condition: Unchanged) -> bool:
        entry = self._entries_by_key.get(condition.key)
        return (entry.revision if entry else 0) == condition.revision

    def _apply(self, operation: Operation) -> None:
        previous = self._entries_by_key.get(operation.key)
        if previous is not None and previous.lease_id in self._leases_by_id:
            self._leases_by_id[previous.lease_id].keys.discard(operation.key)
        if isinstance(operation, Delete):
            if self._entries_by_key.pop(operation.key, None) is not None:
                self._append_event(operation.key, None)
            return
        created = previous.created_revision if previous else self._revision
        entry = Entry(operation.key, operation.value, self._revision, created, operation.lease_id)
        self._entries_by_key[operation.key] = entry
        if operation.lease_id:
            self._leases_by_id[operation.lease_id].keys.add(operation.key)
        self._append_event(operation.key, entry)

    def _append_event(self, key: str, entry: Entry | None) -> None:
        self._history.append(WatchEvent(key, self._revision, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = [i for i, lease in self._leases_by_id.items() if lease.expires_at <= now]
        for lease_id in expired:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases_by_id.pop(lease_id, None)
        if lease is None or not lease.keys:
            return
        self._revision += 1
        for key in sorted(lease.keys):
            self._entries_by_key.pop(key)
            self._append_event(key, None)


def _check_cancellation() -> None:
    """Raises the cancellation that `asyncio.wait_for` loses if its wait ends at the same time."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
