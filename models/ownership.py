"""Checks the ownership models and prints a table of the results.

.venv/bin/python -m models.ownership          # the bounds that the tests use
.venv/bin/python -m models.ownership --wide   # larger bounds; takes some minutes
"""

import dataclasses
import sys
import time
from collections.abc import Callable

from minicheck import Protocol, check_safety

from models.grace_leases import GraceRules, build_grace_leases
from models.ownership_leases import LeaseRules, build_leases
from models.ownership_starts import StartRules, build_starts

__all__ = ["CHECKS", "Check", "Outcome", "WIDE_CHECKS", "run_check"]

MAX_STATES = 2_000_000
MAX_VARIANT_STATES = 16_000


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One search of a model.

    Attributes:
        name: the model and its bounds, or the rule that is weakened.
        build: builds the model.
        expected_violations: invariants for which the search must find a counterexample; empty
            if all invariants must hold.
    """

    name: str
    build: Callable[[], Protocol]
    expected_violations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a search.

    Attributes:
        states: number of states reached.
        is_exhaustive: whether all reachable states were searched.
        counterexample_steps: steps of the shortest counterexample, by violated invariant.
        seconds: wall-clock time of the search.
    """

    states: int
    is_exhaustive: bool
    counterexample_steps: dict[str, int]
    seconds: float


def _lease_check(name: str, *broken: str, **rules: object) -> Check:
    return Check(f"leases: {name}", lambda: build_leases(LeaseRules(**rules)), broken)


def _start_check(name: str, *broken: str, **rules: object) -> Check:
    return Check(f"starts: {name}", lambda: build_starts(StartRules(**rules)), broken)


def _grace_check(name: str, *broken: str, **rules: object) -> Check:
    return Check(f"grace: {name}", lambda: build_grace_leases(GraceRules(**rules)), broken)


_NOT_IDEMPOTENT = {"is_idempotent": False, "sessions": 1}

CHECKS = (
    _lease_check("2 processes, 2 epochs, drift", max_epochs=2),
    _lease_check("owner counts from the reply", "one_owner", owner_counts_from_request=False),
    _lease_check("owner without a margin", "one_owner", owner_margin=0),
    _lease_check(
        "worker counts from the reply",
        "lapse_is_seen_after_it_happened",
        worker_counts_from_request=False,
    ),
    _lease_check("worker without a margin", "lapse_is_seen_after_it_happened", worker_margin=0),
    _lease_check(
        "successor does not wait", "lapse_is_seen_after_it_happened", waits_for_leases=False
    ),
    _grace_check("1 takeover, release, drift"),
    _grace_check("full leases in the grace period", "no_second_run", caps_in_grace=False),
    _grace_check("full leases after a release", "no_second_run", caps_in_release=False),
    _grace_check("successor without a margin", "no_second_run", margin=0),
    _start_check("1 epoch, 2 sessions", max_epochs=1),
    _start_check("2 epochs, 1 session, handover", sessions=1, hands_over=True),
    _start_check("non-idempotent, 2 epochs, 1 session", **_NOT_IDEMPOTENT),
    _start_check("no session fence", "one_place", fences_sessions=False),
    _start_check("no epoch fence", "one_place", fences_epochs=False),
    _start_check("successor does not wait", "one_place", waits_for_workers=False, sessions=1),
    _start_check(
        "acknowledged before recorded",
        "no_start_after_the_end",
        "resumes_from_its_checkpoint",
        acknowledges_after_record=False,
        sessions=1,
    ),
    _start_check(
        "handover used twice",
        "one_place",
        deletes_handover=False,
        max_epochs=3,
        sessions=1,
        hands_over=True,
    ),
    _start_check(
        "intent not recorded", "started_at_most_once", records_intents=False, **_NOT_IDEMPOTENT
    ),
)

WIDE_CHECKS = (
    _lease_check("2 processes, 3 epochs, drift", max_epochs=3),
    _start_check("2 epochs, 2 sessions"),
    _start_check("3 epochs, 1 session, handover", max_epochs=3, sessions=1, hands_over=True),
    _start_check("non-idempotent, 2 epochs, 2 sessions", is_idempotent=False),
    _start_check(
        "running tasks do not report their checkpoint",
        "resumes_from_its_checkpoint",
        reports_checkpoints=False,
    ),
)


def run_check(check: Check, max_variant_states: int = MAX_VARIANT_STATES) -> Outcome:
    """Searches one model.

    The search of a weakened variant stops at `max_variant_states`; a counterexample that it finds
    by then is valid although the search is partial.
    """
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
    """Whether an outcome matches the check.

    Without expected violations, all invariants must hold in an exhaustive search; otherwise a
    counterexample must have been found for each of them.
    """
    if check.expected_violations:
        return set(check.expected_violations) <= outcome.counterexample_steps.keys()
    return outcome.is_exhaustive and not outcome.counterexample_steps


def main(is_wide: bool) -> None:
    """Runs the checks, prints a table row for each and exits with 1 if one is not as expected."""
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
