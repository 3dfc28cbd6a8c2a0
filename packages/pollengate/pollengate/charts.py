"""State charts: loaded and checked by sismic, then compiled to a flat table."""

import functools
from importlib import resources

from sismic.io import import_from_yaml
from sismic.model import FinalState

from pollengate.errors import InvariantViolation

__all__ = ["Chart", "load_chart"]


class Chart:
    """A flat state chart.

    Attributes:
        name: the name of the chart.
        initial: the state that it starts in.
        final_states: states without a way out.
    """

    def __init__(
        self,
        name: str,
        initial: str,
        final_states: frozenset[str],
        targets: dict[tuple[str, str], str],
    ) -> None:
        self.name = name
        self.initial = initial
        self.final_states = final_states
        self._targets = targets

    def allows(self, state: str, event: str) -> bool:
        """Tells whether an event may happen in a state."""
        return (state, event) in self._targets

    def next(self, state: str, event: str) -> str:
        """Returns the state that follows.

        Raises:
            InvariantViolation: the chart has no such transition.
        """
        target = self._targets.get((state, event))
        if target is None:
            raise InvariantViolation(f"chart {self.name!r} has no {event!r} in state {state!r}")
        return target

    def transitions(self) -> dict[tuple[str, str], str]:
        """Returns every target by state and event."""
        return dict(self._targets)


@functools.cache
def load_chart(name: str) -> Chart:
    """Reads `charts/<name>.yaml` and compiles it.

    Raises:
        sismic.exceptions.StatechartError: the file is no valid state chart.
        InvariantViolation: two transitions share a state and an event.
    """
    text = (resources.files("pollengate") / "charts" / f"{name}.yaml").read_text()
    statechart = import_from_yaml(text)
    statechart.validate()
    targets: dict[tuple[str, str], str] = {}
    final_states = set()
    for state in statechart.children_for(statechart.root):
        if isinstance(statechart.state_for(state), FinalState):
            final_states.add(state)
            continue
        for transition in statechart.transitions_from(state):
            if (state, transition.event) in targets:
                raise InvariantViolation(f"chart {name!r}: {transition.event!r} stands twice")
            targets[state, transition.event] = transition.target or state
    initial = statechart.state_for(statechart.root).initial
    return Chart(name, initial, frozenset(final_states), targets)
