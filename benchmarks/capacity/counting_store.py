"""A store that counts calls, waiting watches and bytes."""

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


class CountingStore(ForwardingStore):
    """Passes every call on to another store."""

    def __init__(self, store: Store) -> None:
        super().__init__(store)
        self.counts = StoreCounts()

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Counts a call and the bytes that it returns."""
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
        """Counts the bytes of a write."""
        for operation in operations:
            self._count_operation(operation)
        return await super().commit(conditions, operations)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Counts a watch and the bytes of its events."""
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
