"""Runs the tests with nose2 and passes over the failures that KNOWN-RED.txt lists.

An entry of KNOWN-RED.txt starts with the dotted name of a test at the start of a line; indented
lines and lines that start with `#` explain it. Listed tests run like all others.
"""

import dataclasses
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from nose2.main import PluggableTestProgram

__all__ = ["Outcomes", "RunSummary", "known_failures", "summarize", "main"]

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class Outcomes:
    """Collects the outcome of each test; nose2 calls its methods as hooks.

    Attributes:
        started: names of the tests that were run.
        skipped: names of those that were skipped.
        failed: names of those that failed, also in a subtest.
    """

    def __init__(self) -> None:
        self.started: set[str] = set()
        self.skipped: set[str] = set()
        self.failed: set[str] = set()

    def startTest(self, event: Any) -> None:  # noqa: N802
        """Records a test that is run."""
        self.started.add(_name(event.test))

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Records how a test, a subtest or a fixture ended."""
        if event.outcome == "skipped":
            self.skipped.add(_name(event.test))
        elif _is_failure(event):
            self.failed.add(_name(event.test))


@dataclasses.dataclass(frozen=True, slots=True)
class RunSummary:
    """What a run comes to.

    Attributes:
        passed: number of tests that passed.
        skipped: number of tests that were skipped.
        failed: names of the failures that are not listed.
        known: names of the listed failures.
        fixed: names of listed tests that passed.
        missing: listed names that no test has.
    """

    passed: int
    skipped: int
    failed: tuple[str, ...]
    known: tuple[str, ...]
    fixed: tuple[str, ...]
    missing: tuple[str, ...]

    def is_success(self) -> bool:
        """Tells whether CI may pass; a run without a test may not."""
        return not self.failed and not self.missing and self.passed > 0

    def lines(self) -> list[str]:
        """Returns the report; the counts stand on the last line."""
        report = [f"known failure, listed in KNOWN-RED.txt: {name}" for name in self.known]
        report += [f"passes, remove it from KNOWN-RED.txt: {name}" for name in self.fixed]
        report += [f"listed in KNOWN-RED.txt, but not run: {name}" for name in self.missing]
        report += [f"failed: {name}" for name in self.failed]
        counts = f"{self.passed} passed, {len(self.failed)} failed"
        if self.known:
            counts += f", {len(self.known)} known red"
        if self.skipped:
            counts += f", {self.skipped} skipped"
        return [*report, counts]


def known_failures(path: Path) -> set[str]:
    """Reads the names that a list of known failures holds; none if there is no file."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0].rstrip(":,") for line in lines if line and line[0].isalpha()}


def summarize(outcomes: Outcomes, known: Iterable[str]) -> RunSummary:
    """Compares outcomes with the list of known failures."""
    listed = set(known)
    passed = outcomes.started - outcomes.failed - outcomes.skipped
    return RunSummary(
        passed=len(passed),
        skipped=len(outcomes.skipped),
        failed=tuple(sorted(outcomes.failed - listed)),
        known=tuple(sorted(outcomes.failed & listed)),
        fixed=tuple(sorted(passed & listed)),
        missing=tuple(sorted(listed - outcomes.started - outcomes.failed)),
    )


def main(arguments: list[str], known_failures_path: Path = KNOWN_RED) -> int:
    """Runs the tests that the arguments of nose2 choose; returns the exit code."""
    sys.path.insert(0, str(ROOT))
    outcomes = Outcomes()
    hooks = [("startTest", outcomes), ("testOutcome", outcomes)]
    PluggableTestProgram(module=None, argv=["nose2", *arguments], exit=False, extraHooks=hooks)
    # A chosen part of the tests says nothing about the other entries of the list.
    known = known_failures(known_failures_path)
    summary = summarize(
        outcomes, known & (outcomes.started | outcomes.failed) if arguments else known
    )
    print("\n".join(summary.lines()), flush=True)
    return 0 if summary.is_success() else 1


def _is_failure(event: Any) -> bool:
    # nose2 reports each subtest, also one that passed, and expects none.
    return event.exc_info is not None if event.outcome == "subtest" else not event.expected


def _name(test: Any) -> str:
    # A subtest's id is that of its test with the subtest's parameters after it.
    return str(test.id()).split(" ", 1)[0]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
