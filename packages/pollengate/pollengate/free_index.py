"""An index of workers by free resources, which is sampled without scanning all workers."""

import random
from collections.abc import Callable, Iterator

from pollengate.jobs import Resources

__all__ = ["FreeIndex"]

SCAN_SIZE = 64
PROBES_PER_SAMPLE = 4


class _IndexedSet:
    """A set of ids with constant-time insertion, removal and access by position."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self._position_by_id: dict[str, int] = {}

    def add(self, item: str) -> None:
        self._position_by_id[item] = len(self.ids)
        self.ids.append(item)

    def remove(self, item: str) -> None:
        position = self._position_by_id.pop(item)
        last = self.ids.pop()
        if last != item:
            self.ids[position] = last
            self._position_by_id[last] = position


class _Dimension:
    """Workers in buckets by the bit length of one free resource, such as cores."""

    def __init__(self, quantity: Callable[[Resources], int]) -> None:
        self._quantity = quantity
        self._buckets: list[_IndexedSet] = []
        self._bucket_by_id: dict[str, int] = {}

    def update(self, worker_id: str, free: Resources | None) -> None:
        new = -1 if free is None else _bucket_of(self._quantity(free))
        old = self._bucket_by_id.get(worker_id, -1)
        if new == old:
            return
        if old >= 0:
            self._buckets[old].remove(worker_id)
            del self._bucket_by_id[worker_id]
        if new >= 0:
            while len(self._buckets) <= new:
                self._buckets.append(_IndexedSet())
            self._buckets[new].add(worker_id)
            self._bucket_by_id[worker_id] = new

    def needs(self, size: Resources) -> bool:
        return self._quantity(size) > 0

    def count(self, size: Resources) -> int:
        """Returns the number of candidates; those in the lowest bucket may be too small."""
        return sum(len(b.ids) for b in self._buckets[_bucket_of(self._quantity(size)) :])

    def at(self, size: Resources, position: int) -> str:
        """Returns the candidate at a position below `count(size)`."""
        for bucket in self._buckets[_bucket_of(self._quantity(size)) :]:
            if position < len(bucket.ids):
                return bucket.ids[position]
            position -= len(bucket.ids)
        raise IndexError(position)


class FreeIndex:
    """Finds workers with room for a given size in a bounded number of probes."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._free_by_worker: dict[str, Resources] = {}
        self._cursor = 0
        self._dimensions = (
            _Dimension(lambda r: r.cores),
            _Dimension(lambda r: r.memory_mb),
            _Dimension(lambda r: r.accelerators),
        )

    def update(self, worker_id: str, free: Resources | None) -> None:
        """Records the free resources of a worker; None removes the worker."""
        if free is None:
            self._free_by_worker.pop(worker_id, None)
        else:
            self._free_by_worker[worker_id] = free
        for dimension in self._dimensions:
            dimension.update(worker_id, free)

    def sample(self, size: Resources, count: int) -> list[str]:
        """Returns up to `count` distinct workers with room for `size`.

        The result may be empty although such a worker exists: the number of probes is bounded.
        """
        dimension, total = self._most_selective(size)
        found: dict[str, None] = {}
        for position in self._positions(total, count):
            worker_id = dimension.at(size, position)
            if size.fits(self._free_by_worker[worker_id]):
                found[worker_id] = None
                if len(found) == count:
                    break
        return list(found)

    def _most_selective(self, size: Resources) -> tuple[_Dimension, int]:
        needed = [d for d in self._dimensions if d.needs(size)] or [self._dimensions[0]]
        counted = [(d, d.count(size)) for d in needed]
        return min(counted, key=lambda pair: pair[1])

    def _positions(self, total: int, count: int) -> Iterator[int]:
        """Yields random positions, then consecutive ones that advance with each call.

        The consecutive positions ensure that repeated calls visit every candidate.
        """
        if total <= SCAN_SIZE:
            yield from self._generator.sample(range(total), total)
            return
        for _ in range(count * PROBES_PER_SAMPLE):
            yield self._generator.randrange(total)
        start = self._cursor
        self._cursor += SCAN_SIZE
        for offset in range(SCAN_SIZE):
            yield (start + offset) % total


def _bucket_of(quantity: int) -> int:
    return max(quantity, 0).bit_length()
