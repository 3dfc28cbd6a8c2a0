"""Model of ownership by peer leases: an owner cut off from the store and candidates for its shard.

Process 0 is the owner, the others are schedulers of its zone. Times are in ticks. Run it with
`python -m models.peer_leases`. `_owner` mirrors `OwnershipRenewer`, `_candidate` mirrors
`TakeoverFence`, and `_tick` lets time pass.
"""

import dataclasses
import functools
import time
from typing import NamedTuple

from minicheck import Protocol, check_safety
from pollengate.membership import Member, MemberList, Role, find_unfenced_schedulers

__all__ = ["SCENARIOS", "Rules", "Scenario", "State", "build", "main"]

MARGIN_TICKS = 1
MAX_STATES = 250_000
NO_VALUE = -1

NOT_STARTED, RUNNING, CRASHED = 0, 1, 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol, of which a weakened variant disables one.

    Attributes:
        candidate_needs_fence: whether a candidate has the owner fenced before it takes over.
        fencer_is_known_to_owner: whether the fencing process must be in the list that the owner
            relies on.
        candidate_waits_for_grants: whether a candidate waits until all grants have expired.
        grantor_keeps_margin: whether a grant lasts longer at its grantor than at the owner.
        counts_from_request: whether the owner counts a grant from when it requested it.
        records_after_reading: whether the owner records the revision of a member list only after
            it has read the list.
        records_after_peer_lease_ended: whether the owner records it only once its lease by grants
            of an earlier list has expired.
    """

    candidate_needs_fence: bool = True
    fencer_is_known_to_owner: bool = True
    candidate_waits_for_grants: bool = True
    grantor_keeps_margin: bool = True
    counts_from_request: bool = True
    records_after_reading: bool = True
    records_after_peer_lease_ended: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The processes that take part, and the bounds of the search.

    Attributes:
        name: the scenario in the printed table.
        created: store revision of each initial registration, 0 for a process that starts later.
        drift_ticks: ticks that the owner's clock may skip in total.
        may_crash: processes that may crash.
        max_takeovers: how often the shard may be taken over.
        has_latency: whether requests and grants take time.
        has_store_lease: whether the owner's store lease is valid at first.
        ticks: length of a store lease and of a grant as the owner counts them.
    """

    name: str
    created: tuple[int, ...]
    drift_ticks: int
    may_crash: frozenset[int]
    max_takeovers: int
    has_latency: bool = True
    has_store_lease: bool = True
    ticks: int = 2


class Candidate(NamedTuple):
    """The progress of a candidate.

    Attributes:
        is_taking_over: whether it has begun a takeover.
        fencers: processes of which one must fence the owner, that is, refuse grants from then on;
            None if no fence is needed.
        has_fenced_owner: whether one of them has done so.
        wait_ticks: ticks until the grants that it knows of have expired.
    """

    is_taking_over: bool = False
    fencers: frozenset[int] | None = None
    has_fenced_owner: bool = False
    wait_ticks: int = 0


class State(NamedTuple):
    """A state of the model; tuples are indexed by process.

    Attributes:
        ticks: length of a store lease and of a grant as the owner counts them.
        owned_ticks: ticks for which each process still considers itself the owner.
        drift_ticks: ticks that the owner's clock may still skip.
        basis: the member list that the owner relies on, as (revision, other schedulers).
        peer_lease_ticks: ticks for which the owner's lease by grants is valid.
        recorded_revision: revision of the member list that the owner's registration names.
        holder: process that holds the owner key, NO_VALUE for none.
        key_ticks: ticks for which the lease of the owner key is valid at the store.
        epoch: number of takeovers so far.
        revision: store revision of the member list.
        created: store revision of each process's registration, 0 if it is not registered.
        life: whether each process is NOT_STARTED, RUNNING or CRASHED.
        fenced: processes that refuse grants to the owner.
        granted: ticks for which each process's last grant lasts at that process.
        held: ticks for which the owner relies on each process's grant.
        request_ages: ticks since the owner's request in transit to each process was sent,
            NO_VALUE for none.
        reply_ages: ticks since the request was sent whose grant is in transit, NO_VALUE for none.
        candidates: takeover state of each process.
    """

    ticks: int
    owned_ticks: tuple[int, ...]
    drift_ticks: int
    basis: tuple[int, frozenset[int]]
    peer_lease_ticks: int
    recorded_revision: int
    holder: int
    key_ticks: int
    epoch: int
    revision: int
    created: tuple[int, ...]
    life: tuple[int, ...]
    fenced: frozenset[int]
    granted: tuple[int, ...]
    held: tuple[int, ...]
    request_ages: tuple[int, ...]
    reply_ages: tuple[int, ...]
    candidates: tuple[Candidate, ...]


