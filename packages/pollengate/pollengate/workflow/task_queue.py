"""The tasks of a step that wait for a start."""

import collections
import itertools
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

__all__ = ["TaskQueue"]

T = TypeVar("T", bound=Hashable)

WALK_CHUNK = 64


class TaskQueue(Generic[T]):
    """Distinct tasks in order; adding, removing and finding one takes constant time."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[T, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, task: T) -> bool:
        return task in self._entries

    def __iter__(self) -> Iterator[T]:
        return iter(self._entries)

    @property
    def first(self) -> T | None:
        """The task whose turn is next, None if none waits."""
        return next(iter(self._entries), None)

    def append(self, task: T) -> None:
        """Adds a task at the end unless it is queued."""
        self._entries.setdefault(task, None)

    def append_first(self, task: T) -> None:
        """Adds a task ahead of all others unless it is queued."""
        if task not in self._entries:
            self._entries[task] = None
            self._entries.move_to_end(task, last=False)

    def discard(self, task: T) -> None:
        """Removes a task if it is queued."""
        self._entries.pop(task, None)

    def clear(self) -> None:
        """Removes all tasks."""
        self._entries.clear()

    def walk(self) -> Iterator[T]:
        """Yields the tasks in order; those that were yielded may be removed meanwhile.

        Unlike a copy of the queue, it takes no time for the tasks that are not reached.
        """
        passed = 0
        while chunk := tuple(itertools.islice(self._entries, passed, passed + WALK_CHUNK)):
            yield from chunk
            passed += sum(task in self._entries for task in chunk)
