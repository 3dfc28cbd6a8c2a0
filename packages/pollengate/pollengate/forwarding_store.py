"""Base class of stores that count, delay or alter the calls to another store."""

import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import TypeVar

from result import Result

from pollengate.store import (
    CommitResult,
    Entry,
    Listing,
    Operation,
    Store,
    StoreFailure,
    Unchanged,
    WatchEvent,
)

__all__ = ["CallKind", "ForwardingStore"]

T = TypeVar("T")


class CallKind(enum.StrEnum):
    """Kind of a store call; a transaction without operations is a read."""

    READ = "read"
    WRITE = "write"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"


class ForwardingStore(Store):
    """Forwards every call to another store through `forward`, which subclasses override."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Forwards one call; watches are not forwarded through this method.

        Args:
            kind: kind of the call.
            send: makes the call; an override may call it later or not at all.
        """
        return await send()

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Reads one key."""
        return await self.forward(CallKind.READ, lambda: self._store.get(key))

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys that start with a prefix."""
        return await self.forward(CallKind.READ, lambda: self._store.list(prefix))

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies all operations atomically if all conditions hold."""
        kind = CallKind.WRITE if operations else CallKind.READ
        return await self.forward(kind, lambda: self._store.commit(conditions, operations))

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Creates a lease and returns its id."""
        return await self.forward(CallKind.GRANT, lambda: self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Renews a lease and returns the seconds until it expires."""
        return await self.forward(CallKind.RENEW, lambda: self._store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Ends a lease and deletes the keys bound to it."""
        return await self.forward(CallKind.REVOKE, lambda: self._store.revoke_lease(lease_id))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes of keys that start with a prefix."""
        async for event in self._store.watch(prefix, from_revision):
            yield event
