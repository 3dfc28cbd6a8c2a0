"""Model of patches and freshness: lost replies, late writes, racing and newly started gates.

One zone, at most one scheduler, up to three gates. Run it with `python -m models.patches`. `_gate`
mirrors `ConfigurationPatcher`, and freshness grants call `OutstandingPatches`; `_admission` calls
`find_admitting_gates`; `_scheduler` mirrors `ConfigurationRefresher` and calls `PeerLeaseHolder`.
"""

import dataclasses
import functools
import time
from typing import NamedTuple

from minicheck import Protocol, check_safety
from pollengate.membership import Member, MemberList, Role, find_admitting_gates
from pollengate.patches import OutstandingPatches
from pollengate.peer_leases import PeerLeaseHolder

__all__ = ["SCENARIOS", "WEAKENED_VARIANTS", "Rules", "State", "build", "main"]

# For how long the scheduler may start tasks after its configuration was confirmed.
FRESHNESS_TICKS = 2
# A task may still start this long after a patch took its zone out of service.
MAX_LAG_TICKS = 1
MAX_STATES = 250_000
NO_GRANT_AGE = 99
NO_VALUE = -1

IDLE, SENT, RESOLVING, DONE, REFUSED = range(5)
ABSENT, WAITING, ADMITTED, GONE = range(4)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol, of which a weakened variant disables one.

    Attributes:
        write_is_conditional: whether a write fails if the stored version is not its base.
        outstanding_patch_refuses_grants: whether a gate refuses grants while the outcome of its
            patch is unknown.
        write_is_fenced: whether a write fails once its gate has rewritten its registration.
        gate_is_admitted: whether a new gate waits until another gate has admitted it.
        counts_from_request: whether a grant counts from when it was requested.
        needs_every_gate: whether the scheduler needs a grant of every gate that it knows.
        version_is_monotonic: whether the scheduler ignores lower versions than its own.
    """

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
        life: state of its membership: ABSENT, WAITING for admission, ADMITTED or GONE.
        created: store revision at which it registered, 0 if it has not.
        phase: state of its patch: IDLE, SENT, RESOLVING, DONE or REFUSED.
        base: version on which its patch is based.
        fence: version of its registration that the condition of its write names.
        known: configuration version in force at the gate.
        min_basis: it refuses grants to schedulers whose member list is older than this revision.
    """

    life: int
    created: int
    phase: int
    base: int
    fence: int
    known: int
    min_basis: int


class State(NamedTuple):
    """A state of the model.

    Attributes:
        version: version of the stored configuration; every patch takes the zone out of service.
        lag_ticks: ticks since the store accepted the first patch, capped at one more than allowed.
        writes: writes in transit, as (gate, base, fence).
        effective_gates: gates whose write took effect.
        fences: versions of the gates' registrations in the store.
        gates: the gates.
        known: version in force at the scheduler.
        basis: store revision of the scheduler's member list.
        known_gates: gates in that list.
        grant_ages: ticks since each gate's last grant was requested, NO_GRANT_AGE if too old.
        replies: reply of each gate in transit, as (ticks since the request, version at the gate).
        confirmation_age: ticks since the scheduler's configuration was confirmed current.
        highest_known: highest version that was ever in force at the scheduler.
        revision: store revision of the member list.
    """

    version: int
    lag_ticks: int
    writes: frozenset[tuple[int, int, int]]
    effective_gates: frozenset[int]
    fences: tuple[int, ...]
    gates: tuple[Gate, ...]
    known: int
    basis: int
    known_gates: frozenset[int]
    grant_ages: tuple[int, ...]
    replies: tuple[tuple[int, int], ...]
    confirmation_age: int
    highest_known: int
    revision: int


