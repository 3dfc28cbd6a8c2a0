"""Placement: which worker a task starts on."""

import abc
import dataclasses
from collections.abc import Iterable

from pollengate.jobs import Resources, Task

__all__ = ["Candidate", "FirstFit", "Placement"]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that may take a task."""

    worker_id: str
    rack: str
    free: Resources


class Placement(abc.ABC):
    """Chooses workers for tasks."""

    @abc.abstractmethod
    def choose(self, task: Task, candidates: Iterable[Candidate]) -> str | None:
        """Returns the id of the worker to start `task` on, None if none can hold it."""


class FirstFit(Placement):
    """Takes the first worker with room."""

    def choose(self, task: Task, candidates: Iterable[Candidate]) -> str | None:
        """Returns the first candidate with room."""
        for candidate in candidates:
            if task.spec.resources.fits(candidate.free):
                return candidate.worker_id
        return None
