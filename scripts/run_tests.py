"""Runs the tests with nose2 and tolerates the failures that KNOWN-RED.txt lists.

An entry of KNOWN-RED.txt is a line that begins with the dotted name of a test. Indented lines and
lines that begin with `#` are explanations. Listed tests run like all others.

Hashes of strings are seeded, unless the environment has a seed: the order of sets follows them.
"""

import dataclasses
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from nose2.main import PluggableTestProgram

__all__ = ["Outcomes", "RunSummary", "known_failures", "summarize", "main"]

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class Outcomes:
    """Collects the outcome of each test; nose2 calls the methods as hooks.

    Attributes:
        started: names of the tests that were started.
        skipped: names of the tests that were skipped.
        failed: names of the tests and fixtures that failed; a test fails if a subtest of it does.
    """

    def __init__(self) -> None:
        self.started: set[str] = set()
        self.skipped: set[str] = set()
        self.failed: set[str] = set()

    def startTest(self, event: Any) -> None:  # noqa: N802
        """Records the start of a test."""
        self.started.add(_name(event.test))

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Records the outcome of a test, a subtest or a fixture."""
        if event.outcome == "skipped":
            self.skipped.add(_name(event.test))
        elif _is_failure(event):
            self.failed.add(_name(event.test))


@dataclasses.dataclass(frozen=True, slots=True)
class RunSummary:
    """The result of a run, compared with the list of known failures.

    Attributes:
        passed: number of passed tests.
        skipped: number of skipped tests.
        failed: names of failed tests that are not listed.
        known: names of failed tests that are listed.
        fixed: names of passed tests that are listed.
        missing: listed names for which no test was run.
    """

    passed: int
    skipped: int
    failed: tuple[str, ...]
    known: tuple[str, ...]
    fixed: tuple[str, ...]
    missing: tuple[str, ...]

    def is_success(self) -> bool:
        """Returns True if any test passed, no unlisted one failed and no listed one is missing."""
        return not self.failed and not self.missing and self.passed > 0

    def lines(self) -> list[str]:
        """Returns the lines of the report; the last one has the counts."""
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
    """Returns the test names that the file lists; none if there is no file."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0].rstrip(":,") for line in lines if line and line[0].isalpha()}


def summarize(outcomes: Outcomes, known: Iterable[str]) -> RunSummary:
    """Compares the outcomes of a run with the names of known failures."""
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
    """Runs the tests, prints the report and returns the exit code.

    Args:
        arguments: command-line arguments of nose2; if empty, all tests run.
        known_failures_path: the list of known failures.
    """
    sys.path.insert(0, str(ROOT))
    outcomes = Outcomes()
    hooks = [("startTest", outcomes), ("testOutcome", outcomes)]
    PluggableTestProgram(module=None, argv=["nose2", *arguments], exit=False, extraHooks=hooks)
    # If only some tests were selected, listed tests that did not run are not reported as missing.
    known = known_failures(known_failures_path)
    summary = summarize(
        outcomes, known & (outcomes.started | outcomes.failed) if arguments else known
    )
    print("\n".join(summary.lines()), flush=True)
    return 0 if summary.is_success() else 1


def _is_failure(event: Any) -> bool:
    # nose2 also reports subtests that passed, and marks no subtest as expected.
    return event.exc_info is not None if event.outcome == "subtest" else not event.expected


def _name(test: Any) -> str:
    # The id of a subtest is that of its test, a space and the parameters of the subtest.
    return str(test.id()).split(" ", 1)[0]


if __name__ == "__main__":
    if "PYTHONHASHSEED" not in os.environ:
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, *sys.argv])
    sys.exit(main(sys.argv[1:]))
