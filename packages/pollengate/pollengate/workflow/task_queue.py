"""The tasks of a step that wait for a start."""

import collections
import itertools
from collections.abc import Hashable, Iterator
from typing import Any, Generic, TypeVar

from pollengate.workflow.step_tasks import StepTasks

__all__ = ["TaskQueue"]

T = TypeVar("T", bound=Hashable)

WALK_CHUNK = 64


class TaskQueue(Generic[T]):
    """Distinct tasks in order; adding, removing and finding one takes constant time.

    Tasks without progress are queued by their indexes, and are created when their turn comes.
    """

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[T, None] = collections.OrderedDict()
        # By index, whether a task without progress is queued behind the entries.
        self._unstarted = bytearray()
        self._unstarted_count = 0
        self._tasks: StepTasks[Any] | None = None
        # Tasks that are queued behind these.
        self._later: collections.OrderedDict[T, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries) + self._unstarted_count + len(self._later)

    def __contains__(self, task: T) -> bool:
        return task in self._entries or task in self._later or self._is_unstarted(task)

    def __iter__(self) -> Iterator[T]:
        """Yields the tasks in order, and creates those that are not kept yet."""
        tasks = self._tasks
        unstarted = () if tasks is None else (tasks[index] for index in self._unstarted_indexes())
        return itertools.chain(self._entries, unstarted, self._later)

    @property
    def first(self) -> T | None:
        """The task whose turn is next, None if none waits."""
        return next(self.peek(), None)

    def kept(self) -> Iterator[T]:
        """Yields the tasks that may have progress, in order."""
        tasks = self._tasks
        kept = () if tasks is None or not self._unstarted_count else tasks.kept()
        unstarted = (task for task in kept if self._is_unstarted(task))
        return itertools.chain(self._entries, unstarted, self._later)

    def peek(self) -> Iterator[T]:
        """Yields the tasks in order for a look at them, without keeping those without progress."""
        tasks = self._tasks
        unstarted = () if tasks is None else map(tasks.peek, self._unstarted_indexes())
        return itertools.chain(self._entries, unstarted, self._later)

    def append_unstarted(self, tasks: StepTasks[Any]) -> None:
        """Adds all tasks of a step that have no progress; called once for each queue."""
        self._tasks, self._unstarted = tasks, tasks.unstarted()
        self._unstarted_count = self._unstarted.count(1)

    def append(self, task: T) -> None:
        """Adds a task at the end unless it is queued."""
        if task not in self:
            (self._later if self._unstarted_count else self._entries)[task] = None

    def append_first(self, task: T) -> None:
        """Adds a task ahead of all others unless it is queued."""
        if task not in self:
            self._entries[task] = None
            self._entries.move_to_end(task, last=False)

    def discard(self, task: T) -> None:
        """Removes a task if it is queued."""
        self._entries.pop(task, None)
        self._later.pop(task, None)
        if self._tasks is not None and self._is_unstarted(task):
            self._remove_unstarted(self._tasks.index_of(task))
            self._create(0)

    def clear(self) -> None:
        """Removes all tasks."""
        self._entries.clear()
        self._later.clear()
        self._unstarted, self._unstarted_count = bytearray(), 0

    def walk(self) -> Iterator[T]:
        """Yields the tasks in order; those that were yielded may be removed meanwhile.

        Unlike a copy of the queue, it takes no time for the tasks that are not reached.
        """
        passed = 0
        while True:
            self._create(passed + WALK_CHUNK - len(self._entries))
            chunk = tuple(itertools.islice(self._entries, passed, passed + WALK_CHUNK))
            if not chunk:
                return
            yield from chunk
            passed += sum(task in self._entries for task in chunk)

    def _is_unstarted(self, task: T) -> bool:
        if self._tasks is None or not self._unstarted_count:
            return False
        return bool(self._unstarted[self._tasks.index_of(task)])

    def _remove_unstarted(self, index: int) -> None:
        self._unstarted[index] = 0
        self._unstarted_count -= 1

    def _unstarted_indexes(self) -> Iterator[int]:
        index = self._unstarted.find(1)
        while index >= 0:
            yield index
            index = self._unstarted.find(1, index + 1)

    def _create(self, count: int) -> None:
        """Creates up to `count` tasks without progress and queues them as entries."""
        index = -1
        while self._tasks is not None and self._unstarted_count and count > 0:
            index = self._unstarted.find(1, index + 1)
            self._remove_unstarted(index)
            self._entries[self._tasks[index]] = None
            count -= 1
        if not self._unstarted_count:
            self._unstarted = bytearray()
            self._entries.update(self._later)
            self._later.clear()
