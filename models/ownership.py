"""Checks the models of ownership and prints what was searched.

.venv/bin/python -m models.ownership          # the bounds that the tests run
.venv/bin/python -m models.ownership --wide   # larger bounds, some minutes
"""

import dataclasses
import sys
import time
from collections.abc import Callable

from minicheck import Protocol, check_safety

from models.ownership_leases import LeaseRules, build_leases
from models.ownership_starts import StartRules, build_starts

__all__ = ["CHECKS", "Check", "Outcome", "WIDE_CHECKS", "run_check"]

MAX_STATES = 2_000_000
MAX_VARIANT_STATES = 16_000


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One search.

    Attributes:
        name: what is searched.
        build: builds the model.
        expected_violations: invariants of which a counterexample must be found; empty if all
            must hold.
    """

    name: str
    build: Callable[[], Protocol]
    expected_violations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a search found.

    Attributes:
        states: states reached.
        is_exhaustive: whether these are all states.
        counterexample_steps: length of the shortest counterexample by broken invariant.
        seconds: time taken.
    """

    states: int
    is_exhaustive: bool
    counterexample_steps: dict[str, int]
    seconds: float


def _leases(name: str, *broken: str, **rules: object) -> Check:
    return Check(f"leases: {name}", lambda: build_leases(LeaseRules(**rules)), broken)


def _starts(name: str, *broken: str, **rules: object) -> Check:
    return Check(f"starts: {name}", lambda: build_starts(StartRules(**rules)), broken)


_NOT_IDEMPOTENT = {"is_idempotent": False, "sessions": 1}

CHECKS = (
    _leases("2 processes, 2 epochs, drift", max_epochs=2),
    _leases("owner counts from the answer", "one_owner", owner_counts_from_request=False),
    _leases("owner without a margin", "one_owner", owner_margin=0),
    _leases(
        "worker counts from the answer",
        "lapse_is_seen_after_it_happened",
        worker_counts_from_request=False,
    ),
    _leases("worker without a margin", "lapse_is_seen_after_it_happened", worker_margin=0),
    _leases("successor does not wait", "lapse_is_seen_after_it_happened", waits_for_leases=False),
    _starts("1 epoch, 2 sessions", max_epochs=1),
    _starts("2 epochs, 1 session, handover", sessions=1, hands_over=True),
    _starts("non-idempotent, 2 epochs, 1 session", **_NOT_IDEMPOTENT),
    _starts("no session fence", "one_place", fences_sessions=False),
    _starts("no epoch fence", "one_place", fences_epochs=False),
    _starts("successor does not wait", "one_place", waits_for_workers=False, sessions=1),
    _starts(
        "acknowledged before recorded",
        "no_start_after_the_end",
        "resumes_from_its_checkpoint",
        acknowledges_after_record=False,
        sessions=1,
    ),
    _starts(
        "handover used twice",
        "one_place",
        deletes_handover=False,
        max_epochs=3,
        sessions=1,
        hands_over=True,
    ),
    _starts(
        "intent not recorded", "started_at_most_once", records_intents=False, **_NOT_IDEMPOTENT
    ),
)

WIDE_CHECKS = (
    _leases("2 processes, 3 epochs, drift", max_epochs=3),
    _starts("2 epochs, 2 sessions"),
    _starts("3 epochs, 1 session, handover", max_epochs=3, sessions=1, hands_over=True),
    _starts("non-idempotent, 2 epochs, 2 sessions", is_idempotent=False),
    _starts(
        "running tasks do not report their checkpoint",
        "resumes_from_its_checkpoint",
        reports_checkpoints=False,
    ),
)


def run_check(check: Check, max_variant_states: int = MAX_VARIANT_STATES) -> Outcome:
    """Searches one model; a counterexample counts in a partial search too."""
    started_at = time.perf_counter()
    limit = max_variant_states if check.expected_violations else MAX_STATES
    result = check_safety(check.build(), max_states=limit)
    lengths = {
        name: len(found["counterexample"]) - 1
        for name, found in result["properties"].items()
        if found["holds"] is False
    }
    seconds = time.perf_counter() - started_at
    return Outcome(result["reachable_states"], result["exhaustive"], lengths, seconds)


def is_as_expected(check: Check, outcome: Outcome) -> bool:
    """Tells whether all rules hold, or the weakened variant breaks those it must."""
    if check.expected_violations:
        return set(check.expected_violations) <= outcome.counterexample_steps.keys()
    return outcome.is_exhaustive and not outcome.counterexample_steps


def main(is_wide: bool) -> None:
    """Runs the checks and prints a table row for each."""
    failed = False
    for check in WIDE_CHECKS if is_wide else CHECKS:
        outcome = run_check(check, MAX_STATES if is_wide else MAX_VARIANT_STATES)
        found = ", ".join(
            f"{name} broken in {n} steps" for name, n in outcome.counterexample_steps.items()
        )
        extent = "all" if outcome.is_exhaustive else "first"
        verdict = "as expected" if is_as_expected(check, outcome) else "NOT AS EXPECTED"
        print(
            f"| {check.name} | {extent} {outcome.states:,} | {found or 'all rules hold'} "
            f"| {outcome.seconds:.1f} s | {verdict} |",
            flush=True,
        )
        failed |= not is_as_expected(check, outcome)
    sys.exit(failed)


if __name__ == "__main__":
    main("--wide" in sys.argv)
