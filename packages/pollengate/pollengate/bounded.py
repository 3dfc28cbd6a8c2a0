"""A mapping that forgets the entries that were not written for longest."""

import collections
from collections.abc import Iterator
from typing import Generic, TypeVar

__all__ = ["BoundedDict"]

K = TypeVar("K")
V = TypeVar("V")


class BoundedDict(Generic[K, V]):
    """Holds at most `limit` entries."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._entries: collections.OrderedDict[K, V] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def get(self, key: K) -> V | None:
        """Returns an entry, None where there is none."""
        return self._entries.get(key)

    def put(self, key: K, value: V) -> None:
        """Writes an entry and forgets the oldest one where there are too many."""
        self._entries[key] = value
        self._entries.move_to_end(key)
        if len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def items(self) -> Iterator[tuple[K, V]]:
        """Yields every entry, the oldest first."""
        yield from self._entries.items()

    def pop(self, key: K) -> V | None:
        """Takes an entry out and returns it."""
        return self._entries.pop(key, None)
