"""Tests how the test runner treats known failures."""

import contextlib
import io
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

from scripts.run_tests import Outcomes, known_failures, main, summarize

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
    """Builds the outcomes of a run from names of tests."""
    built = Outcomes()
    built.started, built.failed, built.skipped = started, failed, skipped or set()
    return built


class SummarizeTest(unittest.TestCase):
    """Outcomes are compared with the list of known failures."""

    def test_all_pass(self) -> None:
        summary = summarize(outcomes({"t.a", "t.b"}, set()), set())
        self.assertTrue(summary.is_success())
        self.assertEqual(["2 passed, 0 failed"], summary.lines())

    def test_unlisted_failure_fails_the_run(self) -> None:
        summary = summarize(outcomes({"t.a", "t.b"}, {"t.b"}), set())
        self.assertFalse(summary.is_success())
        self.assertEqual(["failed: t.b", "1 passed, 1 failed"], summary.lines())

    def test_listed_failure_is_reported_and_tolerated(self) -> None:
        summary = summarize(outcomes({"t.a", "t.b"}, {"t.b"}), {"t.b"})
        self.assertTrue(summary.is_success())
        self.assertIn("known failure, listed in KNOWN-RED.txt: t.b", summary.lines())
        self.assertEqual("1 passed, 0 failed, 1 known red", summary.lines()[-1])

    def test_listed_test_that_passes_is_reported(self) -> None:
        summary = summarize(outcomes({"t.a"}, set()), {"t.a"})
        self.assertTrue(summary.is_success())
        self.assertIn("passes, remove it from KNOWN-RED.txt: t.a", summary.lines())

    def test_listed_name_without_a_test_fails_the_run(self) -> None:
        summary = summarize(outcomes({"t.a"}, set()), {"t.gone"})
        self.assertFalse(summary.is_success())
        self.assertIn("listed in KNOWN-RED.txt, but not run: t.gone", summary.lines())

    def test_failed_fixture_fails_the_run(self) -> None:
        self.assertFalse(summarize(outcomes({"t.a"}, {"setUpClass"}), set()).is_success())

    def test_run_without_tests_fails(self) -> None:
        self.assertFalse(summarize(outcomes(set(), set()), set()).is_success())


class RunTest(unittest.TestCase):
    """A run of nose2 on temporary test cases."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.addCleanup(sys.modules.pop, "test_scratch_cases", None)
        self.addCleanup(sys.path.__setitem__, slice(None), list(sys.path))
        self.directory = Path(directory.name)
        (self.directory / "test_scratch_cases.py").write_text(CASES)
        self.known_failures_path = self.directory / "KNOWN-RED.txt"

    def run_tests(self) -> tuple[int, list[str]]:
        output = io.StringIO()
        arguments = [
            "--start-dir",
            str(self.directory),
            "--top-level-directory",
            str(self.directory),
        ]
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            code = main(arguments, self.known_failures_path)
        return code, output.getvalue().splitlines()

    def test_failures_fail_the_run(self) -> None:
        code, lines = self.run_tests()
        self.assertEqual(1, code)
        self.assertEqual("2 passed, 4 failed, 1 skipped", lines[-1])

    def test_listed_failures_do_not_fail_the_run(self) -> None:
        names = ("test_bad", "test_bad_part", "test_error", "test_expected_to_fail_but_passes")
        entries = [f"test_scratch_cases.CaseTest.{name}\n  seen: x\n" for name in names]
        self.known_failures_path.write_text("# Known failures.\n\n" + "".join(entries))
        code, lines = self.run_tests()
        self.assertEqual(0, code)
        self.assertEqual("2 passed, 0 failed, 4 known red, 1 skipped", lines[-1])


class KnownFailuresTest(unittest.TestCase):
    """The list of known failures is read from a file."""

    def test_only_names_at_the_start_of_a_line_are_read(self) -> None:
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