Successors = list[tuple[str, State]]


def build(scenario: Scenario, rules: Rules) -> Protocol:
    """Returns the protocol that is checked for a scenario and rules."""
    processes = range(len(scenario.created))

    def transitions(wrapped: tuple[State]) -> list[tuple[str, tuple[State]]]:
        state = wrapped[0]
        successors = (
            _owner(state, rules, scenario)
            + _grantors(state, rules)
            + _process_changes(state, scenario)
        )
        for number in processes[1:]:
            successors += _candidate(state, number, rules, scenario.max_takeovers)
        successors += _ticks(state)
        return [(label, (after,)) for label, after in successors]

    return Protocol(
        name=scenario.name,
        candidate=False,
        fields=("state",),
        initial=(_initial(scenario),),
        transitions=transitions,
        invariants={"one owner": lambda d: sum(ticks > 0 for ticks in d["state"].owned_ticks) <= 1},
    )


def _initial(scenario: Scenario) -> State:
    count = len(scenario.created)
    others = frozenset(i for i in range(1, count) if scenario.created[i])
    revision = max(scenario.created)
    return State(
        ticks=scenario.ticks,
        owned_ticks=(scenario.ticks if scenario.has_store_lease else 0,) + (0,) * (count - 1),
        drift_ticks=scenario.drift_ticks,
        basis=(revision, others),
        peer_lease_ticks=0,
        recorded_revision=revision,
        holder=0 if scenario.has_store_lease else NO_VALUE,
        key_ticks=scenario.ticks + MARGIN_TICKS if scenario.has_store_lease else 0,
        epoch=0,
        revision=revision,
        created=scenario.created,
        life=tuple(RUNNING if created else NOT_STARTED for created in scenario.created),
        fenced=frozenset(),
        granted=(0,) * count,
        held=(0,) * count,
        request_ages=(NO_VALUE,) * count,
        reply_ages=(NO_VALUE,) * count,
        candidates=(Candidate(),) * count,
    )


