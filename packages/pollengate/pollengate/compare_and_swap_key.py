"""A store key written by compare-and-swap, so that delayed writes have no effect."""

import dataclasses
from collections.abc import Sequence

from result import Err, Ok, Result

from pollengate.store import (
    Entry,
    FailureKind,
    Operation,
    Put,
    Store,
    StoreFailure,
    Unchanged,
)

__all__ = ["ConditionFailed", "CompareAndSwapKey"]


@dataclasses.dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The store refused the transaction because a condition of the caller did not hold.

    Attributes:
        current: present entries of the keys in the conditions.
    """

    current: tuple[Entry, ...]


class CompareAndSwapKey:
    """Tracks the revision of a key and makes it a condition of every write."""

    def __init__(self, store: Store, key: str) -> None:
        self.key = key
        self._store = store
        self._revision = 0
        self._is_revision_known = True

    def load(self, entry: Entry | None) -> None:
        """Sets the known revision to that of an entry just read, None for an absent key."""
        self._revision = entry.revision if entry is not None else 0
        self._is_revision_known = True

    async def write(
        self, value: bytes, conditions: Sequence[Unchanged], writes: Sequence[Operation] = ()
    ) -> Result[int, ConditionFailed | StoreFailure]:
        """Writes the key, and other keys in the same transaction.

        After a write with an unknown outcome, the key is read again first. If the earlier write
        takes effect only after that, the new one is rejected; the caller may repeat it.

        Args:
            value: new value of the key.
            conditions: further conditions of the transaction.
            writes: further operations of the transaction.

        Returns:
            The store revision of the transaction.
        """
        if not self._is_revision_known:
            entry = await self._store.get(self.key)
            if isinstance(entry, Err):
                return entry
            self.load(entry.ok_value)
        unchanged = Unchanged(self.key, self._revision)
        result = await self._store.commit((*conditions, unchanged), (*writes, Put(self.key, value)))
        if isinstance(result, Err):
            self._is_revision_known = result.err_value.kind is not FailureKind.UNKNOWN
            return result
        commit = result.ok_value
        if commit.succeeded:
            self._revision = commit.revision
            return Ok(commit.revision)
        current = {entry.key: entry for entry in commit.current}
        current_entry = current.get(self.key)
        if (current_entry.revision if current_entry else 0) == self._revision:
            return Err(ConditionFailed(commit.current))
        self.load(current_entry)
        detail = f"{self.key} was changed by an earlier write"
        return Err(StoreFailure(FailureKind.REJECTED, detail))
