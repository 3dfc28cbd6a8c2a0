"""Every fault at every failpoint, pairs of faults, and protocols with one rule disabled."""

import unittest
from pathlib import Path

from pollengate.failpoints import Failpoint

from tests.faults.deployment import DisabledRule
from tests.faults.faults import Fault
from tests.faults.matrix import (
    FLOWS,
    CellFailure,
    close_pool,
    render_table,
    run_cells,
    sample_fault_pairs,
    single_fault_cells,
)
from tests.faults.scenario import Cell, run_cell

PAGE = Path(__file__).parents[2] / "docs/design/fault-matrix.md"
SEEDS = (1, 2, 3)
PAIRS_PER_SEED = 40


def tearDownModule() -> None:  # noqa: N802
    """Ends the processes that run cells."""
    close_pool()


class FaultMatrixTest(unittest.TestCase):
    """The rules hold in every cell."""

    injected_by_fault: dict[Fault, set[Failpoint]] = {}

    def check(self, cells: list[Cell]) -> list[Cell]:
        """Runs cells, fails if a rule is violated and returns the cells with an injected fault."""
        results = run_cells(cells)
        failures = [
            CellFailure(cell, result)
            for cell, result in zip(cells, results, strict=True)
            if result.violations
        ]
        self.assertEqual([str(failure) for failure in failures], [])
        return [c for c, result in zip(cells, results, strict=True) if result.injected]

    def test_scenario_without_a_fault_reaches_every_failpoint(self) -> None:
        result = run_cell(Cell())
        self.assertEqual(result.violations, ())
        self.assertEqual(set(Failpoint) - result.reached_failpoints, set())
        self.assertEqual({name for names in FLOWS.values() for name in names}, set(Failpoint))

    def run_fault(self, fault: Fault) -> None:
        """Runs the cells of one fault and keeps the failpoints at which it was injected."""
        injected_cells = self.check(single_fault_cells(fault))
        self.injected_by_fault[fault] = {cell.faults[0][0] for cell in injected_cells}

    # The name sorts after those of the other tests, so that the cells are not run twice.
    def test_zz_page_shows_the_cells_that_were_run(self) -> None:
        for fault in set(Fault) - self.injected_by_fault.keys():
            self.run_fault(fault)
        self.assertIn(render_table(self.injected_by_fault), PAGE.read_text())


class WeakenedProtocolTest(unittest.TestCase):
    """The matrix detects each disabled rule, which shows that its checks are effective."""

    def assert_detected(self, disabled_rule: DisabledRule, rule: str, *faults: Fault) -> None:
        """Asserts that one of the cells of these faults violates a rule."""
        cells = [
            Cell(cell.faults, disabled_rule)
            for fault in faults
            for cell in single_fault_cells(fault)
        ]
        violated = {v.rule for result in run_cells(cells) for v in result.violations}
        self.assertIn(rule, violated)

    def test_worker_that_ignores_epochs_is_detected(self) -> None:
        self.assert_detected(
            DisabledRule.WORKER_IGNORES_EPOCH,
            "no worker is sent more than its capacity",
            Fault.WORKER_CALL_LATE,
        )

    def test_worker_that_ignores_its_lease_is_detected(self) -> None:
        self.assert_detected(
            DisabledRule.WORKER_IGNORES_LEASE, "a task runs in one place", Fault.ONE_WORKER_CUT_OFF
        )

    def test_start_with_an_old_configuration_is_detected(self) -> None:
        self.assert_detected(
            DisabledRule.FRESH_CONFIGURATION_NOT_REQUIRED,
            "no start in a zone out of service",
            Fault.CONFIGURATION_SILENT,
        )


def _add_tests() -> None:
    for fault in Fault:
        name = "test_" + fault.name.lower()

        def run(self: FaultMatrixTest, fault: Fault = fault) -> None:
            self.run_fault(fault)

        setattr(FaultMatrixTest, name, run)
    for seed in SEEDS:

        def run_pairs(self: FaultMatrixTest, seed: int = seed) -> None:
            self.check(sample_fault_pairs(seed, PAIRS_PER_SEED))

        setattr(FaultMatrixTest, f"test_pairs_of_seed_{seed}", run_pairs)


_add_tests()
