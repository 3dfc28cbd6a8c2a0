"""Model of patches and freshness: lost answers, late writes, racing and newly started gates.

One zone, one scheduler, up to three gates. Run by `python -m models.patches`. `gates` mirrors
`ConfigurationPatcher` and calls `OutstandingPatches`; admission calls `find_admitting_gates`;
`scheduler` mirrors `ConfigurationRefresher` and calls `PeerLeaseHolder`.
"""

import dataclasses
import functools
import time
from typing import NamedTuple

from minicheck import Protocol, check_safety
from pollengate.membership import Member, MemberList, Role, find_admitting_gates
from pollengate.patches import OutstandingPatches
from pollengate.peer_leases import PeerLeaseHolder

__all__ = ["SCENARIOS", "WEAKENED", "Rules", "State", "build", "main"]

# A start may come this many ticks after a patch took the zone out.
FRESH_TICKS = 2
LAG_TICKS = 1
MAX_STATES = 250_000
NEVER = 99
NO_VALUE = -1

IDLE, SENT, RESOLVING, DONE, REFUSED = range(5)
ABSENT, WAITING, ADMITTED, GONE = range(4)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The protocol's rules; a weakened variant switches one of them off."""

    write_is_conditional: bool = True
    outstanding_patch_refuses_grants: bool = True
    write_is_fenced: bool = True
    gate_is_admitted: bool = True
    counts_from_request: bool = True
    needs_every_gate: bool = True
    version_is_monotonic: bool = True


class Gate(NamedTuple):
    """One gate.

    Attributes:
        life: how far its membership is.
        created: store revision of its registration.
        phase: how far its patch is.
        base: version that its patch is against.
        fence: its registration as the write's condition names it.
        known: version in force.
        min_basis: schedulers with an older list get no promise.
    """

    life: int
    created: int
    phase: int
    base: int
    fence: int
    known: int
    min_basis: int


class State(NamedTuple):
    """One state.

    Attributes:
        version: of the stored configuration; the last accepted patch took the zone out.
        lag: ticks since the store accepted a patch, up to one more than allowed.
        writes: writes on their way, as (gate, base, fence).
        effects: gates whose write took effect.
        fences: the gates' registrations as the store holds them.
        known: version in force at the scheduler.
        basis: store revision of the scheduler's list.
        gates_known: gates in that list.
        ages: ticks since each promise was asked for.
        asked: age of the question on its way to each gate.
        fresh: ticks since the configuration was confirmed current.
        highest: highest version ever in force at the scheduler.
        revision: of the store's member list.
    """

    version: int
    lag: int
    writes: frozenset[tuple[int, int, int]]
    effects: frozenset[int]
    fences: tuple[int, ...]
    gates: tuple[Gate, ...]
    known: int
    basis: int
    gates_known: frozenset[int]
    ages: tuple[int, ...]
    answers: tuple[tuple[int, int], ...]
    fresh: int
    highest: int
    revision: int


