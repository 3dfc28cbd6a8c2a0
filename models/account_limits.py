"""Model of one account's limit in two shards: lost, late and repeated writes, and takeovers.

Run it with `python -m models.account_limits`. Tasks need one unit. The decisions are those of
`pollengate.accounts.parts`; what `AccountLimits` does with unconfirmed writes is mirrored here and
compared with it by a test.
"""

import dataclasses
import functools
import time
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol, check_safety
from pollengate.accounts.parts import NextPart, ResourceRows, next_part, part_in_force

from models.tuples import replaced

__all__ = [
    "MAX_STATES",
    "MAX_VARIANT_STATES",
    "SCENARIOS",
    "WEAKENED_VARIANTS",
    "Rules",
    "Scenario",
    "State",
    "build",
    "main",
]

SHARDS = 2
MAX_STATES = 600_000
MAX_VARIANT_STATES = 60_000
NOT_READ = -1

Rows = tuple[tuple[int, int], ...]  # part and wanted amount of each shard


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol, of which a weakened variant disables one.

    Attributes:
        lowers_before_write: whether a part is lowered locally before it is written.
        raises_after_reply: whether a part is raised only once the write is confirmed.
        checks_revision: whether a write has no effect once the record's revision has moved.
        checks_owner: whether a write of an earlier owner has no effect.
        settles_writes: whether a write without a result counts until the revision has moved.
        knows_runs: whether a successor starts nothing before it knows all runs.
    """

    lowers_before_write: bool = True
    raises_after_reply: bool = True
    checks_revision: bool = True
    checks_owner: bool = True
    settles_writes: bool = True
    knows_runs: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The bounds of a search.

    Attributes:
        name: for the output.
        limit: the limit that the owners know at first.
        lowered_limit: the limit in the configuration, which each owner reads at any later time.
        max_revision: number of writes that take effect.
        takeovers: number of takeovers of shard 0.
        part: part of each shard at first.
        max_transit: number of writes in transit at the same time.
    """

    name: str
    limit: int = 2
    lowered_limit: int = 2
    max_revision: int = 3
    takeovers: int = 0
    part: int = 1
    max_transit: int = 2


class Write(NamedTuple):
    """A write in transit; it may take effect at any later time, more than once."""

    shard: int
    token: int
    base: int
    rows: Rows


class Owner(NamedTuple):
    """The owner of one shard.

    Attributes:
        token: its fencing token.
        is_settled: whether it knows all runs of the shard.
        limit: the limit that it knows.
        base: revision of its copy of the record.
        rows: its copy of the record.
        unconfirmed: parts in its writes without a result that are based on `base`.
        awaited: its write whose result it waits for.
    """

    token: int
    is_settled: bool
    limit: int
    base: int
    rows: Rows
    unconfirmed: tuple[int, ...] = ()
    awaited: Write | None = None


class State(NamedTuple):
    """A state of the model.

    Attributes:
        limit: the limit in the configuration.
        revision: revision of the record.
        rows: rows of the record.
        owners: owners by shard.
        running: runs that exist in each shard.
        writes: writes in transit.
        exceeds: whether an owner with a current copy of the record started a task that took all
            runs above the limit that it knows.
    """

    limit: int
    revision: int
    rows: Rows
    owners: tuple[Owner, ...]
    running: tuple[int, ...]
    writes: frozenset[Write]
    exceeds: bool = False


Step = tuple[str, State]


@functools.cache
def _in_force(limit: int, rows: Rows, shard: int, unconfirmed: tuple[int, ...]) -> int:
    """Calls `part_in_force`."""
    return part_in_force(_resource_rows(limit, rows), shard, unconfirmed, True)


@functools.cache
def _next_part(limit: int, rows: Rows, shard: int, usage: int, waiting: int) -> NextPart:
    """Calls `next_part`."""
    return next_part(_resource_rows(limit, rows), shard, usage, waiting, 0)