Successors = list[tuple[str, State]]
NO_REPLY = (NO_VALUE, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The processes that take part.

    Attributes:
        gates: number of gates that are registered at first.
        late_gates: number of gates that register later.
        has_scheduler: whether there is a scheduler; then no patch is sent after the first accepted
            one.
    """

    gates: int
    late_gates: int
    has_scheduler: bool


def build(scenario: Scenario, rules: Rules) -> Protocol:
    """Returns the protocol that is checked for a scenario and rules."""
    gates, late = scenario.gates, scenario.late_gates

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
        (NO_GRANT_AGE,) * count,
        (NO_REPLY,) * count,
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
            "no start after the allowed lag in a zone out of service": lambda d: _starts_in_time(
                d["state"]
            ),
            "a refused patch never takes effect": lambda d: _refused_patches_have_no_effect(
                d["state"]
            ),
            "at most one patch per version": lambda d: len(d["state"].effective_gates)
            <= d["state"].version,
            "the known version never decreases": lambda d: d["state"].known
            >= d["state"].highest_known,
        },
    )


def _starts_in_time(state: State) -> bool:
    may_start = state.confirmation_age < FRESHNESS_TICKS and state.known == 0
    return not may_start or state.version == 0 or state.lag_ticks <= MAX_LAG_TICKS


def _refused_patches_have_no_effect(state: State) -> bool:
    return not any(
        gate.phase == REFUSED and number in state.effective_gates
        for number, gate in enumerate(state.gates)
    )


def _replace_item(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return values[:index] + (value,) + values[index + 1 :]


def _store(state: State, rules: Rules) -> Successors:
    """Applies or loses a write; it may take effect after its sender has timed out."""
    successors: Successors = []
    for write in state.writes:
        number, base, fence = write
        remaining = state._replace(writes=state.writes - {write})
        successors.append((f"write of {number} is lost", remaining))
        is_current = base == state.version or not rules.write_is_conditional
        is_fenced = fence != state.fences[number] and rules.write_is_fenced
        if is_current and not is_fenced:
            applied = remaining._replace(
                version=base + 1,
                lag_ticks=0 if state.version == 0 else state.lag_ticks,
                effective_gates=state.effective_gates | {number},
            )
            successors.append((f"write of {number} takes effect", applied))
    return successors


def _gate(state: State, number: int, rules: Rules, scenario: Scenario) -> Successors:
    """Mirrors `GateAdmission` and `ConfigurationPatcher`; the store may fail at any step."""
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
        if number in state.effective_gates:
            put("receives the confirmation", gate._replace(phase=DONE, known=state.version))
        put("receives no reply", gate._replace(phase=RESOLVING))
    if gate.phase == RESOLVING and state.fences[number] == gate.fence:
        put(
            "rewrites its registration",
            gate,
            fences=_replace_item(state.fences, number, gate.fence + 1),
        )
    if gate.phase == RESOLVING and (
        state.fences[number] != gate.fence or not rules.write_is_fenced
    ):
        phase = DONE if number in state.effective_gates else REFUSED
        put("reads the outcome", gate._replace(phase=phase, known=state.version))
    return successors


@functools.cache
def _find_admitting_gates(created: tuple[int, ...], recorded: int, number: int) -> frozenset[int]:
    """Calls `find_admitting_gates` with the registered gates and one scheduler."""
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
    admitting_gates = _find_admitting_gates(created, state.basis, number)
    if not admitting_gates or not rules.gate_is_admitted:
        return [(f"gate {number} is admitted without a request", state._replace(gates=admitted))]
    successors: Successors = []
    for other in admitting_gates:
        grantor = state.gates[other]
        raised = max(grantor.min_basis, gate.created)
        gates = _replace_item(admitted, other, grantor._replace(min_basis=raised))
        successors.append((f"gate {number} is admitted by {other}", state._replace(gates=gates)))
    return successors


@functools.cache
def _grants_freshness(is_outstanding: bool, min_basis: int, basis: int) -> bool:
    """Calls `OutstandingPatches`; an outstanding patch would take the zone out of service."""
    outstanding = OutstandingPatches()
    outstanding.fence(min_basis, 0.0)
    if is_outstanding:
        outstanding.begin("key", frozenset())
    return outstanding.grant("z", basis, 0.0)


@functools.cache
def _granted_since(ages: tuple[int, ...]) -> int | None:
    """Calls `PeerLeaseHolder`; returns the age of the oldest grant, None if a grant is missing."""
    holder = PeerLeaseHolder()
    holder.rely_on(1, [str(i) for i in range(len(ages))])
    for number, age in enumerate(ages):
        if age < NO_GRANT_AGE:
            holder.record_grant(str(number), -float(age))
    since = holder.granted_since()
    return None if since is None else int(-since)


def _scheduler(state: State, rules: Rules) -> Successors:
    """Mirrors `ConfigurationRefresher`, which reads the store or requests grants of the gates."""
    successors: Successors = []
    registered = frozenset(i for i, g in enumerate(state.gates) if g.life in (WAITING, ADMITTED))
    if state.confirmation_age > 0 or registered != state.known_gates:
        read = state._replace(
            known=state.version,
            highest_known=max(state.highest_known, state.version),
            basis=state.revision,
            known_gates=registered,
            confirmation_age=0,
        )
        successors.append(("scheduler reads the store", read))
    for number in state.known_gates:
        successors += _request_freshness(state, number, rules)
    since = _granted_since(tuple(state.grant_ages[i] for i in sorted(state.known_gates)))
    if not rules.needs_every_gate:
        since = min((state.grant_ages[i] for i in state.known_gates), default=NO_GRANT_AGE)
    if since is not None and since < state.confirmation_age:
        successors.append(("scheduler is confirmed", state._replace(confirmation_age=since)))
    return successors


def _request_freshness(state: State, number: int, rules: Rules) -> Successors:
    gate = state.gates[number]
    age, version = state.replies[number]
    if age != NO_VALUE:
        grant_age = age if rules.counts_from_request else 0
        known = max(state.known, version) if rules.version_is_monotonic else version
        after_reply = state._replace(
            replies=_replace_item(state.replies, number, NO_REPLY),
            grant_ages=_replace_item(
                state.grant_ages, number, min(state.grant_ages[number], grant_age)
            ),
            known=known,
            highest_known=max(state.highest_known, known),
        )
        return [(f"scheduler receives grant of gate {number}", after_reply)]
    if state.grant_ages[number] == 0 or gate.life not in (WAITING, ADMITTED):
        return []
    is_outstanding = gate.phase in (SENT, RESOLVING) and rules.outstanding_patch_refuses_grants
    if not _grants_freshness(is_outstanding, gate.min_basis, state.basis):
        return []
    granted = state._replace(replies=_replace_item(state.replies, number, (0, gate.known)))
    return [(f"gate {number} grants", granted)]


def _tick(state: State) -> State:
    def increment_age(age: int) -> int:
        return age + 1 if age + 1 < FRESHNESS_TICKS else NO_GRANT_AGE

    return state._replace(
        lag_ticks=min(state.lag_ticks + 1, MAX_LAG_TICKS + 1) if state.version else 0,
        grant_ages=tuple(increment_age(age) for age in state.grant_ages),
        replies=tuple(
            (age + 1, version) if age != NO_VALUE and age + 1 < FRESHNESS_TICKS else NO_REPLY
            for age, version in state.replies
        ),
        confirmation_age=min(state.confirmation_age + 1, FRESHNESS_TICKS),
    )


SCENARIOS = (Scenario(3, 0, False), Scenario(2, 0, True), Scenario(1, 1, True))
WEAKENED_VARIANTS = {
    "writes are unconditional": (0, Rules(write_is_conditional=False)),
    "writes are not fenced": (0, Rules(write_is_fenced=False)),
    "an outstanding patch refuses no grants": (1, Rules(outstanding_patch_refuses_grants=False)),
    "grants count from the reply": (1, Rules(counts_from_request=False)),
    "one grant is enough": (1, Rules(needs_every_gate=False)),
    "the last version received is used": (1, Rules(version_is_monotonic=False)),
    "a new gate is not admitted": (2, Rules(gate_is_admitted=False)),
}


def main() -> None:
    """Checks every scenario and every weakened variant and prints what was found."""
    for scenario in SCENARIOS:
        _report(scenario, "protocol", Rules())
    for name, (number, rules) in WEAKENED_VARIANTS.items():
        _report(SCENARIOS[number], name, rules)


def _report(scenario: Scenario, variant: str, rules: Rules) -> bool:
    started_at = time.perf_counter()
    result = check_safety(build(scenario, rules), MAX_STATES)
    seconds = time.perf_counter() - started_at
    states = result["reachable_states"]
    verdicts = []
    for rule, found in result["properties"].items():
        if found["holds"] is None:
            verdicts.append(f"undetermined: {rule}")
        elif not found["holds"]:
            verdicts.append(f"broken in {len(found['counterexample']) - 1} steps: {rule}")
    text = "; ".join(verdicts) or "holds"
    participants = (
        f"{scenario.gates}+{scenario.late_gates} gates, {int(scenario.has_scheduler)} scheduler"
    )
    print(f"{participants:24} {variant:40} {states:8} states {seconds:6.1f} s  {text}")
    return not verdicts


if __name__ == "__main__":
    main()
