"""A store that injects faults: lost replies, delayed transactions and outages."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from pollengate.forwarding_store import CallKind, ForwardingStore
from pollengate.memory_store import MemoryStore
from pollengate.store import CommitResult, FailureKind, Operation, StoreFailure, Unchanged
from result import Err, Result

__all__ = ["Fault", "FaultyStore"]

T = TypeVar("T")

CALL_TIMEOUT_S = 1.0


class Fault(enum.Enum):
    """Fault of a transaction: its reply is lost, it takes effect late, or it is not sent."""

    REPLY_LOST = enum.auto()
    LATE = enum.auto()
    NOT_SENT = enum.auto()


class FaultyStore(ForwardingStore):
    """One process's connection to a store that it shares with other processes.

    Attributes:
        shared_store: the shared store.
        choose_fault: returns the fault of a transaction by the keys that it writes, or None.
        is_down: whether every call fails without being sent.
        delayed: transactions with a LATE fault, until `release_delayed` applies them.
        commits: number of transactions so far.
        invalid_key: key that the store never accepts; empty for none.
    """

    def __init__(self, shared_store: MemoryStore, timeout_s: float = CALL_TIMEOUT_S) -> None:
        super().__init__(shared_store)
        self.shared_store = shared_store
        self._timeout_s = timeout_s
        self.choose_fault: Callable[[list[str]], Fault | None] = lambda keys: None
        self.is_down = False
        self.delayed: list[Callable[[], asyncio.Future[Result[CommitResult, StoreFailure]]]] = []
        self.commits = 0
        self.invalid_key = ""

    def fail_once(self, fault: Fault, key_part: str) -> None:
        """Injects a fault into the next transaction that writes a key containing `key_part`."""

        def choose_fault(keys: list[str]) -> Fault | None:
            if not any(key_part in key for key in keys):
                return None
            self.choose_fault = lambda keys: None
            return fault

        self.choose_fault = choose_fault

    async def release_delayed(self) -> list[Result[CommitResult, StoreFailure]]:
        """Applies the delayed transactions and returns their results."""
        delayed, self.delayed = self.delayed, []
        return [await send() for send in delayed]

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies the transaction with the fault that `choose_fault` returns for it."""
        if self.is_down:
            return _failure(FailureKind.NOT_SENT)
        self.commits += 1
        if self.invalid_key in [operation.key for operation in operations]:
            return _failure(FailureKind.INVALID)
        fault = self.choose_fault([operation.key for operation in operations])
        if fault is None:
            return await self.shared_store.commit(conditions, operations)
        if fault is Fault.NOT_SENT:
            return _failure(FailureKind.NOT_SENT)
        if fault is Fault.LATE:
            send = self.shared_store.commit
            self.delayed.append(lambda: asyncio.ensure_future(send(conditions, operations)))
        else:
            await self.shared_store.commit(conditions, operations)
        await asyncio.sleep(self._timeout_s)
        return _failure(FailureKind.UNKNOWN)

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Forwards the call unless the store is down."""
        return _failure(FailureKind.NOT_SENT) if self.is_down else await send()


def _failure(kind: FailureKind) -> Err[StoreFailure]:
    return Err(StoreFailure(kind, "injected"))
