"""A store wrapper that counts calls, watches and bytes."""

import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import TypeVar

from pollengate.forwarding_store import CallKind, ForwardingStore
from pollengate.store import (
    CommitResult,
    Entry,
    Listing,
    Operation,
    Put,
    Store,
    StoreFailure,
    Unchanged,
    WatchEvent,
)
from result import Ok, Result

__all__ = ["CountingStore", "StoreCounts"]

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class StoreCounts:
    """Calls and bytes counted since this object was created.

    Attributes:
        reads: calls of `get` and `list`.
        writes: transactions that have an operation.
        lease_calls: lease grants, renewals and revocations, each of which is a write in the store.
        watches: watches opened; each counts as one call.
        written_bytes: bytes of the keys and values written, and of the keys deleted.
        read_bytes: bytes of the keys and values returned.
        largest_value: size of the largest value written, in bytes.
    """

    reads: int = 0
    writes: int = 0
    lease_calls: int = 0
    watches: int = 0
    written_bytes: int = 0
    read_bytes: int = 0
    largest_value: int = 0

    def calls(self) -> int:
        """Returns the total number of calls."""
        return self.reads + self.writes + self.lease_calls + self.watches

    def as_json(self) -> str:
        """Returns the counts as a JSON object."""
        return json.dumps(dataclasses.asdict(self))


class CountingStore(ForwardingStore):
    """Forwards every call to another store and counts it in `counts`."""

    def __init__(self, store: Store) -> None:
        super().__init__(store)
        self.counts = StoreCounts()

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Sends a call, counting it and the bytes that it returns."""
        if kind is CallKind.READ:
            self.counts.reads += 1
        elif kind is CallKind.WRITE:
            self.counts.writes += 1
        else:
            self.counts.lease_calls += 1
        result = await send()
        if isinstance(result, Ok):
            self._count_read(result.ok_value)
        return result

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies a transaction, counting the bytes that it writes."""
        for operation in operations:
            self._count_operation(operation)
        return await super().commit(conditions, operations)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Watches a prefix, counting the watch and the bytes of its events."""
        self.counts.watches += 1
        async for event in super().watch(prefix, from_revision):
            self._count_read(event.entry)
            yield event

    def _count_operation(self, operation: Operation) -> None:
        self.counts.written_bytes += len(operation.key)
        if isinstance(operation, Put):
            size = len(operation.value)
            self.counts.written_bytes += size
            self.counts.largest_value = max(self.counts.largest_value, size)

    def _count_read(self, value: object) -> None:
        entries = value.entries if isinstance(value, Listing) else (value,)
        for entry in entries:
            if isinstance(entry, Entry):
                self.counts.read_bytes += len(entry.key) + len(entry.value)
