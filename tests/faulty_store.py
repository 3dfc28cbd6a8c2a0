"""A store whose transactions lose answers, take effect late, or never arrive."""

import asyncio
import enum
from collections.abc import AsyncIterator, Callable, Sequence

from pollengate.memory_store import MemoryStore
from pollengate.store import (
    Commit,
    Entry,
    FailureKind,
    Listing,
    Operation,
    Store,
    StoreFailure,
    Unchanged,
    WatchEvent,
)
from result import Err, Result

__all__ = ["Fault", "FaultyStore"]

CALL_TIMEOUT_S = 1.0


class Fault(enum.Enum):
    """What happens to a transaction."""

    ANSWER_LOST = enum.auto()
    LATE = enum.auto()
    NOT_SENT = enum.auto()


class FaultyStore(Store):
    """One process's way to a store that it shares with others.

    Attributes:
        shared: the store itself.
        plan: maps the keys that a transaction writes to a fault, or None.
        is_down: whether every call fails without being sent.
        held: late transactions; a test releases them.
    """

    def __init__(self, shared: MemoryStore, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.shared = shared
        self._timeout_s = timeout_s
        self.plan: Callable[[list[str]], Fault | None] = lambda keys: None
        self.is_down = False
        self.held: list[Callable[[], asyncio.Future[Result[Commit, StoreFailure]]]] = []
        self.commits = 0

    def fail_once(self, fault: Fault, part: str) -> None:
        """Makes the next transaction that writes a key with `part` in it fail."""

        def plan(keys: list[str]) -> Fault | None:
            if not any(part in key for key in keys):
                return None
            self.plan = lambda keys: None
            return fault

        self.plan = plan

    async def release_held(self) -> list[Result[Commit, StoreFailure]]:
        """Lets late transactions take effect."""
        held, self.held = self.held, []
        return [await send() for send in held]

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[Commit, StoreFailure]:
        """Applies the transaction, as the plan says."""
        if self.is_down:
            return _failure(FailureKind.NOT_SENT)
        self.commits += 1
        fault = self.plan([operation.key for operation in operations])
        if fault is None:
            return await self.shared.commit(conditions, operations)
        if fault is Fault.NOT_SENT:
            return _failure(FailureKind.NOT_SENT)
        if fault is Fault.LATE:
            send = self.shared.commit
            self.held.append(lambda: asyncio.ensure_future(send(conditions, operations)))
        else:
            await self.shared.commit(conditions, operations)
        await asyncio.sleep(self._timeout_s)
        return _failure(FailureKind.UNKNOWN)

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Reads one key."""
        return _failure(FailureKind.NOT_SENT) if self.is_down else await self.shared.get(key)

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads every key below a prefix."""
        return _failure(FailureKind.NOT_SENT) if self.is_down else await self.shared.list(prefix)

    async def grant_lease(self, ttl_s: int) -> Result[int, StoreFailure]:
        """Creates a lease."""
        if self.is_down:
            return _failure(FailureKind.NOT_SENT)
        return await self.shared.grant_lease(ttl_s)

    async def keep_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Renews a lease."""
        if self.is_down:
            return _failure(FailureKind.NOT_SENT)
        return await self.shared.keep_lease(lease_id)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Ends a lease."""
        if self.is_down:
            return _failure(FailureKind.NOT_SENT)
        return await self.shared.revoke_lease(lease_id)

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes below a prefix."""
        return self.shared.watch(prefix, from_revision)


def _failure(kind: FailureKind) -> Err[StoreFailure]:
    return Err(StoreFailure(kind, "injected"))
