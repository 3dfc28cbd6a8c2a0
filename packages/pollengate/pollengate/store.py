"""Interface to the platform's key-value store: compare-and-swap, leases and watches."""

import abc
import dataclasses
import enum
import math
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
    "Transfer",
    "Unchanged",
    "WatchEvent",
]

# Longest wait of one poll; it also bounds how long a dead connection goes undetected.
POLL_WAIT_S = 2.0


class FailureKind(enum.StrEnum):
    """Whether a failed store call may have had an effect, and why it failed.

    `LEASE_GONE`, `HISTORY_GONE` and `INVALID` are rejections with a known cause: the lease of a
    write has expired, the store no longer has the changes that a watch requests, or it will never
    accept the call, for example because a value is too long. `TOO_LONG`: the caller does not accept
    so long a response.
    """

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    LEASE_GONE = "lease_gone"
    HISTORY_GONE = "history_gone"
    INVALID = "invalid"
    TOO_LONG = "too_long"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed store call.

    Attributes:
        kind: only after UNKNOWN may the call have had an effect, or have one later.
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
        created_revision: the store revision at which the key was created.
        lease_id: the lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """What it took to receive a response.

    Attributes:
        size_bytes: length of the response.
        seconds: time from its first part to its last.
    """

    size_bytes: int = 0
    seconds: float = 0.0

    def __add__(self, other: "Transfer") -> "Transfer":
        return Transfer(self.size_bytes + other.size_bytes, self.seconds + other.seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All entries whose keys start with a prefix, as of one store revision."""

    entries: tuple[Entry, ...]
    revision: int
    transfer: Transfer = dataclasses.field(default=Transfer(), compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Condition of a transaction: the key was last written at `revision`, 0 if it is absent."""

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
    """The result of a transaction.

    Attributes:
        succeeded: whether all conditions held, so that all operations took effect.
        revision: the store revision of the transaction.
        current: if it did not succeed, the present entries of the keys in the conditions.
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
    """The changes of keys that start with a prefix, up to one store revision."""

    events: tuple[WatchEvent, ...]
    revision: int
    transfer: Transfer = dataclasses.field(default=Transfer(), compare=False)


class Store(abc.ABC):
    """Client of the platform's store; outages are returned as failures, not raised."""

    @abc.abstractmethod
    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Reads one key; the read is linearizable."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys that start with a prefix; the read is linearizable."""

    @abc.abstractmethod
    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies all operations atomically if all conditions hold."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Creates a lease and returns its id."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: int) -> Result[float, StoreFailure]:
        """Renews a lease.

        Returns:
            Seconds until the lease expires, 0 if it has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFailure]:
        """Ends a lease and deletes the keys bound to it."""

    @abc.abstractmethod
    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes of keys that start with a prefix; ends if the connection is lost."""

    async def close(self) -> None:
        """Closes the connections."""
        return


class PolledStore(Store):
    """A store whose watches poll, so that each reply confirms that the caller's view is current."""

    @abc.abstractmethod
    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Returns the changes of keys that start with a prefix, made after a revision.

        A key that was written several times is returned as often.

        Args:
            prefix: prefix of the keys.
            after_revision: the revision of the caller's view.
            wait_s: how long the store may wait for a change before it replies.
            max_bytes: longest response, None for no limit; a longer one is not received, and the
                call fails with `TOO_LONG`. A store in this process has no responses to limit.
        """

    def received_at(self, prefix: str) -> float:
        """Returns the loop's time at which a part of a read of a prefix last arrived.

        It is minus infinity if none has, or if reads have no parts.
        """
        return -math.inf

    async def list_stale(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys that start with a prefix, possibly as they were some seconds ago.

        This costs the store less than a linearizable read if the store offers it.
        """
        return await self.list(prefix)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes of keys that start with a prefix; ends if a poll fails."""
        revision = from_revision - 1
        while True:
            polled = await self.changes(prefix, revision, POLL_WAIT_S)
            if isinstance(polled, Err):
                return
            for event in polled.ok_value.events:
                yield event
            revision = polled.ok_value.revision