def _replace_item(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return values[:index] + (value,) + values[index + 1 :]


def _owner(state: State, rules: Rules, scenario: Scenario) -> Successors:
    """Mirrors `OwnershipRenewer` and `MemberRegistry`."""
    if state.life[0] != RUNNING:
        return []
    successors: Successors = []
    others = frozenset(i for i in range(1, len(state.created)) if state.created[i])
    if state.basis[1] != others:
        read = state._replace(basis=(state.revision, others))
        if not rules.records_after_reading:
            read = state._replace(recorded_revision=state.revision)
        successors.append(("owner reads members", read))
    if state.holder == 0 and state.owned_ticks[0] < state.ticks:
        renewed = state._replace(
            owned_ticks=_replace_item(state.owned_ticks, 0, state.ticks),
            key_ticks=state.ticks + MARGIN_TICKS,
        )
        successors.append(("owner renews at the store", renewed))
    is_free = state.peer_lease_ticks == 0 or not rules.records_after_peer_lease_ended
    if state.created[0] and state.recorded_revision < state.basis[0] and is_free:
        successors.append(
            ("owner records the list", state._replace(recorded_revision=state.basis[0]))
        )
    return successors + _owner_by_peer_leases(state, rules, scenario)


def _owner_by_peer_leases(state: State, rules: Rules, scenario: Scenario) -> Successors:
    """Mirrors `OwnershipRenewer._renew_by_peer_leases` and `PeerLeaseHolder`."""
    if not state.created[0]:
        return []
    successors: Successors = []
    for other in state.basis[1]:
        if not scenario.has_latency:
            successors += _grant_at_once(state, other, rules)
            continue
        if state.request_ages[other] == NO_VALUE and state.reply_ages[other] == NO_VALUE:
            requested = state._replace(request_ages=_replace_item(state.request_ages, other, 0))
            successors.append((f"owner requests grant of {other}", requested))
        age = state.reply_ages[other]
        if age != NO_VALUE:
            granted_ticks = state.ticks - (age if rules.counts_from_request else 0)
            received = state._replace(
                reply_ages=_replace_item(state.reply_ages, other, NO_VALUE),
                held=_replace_item(state.held, other, max(state.held[other], granted_ticks)),
            )
            successors.append((f"owner receives grant of {other}", received))
    held_ticks = min((state.held[i] for i in state.basis[1]), default=state.ticks)
    if held_ticks > state.owned_ticks[0] and 0 not in state.fenced:
        renewed = state._replace(
            owned_ticks=_replace_item(state.owned_ticks, 0, held_ticks),
            peer_lease_ticks=max(state.peer_lease_ticks, held_ticks),
            granted=_replace_item(state.granted, 0, _grant_ticks(state, rules)),
        )
        successors.append(("owner renews by grants", renewed))
    return successors


def _grant_at_once(state: State, other: int, rules: Rules) -> Successors:
    needs_grant = state.held[other] < state.ticks
    if not needs_grant or state.life[other] != RUNNING or other in state.fenced:
        return []
    granted = state._replace(
        held=_replace_item(state.held, other, state.ticks),
        granted=_replace_item(state.granted, other, _grant_ticks(state, rules)),
    )
    return [(f"{other} grants at once", granted)]


def _grant_ticks(state: State, rules: Rules) -> int:
    return state.ticks + (MARGIN_TICKS if rules.grantor_keeps_margin else 0)


def _grantors(state: State, rules: Rules) -> Successors:
    """Mirrors `PeerRequestHandler.grant`."""
    successors: Successors = []
    for number in range(1, len(state.created)):
        age = state.request_ages[number]
        if age == NO_VALUE:
            continue
        if state.life[number] == RUNNING and number not in state.fenced:
            granted = state._replace(
                request_ages=_replace_item(state.request_ages, number, NO_VALUE),
                reply_ages=_replace_item(state.reply_ages, number, age),
                granted=_replace_item(state.granted, number, _grant_ticks(state, rules)),
            )
            successors.append((f"{number} grants", granted))
    return successors


def _process_changes(state: State, scenario: Scenario) -> Successors:
    """Starts and crashes processes, and expires the registrations of crashed ones."""
    successors: Successors = []
    for number, life in enumerate(state.life):
        if life == NOT_STARTED:
            revision = state.revision + 1
            registered = state._replace(
                revision=revision,
                created=_replace_item(state.created, number, revision),
                life=_replace_item(state.life, number, RUNNING),
            )
            successors.append((f"{number} registers", registered))
        if life == RUNNING and number in scenario.may_crash:
            owned_ticks = _replace_item(state.owned_ticks, number, 0)
            crashed = state._replace(
                life=_replace_item(state.life, number, CRASHED), owned_ticks=owned_ticks
            )
            successors.append((f"{number} crashes", crashed))
        if life == CRASHED and state.created[number]:
            deregistered = state._replace(created=_replace_item(state.created, number, 0))
            successors.append((f"registration of {number} expires", deregistered))
    return successors


@functools.cache
def _fencing_processes(
    created: tuple[int, ...], recorded: int, candidate: int, is_known: bool
) -> frozenset[int] | None:
    """Returns the processes of which one must fence the owner, None if no fence is needed.

    Calls `find_unfenced_schedulers` as `TakeoverFence` does.
    """
    members = tuple(
        Member(str(i), Role.SCHEDULER, "z", "", revision, recorded if i == 0 else 0)
        for i, revision in enumerate(created)
        if revision
    )
    listing = MemberList(max(created), members)
    if not find_unfenced_schedulers(listing, "z", str(candidate), []):
        return None
    ids = [int(member.process_id) for member in members]
    if not is_known:
        return frozenset(ids)
    return frozenset(
        i for i in ids if not find_unfenced_schedulers(listing, "z", str(candidate), [str(i)])
    )


def _candidate(state: State, number: int, rules: Rules, max_epoch: int) -> Successors:
    """Mirrors `TakeoverFence.prepare_takeover` and `OwnerLease.acquire`."""
    if state.life[number] != RUNNING or not state.created[number]:
        return []
    candidate = state.candidates[number]
    if not candidate.is_taking_over:
        if state.holder != NO_VALUE or state.owned_ticks[number] or state.epoch == max_epoch:
            return []
        return [(f"{number} reads members", _begin_takeover(state, number, rules))]
    successors: Successors = []
    for other in range(len(state.created)):
        if other != number and state.life[other] == RUNNING:
            has_fenced = candidate.has_fenced_owner or (
                candidate.fencers is not None and other in candidate.fencers
            )
            wait_ticks = max(candidate.wait_ticks, state.granted[other])
            updated = candidate._replace(has_fenced_owner=has_fenced, wait_ticks=wait_ticks)
            if other not in state.fenced or updated != candidate:
                fenced = state._replace(fenced=state.fenced | {other})
                successors.append(
                    (f"{other} fences the owner", _with_candidate(fenced, number, updated))
                )
    is_fence_complete = (
        candidate.fencers is None or candidate.has_fenced_owner or not rules.candidate_needs_fence
    )
    are_grants_expired = candidate.wait_ticks == 0 or not rules.candidate_waits_for_grants
    if is_fence_complete and are_grants_expired and state.holder == NO_VALUE:
        successors.append((f"{number} takes over", _take(state, number)))
    return successors


def _begin_takeover(state: State, number: int, rules: Rules) -> State:
    fencers = _fencing_processes(
        state.created, state.recorded_revision, number, rules.fencer_is_known_to_owner
    )
    candidate = Candidate(
        is_taking_over=True,
        fencers=fencers,
        has_fenced_owner=fencers is not None and number in fencers,
        wait_ticks=state.granted[number],
    )
    fenced = state.fenced | {number} if rules.candidate_needs_fence else state.fenced
    return _with_candidate(state._replace(fenced=fenced), number, candidate)


def _with_candidate(state: State, number: int, candidate: Candidate) -> State:
    return state._replace(candidates=_replace_item(state.candidates, number, candidate))


def _take(state: State, number: int) -> State:
    return _with_candidate(state, number, Candidate())._replace(
        holder=number,
        key_ticks=state.ticks + MARGIN_TICKS,
        epoch=state.epoch + 1,
        owned_ticks=_replace_item(state.owned_ticks, number, state.ticks),
    )


def _ticks(state: State) -> Successors:
    successors = [("tick", _tick(state, owner_ticks=True))]
    if state.drift_ticks:
        slow = state._replace(drift_ticks=state.drift_ticks - 1)
        successors.append(("tick, the owner's clock is slow", _tick(slow, owner_ticks=False)))
    return successors


def _tick(state: State, owner_ticks: bool) -> State:
    step = 1 if owner_ticks else 0
    key_ticks = max(0, state.key_ticks - 1)
    return state._replace(
        owned_ticks=tuple(
            max(0, ticks - (step if i == 0 else 1)) for i, ticks in enumerate(state.owned_ticks)
        ),
        key_ticks=key_ticks,
        peer_lease_ticks=max(0, state.peer_lease_ticks - step),
        holder=state.holder if key_ticks else NO_VALUE,
        granted=tuple(
            max(0, left - (step if i == 0 else 1)) for i, left in enumerate(state.granted)
        ),
        held=tuple(max(0, left - step) for left in state.held),
        request_ages=tuple(_increment_age(age, step, state.ticks) for age in state.request_ages),
        reply_ages=tuple(_increment_age(age, step, state.ticks) for age in state.reply_ages),
        candidates=tuple(c._replace(wait_ticks=max(0, c.wait_ticks - 1)) for c in state.candidates),
    )


def _increment_age(age: int, step: int, ticks: int) -> int:
    if age == NO_VALUE or age + step >= ticks:
        return NO_VALUE
    return age + step


SCENARIOS = (
    Scenario("owner and one standby", (1, 2), 1, frozenset({1}), 2),
    Scenario("single scheduler, one starts", (1, 0), 1, frozenset({0}), 2),
    Scenario(
        "single scheduler, two start",
        (1, 0, 0),
        0,
        frozenset(),
        1,
        has_latency=False,
        has_store_lease=False,
    ),
    Scenario("standby replaced", (1, 2, 0), 0, frozenset({1}), 1, has_latency=False, ticks=1),
)
WEAKENED_VARIANTS = {
    "no scheduler fences": (0, Rules(candidate_needs_fence=False)),
    "candidate does not wait for grants": (0, Rules(candidate_waits_for_grants=False)),
    "grants have no margin": (0, Rules(grantor_keeps_margin=False)),
    "grants count from the reply": (0, Rules(counts_from_request=False)),
    "any scheduler fences": (1, Rules(fencer_is_known_to_owner=False)),
    "a list is recorded before it is read": (1, Rules(records_after_reading=False)),
    "a list is recorded at once": (1, Rules(records_after_peer_lease_ended=False)),
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
    found = result["properties"]["one owner"]
    seconds = time.perf_counter() - started_at
    steps = len(found.get("counterexample") or []) - 1
    verdict = {True: "holds", False: f"broken in {steps} steps", None: "undetermined"}
    print(
        f"{scenario.name:30} {variant:38} {verdict[found['holds']]:20} "
        f"{result['reachable_states']:8} states {seconds:6.1f} s"
    )
    return bool(found["holds"])


if __name__ == "__main__":
    main()