def _resource_rows(limit: int, rows: Rows) -> ResourceRows:
    return ResourceRows(limit, tuple(r[0] for r in rows), tuple(r[1] for r in rows))


def build(scenario: Scenario, rules: Rules) -> Protocol:
    """Returns the protocol that is checked for a scenario and rules."""
    model = _Model(scenario, rules)
    rows = ((scenario.part, 0),) * SHARDS
    owner = Owner(1, True, scenario.limit, 1, rows)
    first = State(scenario.lowered_limit, 1, rows, (owner,) * SHARDS, (0,) * SHARDS, frozenset())
    return Protocol(
        name="account_limits",
        candidate=False,
        fields=State._fields,
        initial=first,
        transitions=lambda state: list(model.steps(State(*state))),
        invariants={
            "runs_within_limit": lambda d: sum(d["running"]) <= scenario.limit,
            "rows_cover_runs": lambda d: all(
                count <= row[0] for count, row in zip(d["running"], d["rows"], strict=True)
            ),
            "starts_within_lowered_limit": lambda d: not d["exceeds"],
        },
    )


class _Model:
    def __init__(self, scenario: Scenario, rules: Rules) -> None:
        self._scenario = scenario
        self._rules = rules

    def steps(self, state: State) -> Iterator[Step]:
        for write in state.writes:
            yield from self._store_steps(state, write)
        for shard, owner in enumerate(state.owners):
            if state.running[shard]:
                running = replaced(state.running, shard, state.running[shard] - 1)
                yield f"run of {shard} ends", state._replace(running=running)
            if owner.limit != state.limit:
                yield f"{shard} reads the limit", _with(state, shard, limit=state.limit)
            if owner.base != state.revision or not self._rules.settles_writes:
                yield f"{shard} reads the record", self._read(state, shard)
            if owner.awaited is not None:
                yield f"{shard} gets no reply", _with(state, shard, awaited=None)
            yield from self._start_steps(state, shard)
            yield from self._write_steps(state, shard)
        if state.owners[0].token <= self._scenario.takeovers:
            yield "0 is taken over", self._take_over(state)
        if not state.owners[0].is_settled:
            yield "0 knows all runs", _with(state, 0, is_settled=True)

    def _take_over(self, state: State) -> State:
        """The successor knows no runs and has not read the record."""
        successor = Owner(state.owners[0].token + 1, False, state.limit, NOT_READ, state.rows)
        return state._replace(owners=replaced(state.owners, 0, successor))

    def _read(self, state: State, shard: int) -> State:
        """Mirrors `AccountLimits.apply_record`."""
        owner = state.owners[shard]
        is_settled = owner.base != state.revision or not self._rules.settles_writes
        unconfirmed = () if is_settled else owner.unconfirmed
        return _with(state, shard, base=state.revision, rows=state.rows, unconfirmed=unconfirmed)

    def _start_steps(self, state: State, shard: int) -> Iterator[Step]:
        """Mirrors `AccountLimits.may_start`."""
        owner = state.owners[shard]
        if owner.base == NOT_READ or (self._rules.knows_runs and not owner.is_settled):
            return
        known = state.running[shard] if owner.is_settled else 0
        part = _in_force(owner.limit, owner.rows, shard, owner.unconfirmed)
        if known + 1 > part or state.running[shard] > self._scenario.limit:
            return
        running = replaced(state.running, shard, state.running[shard] + 1)
        is_current = owner.base == state.revision
        exceeds = state.exceeds or (is_current and sum(running) > owner.limit)
        yield f"{shard} starts a task", state._replace(running=running, exceeds=exceeds)

    def _write_steps(self, state: State, shard: int) -> Iterator[Step]:
        """Mirrors `AccountLimits.next_write`, which only a settled owner calls."""
        owner = state.owners[shard]
        if not owner.is_settled or owner.base == NOT_READ or owner.awaited is not None:
            return
        if len(state.writes) >= self._scenario.max_transit or len(owner.unconfirmed) > 1:
            return
        for waiting in (0, self._scenario.limit):
            target = _next_part(owner.limit, owner.rows, shard, state.running[shard], waiting)
            row = (target.part, min(1, target.wanted))
            if row == owner.rows[shard] and not owner.unconfirmed:
                continue
            rows = replaced(owner.rows, shard, row)
            write = Write(shard, owner.token, owner.base, rows)
            lowered = (*owner.unconfirmed, target.part)
            copy = owner.rows
            if not self._rules.lowers_before_write:
                lowered = owner.unconfirmed
            if not self._rules.raises_after_reply and target.part > owner.rows[shard][0]:
                copy = rows
            sent = state._replace(writes=state.writes | {write})
            yield f"{shard} writes {row}", _with(
                sent, shard, awaited=write, unconfirmed=tuple(sorted(set(lowered))), rows=copy
            )

    def _store_steps(self, state: State, write: Write) -> Iterator[Step]:
        """Applies a write, which may be repeated, or loses it; the reply may be lost as well."""
        removed = state._replace(writes=state.writes - {write})
        yield f"write of {write.shard} is lost", removed
        is_current = write.base == state.revision or not self._rules.checks_revision
        is_owner = write.token == state.owners[write.shard].token or not self._rules.checks_owner
        if not is_current or not is_owner or state.revision >= self._scenario.max_revision:
            return
        applied = state._replace(revision=state.revision + 1, rows=write.rows)
        yield f"write of {write.shard} takes effect", applied
        if state.owners[write.shard].awaited == write:
            confirmed = applied._replace(writes=removed.writes)
            yield f"write of {write.shard} is confirmed", _with(
                confirmed,
                write.shard,
                base=applied.revision,
                rows=write.rows,
                unconfirmed=(),
                awaited=None,
            )


