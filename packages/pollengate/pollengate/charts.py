"""Flat state charts, read from files in the format of the sismic library.

The files are parsed here because the import of sismic would take longer than the rest of a
process's start. The tests validate each file with sismic and compare the results.
"""

import functools
from importlib import resources
from typing import Any

import yaml

from pollengate.errors import InvariantViolation

__all__ = ["Chart", "read_chart", "load_chart"]


class Chart:
    """A flat state chart.

    Attributes:
        name: the name of the chart.
        initial: the initial state.
        final_states: states without outgoing transitions.
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
        """Whether the chart has a transition for an event in a state."""
        return (state, event) in self._targets

    def next_state(self, state: str, event: str) -> str:
        """Returns the state that follows an event in a state.

        Raises:
            InvariantViolation: the chart has no such transition.
        """
        target = self._targets.get((state, event))
        if target is None:
            raise InvariantViolation(
                f"chart {self.name!r} has no transition for {event!r} in state {state!r}"
            )
        return target

    def transitions(self) -> dict[tuple[str, str], str]:
        """Returns the target state of each transition, by source state and event."""
        return dict(self._targets)


def read_chart(name: str) -> str:
    """Returns the text of `charts/<name>.yaml`."""
    return (resources.files("pollengate") / "charts" / f"{name}.yaml").read_text()


@functools.cache
def load_chart(name: str) -> Chart:
    """Loads and checks `charts/<name>.yaml`.

    Raises:
        yaml.YAMLError: the file is not valid YAML.
        InvariantViolation: the chart has nested states, a state is missing, or two transitions
            have the same source state and event.
    """
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    root = yaml.load(read_chart(name), loader)["statechart"]["root state"]
    states = {state["name"]: state for state in root["states"]}
    targets: dict[tuple[str, str], str] = {}
    for state in states.values():
        for transition in state.get("transitions", ()):
            _add_transition(targets, name, state, transition, states)
    if root["initial"] not in states:
        raise InvariantViolation(f"chart {name!r}: initial state {root['initial']!r} is missing")
    final_states = frozenset(n for n, state in states.items() if state.get("type") == "final")
    return Chart(name, root["initial"], final_states, targets)


def _add_transition(
    targets: dict[tuple[str, str], str],
    chart: str,
    state: dict[str, Any],
    transition: dict[str, str],
    states: dict[str, dict[str, Any]],
) -> None:
    source, event = state["name"], transition["event"]
    target = transition.get("target", source)
    if "states" in state or target not in states:
        raise InvariantViolation(
            f"chart {chart!r}: state {source!r} has nested states or target {target!r} is missing"
        )
    if (source, event) in targets:
        raise InvariantViolation(
            f"chart {chart!r}: state {source!r} has two transitions for {event!r}"
        )
    targets[source, event] = target
