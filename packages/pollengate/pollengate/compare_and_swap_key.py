"""A store key that one owner rewrites; writes that take effect late change nothing."""

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
    """The transaction was refused: a condition of the caller did not hold.

    Attributes:
        current: the entries of the compared keys.
    """

    current: tuple[Entry, ...]


class CompareAndSwapKey:
    """Remembers the revision of a key and makes it a condition of every write."""

    def __init__(self, store: Store, key: str) -> None:
        self.key = key
        self._store = store
        self._revision = 0
        self._is_revision_known = True

    def load(self, entry: Entry | None) -> None:
        """Takes in what was read of the key."""
        self._revision = entry.revision if entry is not None else 0
        self._is_revision_known = True

    async def write(
        self, value: bytes, conditions: Sequence[Unchanged], writes: Sequence[Operation] = ()
    ) -> Result[int, ConditionFailed | StoreFailure]:
        """Writes the key, and other keys in the same step; returns their revision."""
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
        detail = f"an earlier write of {self.key} took effect"
        return Err(StoreFailure(FailureKind.REJECTED, detail))
