"""A store that counts calls, waiting watches and bytes."""

import dataclasses
import json
from collections.abc import AsyncIterator, Sequence

from pollengate.store import (
    Commit,
    Entry,
    Listing,
    Operation,
    Put,
    Store,
    StoreFailure,
    Unchanged,
    WatchEvent,
)
from result import Result

__all__ = ["CountingStore", "StoreCounts"]


@dataclasses.dataclass(slots=True)
class StoreCounts:
    """Calls and bytes since the start of the measurement.

    Attributes:
        reads: gets and lists.
        writes: transactions with an operation.
        lease_calls: grants, renewals and revocations; the store writes them too.
        watches: watches opened, each counted as one call.
        written_bytes: keys and values written.
        read_bytes: keys and values returned.
        largest_value: bytes of the largest value written.
    """

    reads: int = 0
    writes: int = 0
    lease_calls: int = 0
    watches: int = 0
    written_bytes: int = 0
    read_bytes: int = 0
    largest_value: int = 0

    def calls(self) -> int:
        """Returns the number of calls of every kind."""
        return self.reads + self.writes + self.lease_calls + self.watches

    def as_json(self) -> str:
        """Encodes the counts."""
        return json.dumps(dataclasses.asdict(self))


class CountingStore(Store):
    """Passes every call on to another store."""

    def __init__(self, store: Store) -> None:
        self.counts = StoreCounts()
        self._store = store

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Counts a read."""
        self.counts.reads += 1
        return (await self._store.get(key)).map(self._count_entry)

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Counts a read."""
        self.counts.reads += 1
        return (await self._store.list(prefix)).map(self._count_listing)

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[Commit, StoreFailure]:
        """Counts a write and its bytes."""
        self.counts.writes += 1
        for operation in operations:
            self._count_operation(operation)
        return await self._store.commit(conditions, operations)

    async def grant_lease(self, ttl_s: int) -> Result[int, StoreFailure]:
        """Counts a lease call."""
        self.counts.lease_calls += 1
        return await self._store.grant_lease(ttl_s)

    async def keep_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Counts a lease call."""
        self.counts.lease_calls += 1
        return await self._store.keep_lease(lease_id)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Counts a lease call."""
        self.counts.lease_calls += 1
        return await self._store.revoke_lease(lease_id)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Counts a watch and the bytes of its events."""
        self.counts.watches += 1
        async for event in self._store.watch(prefix, from_revision):
            self._count_entry(event.entry)
            yield event

    def _count_operation(self, operation: Operation) -> None:
        self.counts.written_bytes += len(operation.key)
        if isinstance(operation, Put):
            size = len(operation.value)
            self.counts.written_bytes += size
            self.counts.largest_value = max(self.counts.largest_value, size)

    def _count_entry(self, entry: Entry | None) -> Entry | None:
        if entry is not None:
            self.counts.read_bytes += len(entry.key) + len(entry.value)
        return entry

    def _count_listing(self, listing: Listing) -> Listing:
        for entry in listing.entries:
            self._count_entry(entry)
        return listing
