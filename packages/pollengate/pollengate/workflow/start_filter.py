"""Conditions besides room on which a waiting task may start."""

import abc

from pollengate.workflow.progress import StepProgress

__all__ = ["NoStartFilter", "StartFilter"]


class StartFilter(abc.ABC):
    """Decides whether tasks of a step may start now, apart from the room on workers."""

    @abc.abstractmethod
    def startable(self, step: StepProgress) -> int:
        """Returns how many more tasks of a step may start now.

        The planner asks again after each start, since the runs that it has added count. Asking has
        no effect, as explanations ask, too.
        """


class NoStartFilter(StartFilter):
    """Holds back no task."""

    def startable(self, step: StepProgress) -> int:
        """Returns the number of tasks of the step."""
        return step.spec.count
