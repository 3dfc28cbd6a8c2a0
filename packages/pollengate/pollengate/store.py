"""The platform's key-value store: compare-and-swap, leases and watches."""

import abc
import dataclasses
import enum
from collections.abc import AsyncIterator, Sequence

from result import Err, Result

__all__ = [
    "Changes",
    "CommitResult",
    "Delete",
    "Entry",
    "FailureKind",
    "Listing",
    "Operation",
    "PolledStore",
    "Put",
    "Store",
    "StoreFailure",
    "Unchanged",
    "WatchEvent",
]

# One poll of a watch; a connection that has gone silent is noticed after as long.
POLL_WAIT_S = 2.0


class FailureKind(enum.StrEnum):
    """What a failed store call says about its effect.

    `LEASE_GONE` and `HISTORY_GONE` are rejections that name their cause: the lease of a write has
    ended, the changes that a watch asks for are no longer kept.
    """

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    LEASE_GONE = "lease_gone"
    HISTORY_GONE = "history_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A store call without an answer.

    Attributes:
        kind: only UNKNOWN may have had an effect, or have it later.
        detail: the cause, for logs.
    """

    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        key: the key.
        value: at most 1 MB.
        revision: the store revision of the last write of this key.
        created_revision: the store revision at which the key came into being.
        lease_id: the lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Every entry below a prefix, as of one store revision."""

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """A transaction's condition: the key was last written at `revision`; 0 means absent."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Writes a key, bound to a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key; deleting an absent key has no effect."""

    key: str


Operation = Put | Delete


@dataclasses.dataclass(frozen=True, slots=True)
class CommitResult:
    """The answer to a transaction.

    Attributes:
        succeeded: whether all conditions held and all operations took effect.
        revision: the store revision of the transaction.
        current: the entries of the compared keys, filled when it did not succeed.
    """

    succeeded: bool
    revision: int
    current: tuple[Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; `entry` is None for a deletion."""

    key: str
    revision: int
    entry: Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes below a prefix up to one store revision."""

    events: tuple[WatchEvent, ...]
    revision: int


class Store(abc.ABC):
    """Client of the platform's store; no method raises for an outage."""

    @abc.abstractmethod
    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Reads one key; the read is linearizable."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads every key below a prefix; the read is linearizable."""

    @abc.abstractmethod
    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies all operations in one step if all conditions hold."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Creates a lease and returns its id."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Renews a lease.

        Returns:
            The seconds that it has left, 0 if it has lapsed.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Ends a lease and deletes the keys bound to it."""

    @abc.abstractmethod
    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes below a prefix; ends when the connection is lost."""

    async def close(self) -> None:
        """Releases connections."""
        return


class PolledStore(Store):
    """A store whose watches are polls, so that each answer confirms how fresh a view is."""

    @abc.abstractmethod
    async def changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[Changes, StoreFailure]:
        """Returns the changes below a prefix after a revision.

        Args:
            prefix: what to watch.
            after_revision: the revision that the caller's view is at.
            wait_s: how long the answer may wait for a change.
        """

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes below a prefix; ends when a poll fails."""
        revision = from_revision - 1
        while True:
            polled = await self.changes(prefix, revision, POLL_WAIT_S)
            if isinstance(polled, Err):
                return
            for event in polled.ok_value.events:
                yield event
            revision = polled.ok_value.revision