def _with(state: State, shard: int, **changes: object) -> State:
    owner = state.owners[shard]._replace(**changes)
    return state._replace(owners=replaced(state.owners, shard, owner))


SCENARIOS = (
    Scenario("constant limit", max_transit=1),
    Scenario("free room", part=0),
    Scenario("takeover", takeovers=1, max_transit=1),
    Scenario("lowered limit", lowered_limit=1, max_transit=1),
)
# The scenario and the invariant that each variant violates.
WEAKENED_VARIANTS = {
    "a part is lowered after its write": (0, "rows_cover_runs", Rules(lowers_before_write=False)),
    "a part is raised before its write": (1, "rows_cover_runs", Rules(raises_after_reply=False)),
    "writes ignore the revision": (1, "runs_within_limit", Rules(checks_revision=False)),
    "writes of earlier owners count": (2, "rows_cover_runs", Rules(checks_owner=False)),
    "a read settles a write": (0, "rows_cover_runs", Rules(settles_writes=False)),
    "a successor starts at once": (2, "runs_within_limit", Rules(knows_runs=False)),
}


def main() -> None:
    """Checks every scenario and every weakened variant and prints what was found."""
    for scenario in SCENARIOS:
        _report(scenario, "protocol", Rules())
    for name, (number, _, rules) in WEAKENED_VARIANTS.items():
        _report(SCENARIOS[number], name, rules, MAX_VARIANT_STATES)


def _report(scenario: Scenario, variant: str, rules: Rules, max_states: int = MAX_STATES) -> None:
    started_at = time.perf_counter()
    result = check_safety(build(scenario, rules), max_states)
    seconds = time.perf_counter() - started_at
    broken = [
        f"{name} in {len(found['counterexample']) - 1} steps"
        for name, found in result["properties"].items()
        if found["holds"] is False
    ]
    states = result["reachable_states"]
    text = "; ".join(broken) or ("holds" if result["exhaustive"] else "undetermined")
    print(f"{scenario.name:16} {variant:36} {states:8} states {seconds:6.1f} s  {text}")


if __name__ == "__main__":
    main()
