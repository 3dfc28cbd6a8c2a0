"""Conditions besides room on which a waiting task may start."""

import abc

from pollengate.workflow.progress import StepProgress

__all__ = ["NoStartFilter", "StartFilter"]


class StartFilter(abc.ABC):
    """Decides whether tasks of a step may start now, apart from the room on workers."""

    def begin_round(self) -> None:
        """Called before each round of planning, which asks for steps in order of rank."""
        return

    @abc.abstractmethod
    def count_startable(self, step: StepProgress) -> int:
        """Returns how many more tasks of a step may start now; has no effect."""

    def startable(self, step: StepProgress) -> int:
        """Returns the same to the planner, and may record that the step is held back.

        The planner asks again after each start, since the runs that it has added count.
        """
        return self.count_startable(step)


class NoStartFilter(StartFilter):
    """Holds back no task."""

    def count_startable(self, step: StepProgress) -> int:
        """Returns the number of tasks of the step."""
        return step.spec.count
