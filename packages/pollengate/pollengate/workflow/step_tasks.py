"""The tasks of a step, of which only those with progress of their own are kept in memory.

A job may have tens of thousands of tasks, most of which wait for their first run or are done. A
task that waits is created when its turn comes; of one that is done, a bit remains.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Generic, Protocol, TypeVar, overload

__all__ = ["StepTasks"]


class StepTask(Protocol):
    """What is kept of a task once it is done.

    Attributes:
        index: its index in the step.
        is_done: whether one of its runs has completed it.
    """

    index: int
    is_done: bool


T = TypeVar("T", bound=StepTask)


class StepTasks(Sequence[T], Generic[T]):
    """Tasks by index; all of them can be read, whether they are kept or not.

    Args:
        count: number of tasks.
        create: returns a task without progress.
    """

    def __init__(self, count: int, create: Callable[[int], T]) -> None:
        self._count = count
        self._create = create
        self._kept_by_index: dict[int, T] = {}
        self._done_bits = bytearray()

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[T]:
        return (self[index] for index in range(self._count))

    @overload
    def __getitem__(self, index: int) -> T: ...

    @overload
    def __getitem__(self, index: slice) -> list[T]: ...

    def __getitem__(self, index: int | slice) -> T | list[T]:
        """Returns a task, or several, and keeps those that are not done."""
        if isinstance(index, slice):
            return [self[number] for number in range(self._count)[index]]
        if not -self._count <= index < self._count:
            raise IndexError(index)
        task = self.peek(index % self._count)
        if not task.is_done:
            self._kept_by_index[task.index] = task
        return task

    def peek(self, index: int) -> T:
        """Returns a task without keeping it, for a look at what does not change."""
        task = self._kept_by_index.get(index)
        if task is None:
            task = self._create(index)
            task.is_done = self._is_recorded_done(index)
        return task

    def kept(self) -> list[T]:
        """Returns the tasks that are kept, in order: all that have a run or any progress."""
        return [self._kept_by_index[index] for index in sorted(self._kept_by_index)]

    def kept_between(self, begin: int, end: int) -> list[T]:
        """Returns the same of the tasks from `begin` up to, but without, `end`."""
        if len(self._kept_by_index) < end - begin:
            return [task for task in self.kept() if begin <= task.index < end]
        known = self._kept_by_index
        return [known[index] for index in range(begin, end) if index in known]

    def keep(self, task: T) -> None:
        """Keeps a task that may have been returned without being kept."""
        self._kept_by_index[task.index] = task

    def index_of(self, task: T) -> int:
        """Returns the index of a task."""
        return task.index

    def mark_done(self, index: int) -> None:
        """Records that a task is done and forgets all else of it."""
        if not self._done_bits:
            self._done_bits = bytearray((self._count + 7) // 8)
        self._done_bits[index // 8] |= 1 << index % 8
        self._kept_by_index.pop(index, None)

    def done_bits(self) -> int:
        """Returns the tasks that are done as a bit set."""
        bits = int.from_bytes(self._done_bits, "little")
        for index, task in self._kept_by_index.items():
            if task.is_done:
                bits |= 1 << index
        return bits

    def unstarted(self) -> bytearray:
        """Returns 1 for each task without any progress, by index, and 0 for the others."""
        flags = bytearray(b"\1") * self._count
        for index in self._kept_by_index:
            flags[index] = 0
        if self._done_bits:
            for index in range(self._count):
                if self._is_recorded_done(index):
                    flags[index] = 0
        return flags

    def _is_recorded_done(self, index: int) -> bool:
        return bool(self._done_bits and self._done_bits[index // 8] >> index % 8 & 1)
