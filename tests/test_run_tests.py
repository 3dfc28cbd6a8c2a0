"""Tests of the test runner's list of known failures."""

import contextlib
import io
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

from scripts.run_tests import Outcomes, judge, known_failures, main

CASES = """\
import unittest

class CaseTest(unittest.TestCase):
    def test_good(self):
        with self.subTest(part="good"):
            self.assertTrue(True)
    def test_bad(self): self.fail()
    def test_bad_part(self):
        for part in range(3):
            with self.subTest(part=part):
                self.assertNotEqual(1, part)
    def test_error(self): raise ValueError
    @unittest.expectedFailure
    def test_expected_to_fail(self): self.fail()
    @unittest.expectedFailure
    def test_expected_to_fail_but_passes(self): pass
    @unittest.skip("later")
    def test_skipped(self): pass
"""


def outcomes(started: set[str], failed: set[str], skipped: set[str] | None = None) -> Outcomes:
    """Returns the outcomes of a run."""
    made = Outcomes()
    made.started, made.failed, made.skipped = started, failed, skipped or set()
    return made


class JudgeTest(unittest.TestCase):
    """Compares outcomes with the list."""

    def test_all_pass(self) -> None:
        verdict = judge(outcomes({"t.a", "t.b"}, set()), set())
        self.assertTrue(verdict.is_good())
        self.assertEqual(["2 passed, 0 failed"], verdict.lines())

    def test_failure_that_is_not_listed_fails(self) -> None:
        verdict = judge(outcomes({"t.a", "t.b"}, {"t.b"}), set())
        self.assertFalse(verdict.is_good())
        self.assertEqual(["failed: t.b", "1 passed, 1 failed"], verdict.lines())

    def test_listed_failure_is_reported_and_passed_over(self) -> None:
        verdict = judge(outcomes({"t.a", "t.b"}, {"t.b"}), {"t.b"})
        self.assertTrue(verdict.is_good())
        self.assertIn("known failure, listed in KNOWN-RED.txt: t.b", verdict.lines())
        self.assertEqual("1 passed, 0 failed, 1 known red", verdict.lines()[-1])

    def test_listed_test_that_passes_is_reported(self) -> None:
        verdict = judge(outcomes({"t.a"}, set()), {"t.a"})
        self.assertTrue(verdict.is_good())
        self.assertIn("passes, remove it from KNOWN-RED.txt: t.a", verdict.lines())

    def test_listed_name_without_a_test_fails(self) -> None:
        verdict = judge(outcomes({"t.a"}, set()), {"t.gone"})
        self.assertFalse(verdict.is_good())
        self.assertIn("listed in KNOWN-RED.txt, but not run: t.gone", verdict.lines())

    def test_fixture_that_fails_fails(self) -> None:
        self.assertFalse(judge(outcomes({"t.a"}, {"setUpClass"}), set()).is_good())

    def test_run_without_a_test_fails(self) -> None:
        self.assertFalse(judge(outcomes(set(), set()), set()).is_good())


class RunTest(unittest.TestCase):
    """Runs nose2 on scratch tests."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.addCleanup(sys.modules.pop, "test_scratch_cases", None)
        self.addCleanup(sys.path.__setitem__, slice(None), list(sys.path))
        self.directory = Path(directory.name)
        (self.directory / "test_scratch_cases.py").write_text(CASES)
        self.known_red = self.directory / "KNOWN-RED.txt"

    def run_tests(self) -> tuple[int, list[str]]:
        output = io.StringIO()
        arguments = [
            "--start-dir",
            str(self.directory),
            "--top-level-directory",
            str(self.directory),
        ]
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            code = main(arguments, self.known_red)
        return code, output.getvalue().splitlines()

    def test_failures_fail_the_run(self) -> None:
        code, lines = self.run_tests()
        self.assertEqual(1, code)
        self.assertEqual("2 passed, 4 failed, 1 skipped", lines[-1])

    def test_listed_failures_are_passed_over(self) -> None:
        names = ("test_bad", "test_bad_part", "test_error", "test_expected_to_fail_but_passes")
        entries = [f"test_scratch_cases.CaseTest.{name}\n  seen: x\n" for name in names]
        self.known_red.write_text("# Known failures.\n\n" + "".join(entries))
        code, lines = self.run_tests()
        self.assertEqual(0, code)
        self.assertEqual("2 passed, 0 failed, 4 known red, 1 skipped", lines[-1])


class KnownFailuresTest(unittest.TestCase):
    """Reads the list."""

    def test_takes_names_at_the_start_of_a_line_only(self) -> None:
        text = """\
            # tests.not_this

            tests.test_a.ATest.test_x: issue 4
              command: make test
            tests.test_b.BTest.test_y
            """
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "list.txt"
            path.write_text(textwrap.dedent(text))
            names = known_failures(path)
            self.assertEqual({"tests.test_a.ATest.test_x", "tests.test_b.BTest.test_y"}, names)
            self.assertEqual(set(), known_failures(path.with_name("absent.txt")))
