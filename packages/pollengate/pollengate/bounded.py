"""A mapping of bounded size."""

import collections
from collections.abc import Iterator
from typing import Generic, TypeVar

__all__ = ["BoundedDict"]

K = TypeVar("K")
V = TypeVar("V")


class BoundedDict(Generic[K, V]):
    """Holds at most `limit` entries; the least recently written ones are evicted."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._entries: collections.OrderedDict[K, V] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def get(self, key: K) -> V | None:
        """Returns the value of a key, None if it is absent."""
        return self._entries.get(key)

    def put(self, key: K, value: V) -> None:
        """Writes an entry and evicts the least recently written one if the limit is exceeded."""
        self._entries[key] = value
        self._entries.move_to_end(key)
        if len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def items(self) -> Iterator[tuple[K, V]]:
        """Yields all entries, the least recently written first."""
        yield from self._entries.items()

    def pop(self, key: K) -> V | None:
        """Removes a key and returns its value, None if it is absent."""
        return self._entries.pop(key, None)