Successors = list[tuple[str, State]]
NO_ANSWER = (NO_VALUE, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Who takes part.

    Attributes:
        gates: gates registered at first.
        late: gates that register later.
        has_scheduler: whether there is one; then only the first accepted patch is followed.
    """

    gates: int
    late: int
    has_scheduler: bool


def build(scenario: Scenario, rules: Rules) -> Protocol:
    """Builds the checked protocol."""
    gates, late = scenario.gates, scenario.late

    def transitions(wrapped: tuple[State]) -> list[tuple[str, tuple[State]]]:
        state = wrapped[0]
        successors: Successors = []
        if scenario.has_scheduler:
            successors += _scheduler(state, rules)
            successors.append(("tick", _tick(state)))
        is_known = scenario.has_scheduler and state.known > 0
        if not is_known:
            successors += _store(state, rules)
            for number in range(gates + late):
                successors += _gate(state, number, rules, scenario)
        return [(label, (after,)) for label, after in successors]

    count = gates + late
    first = tuple(
        Gate(ADMITTED if i < gates else ABSENT, i + 1 if i < gates else 0, IDLE, 0, 0, 0, 0)
        for i in range(count)
    )
    initial = State(
        0,
        0,
        frozenset(),
        frozenset(),
        (0,) * count,
        first,
        0,
        gates,
        frozenset(range(gates)),
        (NEVER,) * count,
        (NO_ANSWER,) * count,
        0,
        0,
        gates,
    )
    return Protocol(
        name="patches",
        candidate=False,
        fields=("state",),
        initial=(initial,),
        transitions=transitions,
        invariants={
            "no start long after the zone was taken out": lambda d: _starts_in_time(d["state"]),
            "a refused patch never takes effect": lambda d: _refusals_are_true(d["state"]),
            "one patch for each version": lambda d: len(d["state"].effects) <= d["state"].version,
            "no version goes back": lambda d: d["state"].known >= d["state"].highest,
        },
    )


def _starts_in_time(state: State) -> bool:
    may_start = state.fresh < FRESH_TICKS and state.known == 0
    return not may_start or state.version == 0 or state.lag <= LAG_TICKS


def _refusals_are_true(state: State) -> bool:
    return not any(
        gate.phase == REFUSED and number in state.effects for number, gate in enumerate(state.gates)
    )


def _replace_item(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return values[:index] + (value,) + values[index + 1 :]


def _store(state: State, rules: Rules) -> Successors:
    """Applies or loses a write; it may take effect after its sender has given up."""
    successors: Successors = []
    for write in state.writes:
        number, base, fence = write
        left = state._replace(writes=state.writes - {write})
        successors.append((f"write of {number} is lost", left))
        is_current = base == state.version or not rules.write_is_conditional
        is_fenced = fence != state.fences[number] and rules.write_is_fenced
        if is_current and not is_fenced:
            applied = left._replace(
                version=base + 1,
                lag=0 if state.version == 0 else state.lag,
                effects=state.effects | {number},
            )
            successors.append((f"write of {number} takes effect", applied))
    return successors


def _gate(state: State, number: int, rules: Rules, scenario: Scenario) -> Successors:
    """Mirrors `GateAdmission` and `ConfigurationPatcher`; the store may be out at any step."""
    gate = state.gates[number]
    successors: Successors = []

    def put(label: str, changed: Gate, **fields: object) -> None:
        after = state._replace(gates=_replace_item(state.gates, number, changed), **fields)
        successors.append((f"gate {number} {label}", after))

    if gate.life == ABSENT:
        revision = state.revision + 1
        put("registers", gate._replace(life=WAITING, created=revision), revision=revision)
    if gate.life == WAITING:
        successors += _admission(state, number, rules)
    if gate.life == ADMITTED and gate.phase in (IDLE, DONE, REFUSED) and gate.known == 0:
        put("stops", gate._replace(life=GONE))
    if gate.life != ADMITTED:
        return successors
    if gate.phase == IDLE and not (scenario.has_scheduler and state.version):
        fence = state.fences[number]
        sent = gate._replace(phase=SENT, base=state.version, fence=fence, known=state.version)
        put("sends a patch", sent, writes=state.writes | {(number, state.version, fence)})
    if gate.phase == SENT:
        if number in state.effects:
            put("hears that it took effect", gate._replace(phase=DONE, known=state.version))
        put("hears nothing", gate._replace(phase=RESOLVING))
    if gate.phase == RESOLVING and state.fences[number] == gate.fence:
        put(
            "rewrites its registration",
            gate,
            fences=_replace_item(state.fences, number, gate.fence + 1),
        )
    if gate.phase == RESOLVING and (
        state.fences[number] != gate.fence or not rules.write_is_fenced
    ):
        phase = DONE if number in state.effects else REFUSED
        put("reads the outcome", gate._replace(phase=phase, known=state.version))
    return successors


@functools.cache
def _admitting(created: tuple[int, ...], recorded: int, number: int) -> frozenset[int]:
    """Calls `find_admitting_gates` on the registered gates and one scheduler."""
    members = [
        Member(str(i), Role.GATE, "z", "", revision)
        for i, revision in enumerate(created)
        if revision
    ]
    members.append(Member("scheduler", Role.SCHEDULER, "z", "", 1, recorded))
    listing = MemberList(0, tuple(sorted(members, key=lambda m: m.created_revision)))
    return frozenset(int(gate.process_id) for gate in find_admitting_gates(listing, str(number)))


def _admission(state: State, number: int, rules: Rules) -> Successors:
    gate = state.gates[number]
    admitted = _replace_item(state.gates, number, gate._replace(life=ADMITTED, known=state.version))
    created = tuple(g.created if g.life != GONE else 0 for g in state.gates)
    asked = _admitting(created, state.basis, number)
    if not asked or not rules.gate_is_admitted:
        return [(f"gate {number} is admitted by none", state._replace(gates=admitted))]
    successors: Successors = []
    for other in asked:
        grantor = state.gates[other]
        below = max(grantor.min_basis, gate.created)
        gates = _replace_item(admitted, other, grantor._replace(min_basis=below))
        successors.append((f"gate {number} is admitted by {other}", state._replace(gates=gates)))
    return successors


@functools.cache
def _grants_freshness(is_outstanding: bool, min_basis: int, basis: int) -> bool:
    """Calls `OutstandingPatches`; an outstanding patch would take the zone out."""
    outstanding = OutstandingPatches()
    outstanding.admit(min_basis, 0.0)
    if is_outstanding:
        outstanding.begin("key", frozenset())
    return outstanding.grant("z", basis, 0.0)


@functools.cache
def _granted_since(ages: tuple[int, ...]) -> int | None:
    """Calls `PeerLeaseHolder`; returns the age of the oldest promise, None if one is missing."""
    holder = PeerLeaseHolder()
    holder.rely_on(1, [str(i) for i in range(len(ages))])
    for number, age in enumerate(ages):
        if age < NEVER:
            holder.record_grant(str(number), -float(age))
    since = holder.granted_since()
    return None if since is None else int(-since)


def _scheduler(state: State, rules: Rules) -> Successors:
    """Mirrors `ConfigurationRefresher`: reads the store, or asks every gate that it knows."""
    successors: Successors = []
    registered = frozenset(i for i, g in enumerate(state.gates) if g.life in (WAITING, ADMITTED))
    if state.fresh > 0 or registered != state.gates_known:
        read = state._replace(
            known=state.version,
            highest=max(state.highest, state.version),
            basis=state.revision,
            gates_known=registered,
            fresh=0,
        )
        successors.append(("scheduler reads the store", read))
    for number in state.gates_known:
        successors += _question(state, number, rules)
    since = _granted_since(tuple(state.ages[i] for i in sorted(state.gates_known)))
    if not rules.needs_every_gate:
        since = min((state.ages[i] for i in state.gates_known), default=NEVER)
    if since is not None and since < state.fresh:
        successors.append(("scheduler is confirmed", state._replace(fresh=since)))
    return successors


def _question(state: State, number: int, rules: Rules) -> Successors:
    gate = state.gates[number]
    age, version = state.answers[number]
    if age != NO_VALUE:
        heard_age = age if rules.counts_from_request else 0
        known = max(state.known, version) if rules.version_is_monotonic else version
        heard = state._replace(
            answers=_replace_item(state.answers, number, NO_ANSWER),
            ages=_replace_item(state.ages, number, min(state.ages[number], heard_age)),
            known=known,
            highest=max(state.highest, known),
        )
        return [(f"scheduler hears gate {number}", heard)]
    if state.ages[number] == 0 or gate.life not in (WAITING, ADMITTED):
        return []
    is_outstanding = gate.phase in (SENT, RESOLVING) and rules.outstanding_patch_refuses_grants
    if not _grants_freshness(is_outstanding, gate.min_basis, state.basis):
        return []
    answered = state._replace(answers=_replace_item(state.answers, number, (0, gate.known)))
    return [(f"gate {number} promises", answered)]


def _tick(state: State) -> State:
    def older(age: int) -> int:
        return age + 1 if age + 1 < FRESH_TICKS else NEVER

    return state._replace(
        lag=min(state.lag + 1, LAG_TICKS + 1) if state.version else 0,
        ages=tuple(older(age) for age in state.ages),
        answers=tuple(
            (age + 1, version) if age != NO_VALUE and age + 1 < FRESH_TICKS else NO_ANSWER
            for age, version in state.answers
        ),
        fresh=min(state.fresh + 1, FRESH_TICKS),
    )


SCENARIOS = (Scenario(3, 0, False), Scenario(2, 0, True), Scenario(1, 1, True))
WEAKENED = {
    "writes are unconditional": (0, Rules(write_is_conditional=False)),
    "writes are not fenced": (0, Rules(write_is_fenced=False)),
    "an outstanding patch withholds nothing": (1, Rules(outstanding_patch_refuses_grants=False)),
    "promises count from the answer": (1, Rules(counts_from_request=False)),
    "one promise is enough": (1, Rules(needs_every_gate=False)),
    "the last version heard is taken": (1, Rules(version_is_monotonic=False)),
    "a new gate is not admitted": (2, Rules(gate_is_admitted=False)),
}


def main() -> None:
    """Checks every scenario, and finds a counterexample for each weakened variant."""
    for scenario in SCENARIOS:
        _report(scenario, "protocol", Rules())
    for name, (number, rules) in WEAKENED.items():
        _report(SCENARIOS[number], name, rules)


def _report(scenario: Scenario, variant: str, rules: Rules) -> bool:
    begin = time.perf_counter()
    result = check_safety(build(scenario, rules), MAX_STATES)
    seconds = time.perf_counter() - begin
    states = result["reachable_states"]
    verdicts = []
    for rule, found in result["properties"].items():
        if found["holds"] is None:
            verdicts.append(f"undetermined: {rule}")
        elif not found["holds"]:
            verdicts.append(f"broken in {len(found['counterexample']) - 1} steps: {rule}")
    text = "; ".join(verdicts) or "holds"
    who = f"{scenario.gates}+{scenario.late} gates, {int(scenario.has_scheduler)} scheduler"
    print(f"{who:24} {variant:40} {states:8} states {seconds:6.1f} s  {text}")
    return not verdicts


if __name__ == "__main__":
    main()
