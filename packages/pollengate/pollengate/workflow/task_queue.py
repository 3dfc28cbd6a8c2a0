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
        self._flags = bytearray()
        self._flagged = 0
        self._tasks: StepTasks[Any] | None = None
        # Tasks that are queued behind these.
        self._later: collections.OrderedDict[T, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries) + self._flagged + len(self._later)

    def __contains__(self, task: T) -> bool:
        return task in self._entries or task in self._later or self._is_flagged(task)

    def __iter__(self) -> Iterator[T]:
        """Yields the tasks in order, and creates those that are not kept yet."""
        tasks = self._tasks
        flagged = () if tasks is None else (tasks[index] for index in self._flagged_indexes())
        return itertools.chain(self._entries, flagged, self._later)

    @property
    def first(self) -> T | None:
        """The task whose turn is next, None if none waits."""
        return next(self.peek(), None)

    def kept(self) -> Iterator[T]:
        """Yields the tasks that may have progress, in order."""
        tasks = self._tasks
        kept = () if tasks is None or not self._flagged else tasks.kept()
        flagged = (task for task in kept if self._is_flagged(task))
        return itertools.chain(self._entries, flagged, self._later)

    def peek(self) -> Iterator[T]:
        """Yields the tasks in order for a look at them, without keeping those without progress."""
        tasks = self._tasks
        flagged = () if tasks is None else map(tasks.peek, self._flagged_indexes())
        return itertools.chain(self._entries, flagged, self._later)

    def append_unstarted(self, tasks: StepTasks[Any]) -> None:
        """Adds all tasks of a step that have no progress to an empty end of the queue."""
        self._tasks, self._flags = tasks, tasks.unstarted()
        self._flagged = self._flags.count(1)

    def append(self, task: T) -> None:
        """Adds a task at the end unless it is queued."""
        if task not in self:
            (self._later if self._flagged else self._entries)[task] = None

    def append_first(self, task: T) -> None:
        """Adds a task ahead of all others unless it is queued."""
        if task not in self:
            self._entries[task] = None
            self._entries.move_to_end(task, last=False)

    def discard(self, task: T) -> None:
        """Removes a task if it is queued."""
        self._entries.pop(task, None)
        self._later.pop(task, None)
        if self._tasks is not None and self._is_flagged(task):
            self._unflag(self._tasks.index_of(task))
            self._create(0)

    def clear(self) -> None:
        """Removes all tasks."""
        self._entries.clear()
        self._later.clear()
        self._flags, self._flagged = bytearray(), 0

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

    def _is_flagged(self, task: T) -> bool:
        if self._tasks is None or not self._flagged:
            return False
        return bool(self._flags[self._tasks.index_of(task)])

    def _unflag(self, index: int) -> None:
        self._flags[index] = 0
        self._flagged -= 1

    def _flagged_indexes(self) -> Iterator[int]:
        index = self._flags.find(1)
        while index >= 0:
            yield index
            index = self._flags.find(1, index + 1)

    def _create(self, count: int) -> None:
        """Creates up to `count` tasks without progress and queues them as entries."""
        index = -1
        while self._tasks is not None and self._flagged and count > 0:
            index = self._flags.find(1, index + 1)
            self._unflag(index)
            self._entries[self._tasks[index]] = None
            count -= 1
        if not self._flagged:
            self._flags = bytearray()
            self._entries.update(self._later)
            self._later.clear()
