"""Tests of the leases of earlier owners, by what is known of a worker's incarnation."""

import unittest

from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.memory_store import MemoryStore
from pollengate.workflow.clients import Report
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.leases import PreviousLeases
from pollengate.workflow.reports import ReportReconciler
from pollengate.workflow.shard_lease import OUTAGE_GRACE_S, ShardLease, previous_leases
from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer
from pollengated.edge.settled_incarnations import SettledIncarnations

from tests.utils import run_virtual
from tests.workflow_builders import build_job_table, build_lease_worker

LEASE_S = 5.5
MAX_LEASE_S = 10.0
BORN_MS = 7


def build_leases(**born_by_id: int) -> PreviousLeases:
    """Returns the leases of earlier owners of a shard that was acquired at time 0."""
    return previous_leases(0.0, LEASE_S, MAX_LEASE_S, 3.0, born_by_id)


class PreviousLeasesTest(unittest.TestCase):
    """Guards against a successor that waits for shorter leases than a worker may hold."""

    def test_settled_incarnation_holds_no_longer_lease_than_its_orders_gave(self) -> None:
        leases = build_leases(w0=BORN_MS)
        expire_at = leases.expire_at("w0", BORN_MS, True)
        self.assertGreater(expire_at, LEASE_S / (1 - MAX_CLOCK_DRIFT_RATIO))
        self.assertLess(expire_at, LEASE_S + 0.5)

    def test_other_incarnation_may_hold_the_longest_lease_from_the_grace_period_on(self) -> None:
        leases = build_leases(w0=BORN_MS)
        longest_s = MAX_LEASE_S / (1 - MAX_CLOCK_DRIFT_RATIO)
        for worker_id, born_ms in (("w0", BORN_MS + 1), ("w1", BORN_MS), ("w1", 0)):
            expire_at = leases.expire_at(worker_id, born_ms, True)
            self.assertGreater(expire_at, OUTAGE_GRACE_S + longest_s)

    def test_worker_that_is_not_registered_got_no_order_for_as_long_as_its_registration_lasts(
        self,
    ) -> None:
        leases = build_leases()
        expire_at = leases.expire_at("w0", 0, False)
        self.assertGreater(expire_at, MAX_LEASE_S / (1 - MAX_CLOCK_DRIFT_RATIO) - 3.0)
        self.assertLess(expire_at, leases.longest_expire_at)


class SettledIncarnationsTest(unittest.TestCase):
    """Guards against a list that names an incarnation with leases by another clock."""

    def test_incarnation_is_listed_once_no_longer_lease_is_left(self) -> None:
        async def main() -> None:
            self.open(build_leases())
            self.report(BORN_MS, 0.0)
            self.incarnations.update(0.1)
            self.assertEqual(self.incarnations.born_by_id, {"w0": BORN_MS})
            self.view.lease.extend(1.0)
            self.report(BORN_MS + 1, 1.0)
            self.incarnations.update(1.1)
            self.assertEqual(self.incarnations.born_by_id, {})
            self.incarnations.update(1.0 + MAX_LEASE_S - LEASE_S)
            self.assertEqual(self.incarnations.born_by_id, {})
            self.incarnations.update(1.0 + MAX_LEASE_S)
            self.assertEqual(self.incarnations.born_by_id, {"w0": BORN_MS + 1})

        run_virtual(main())

    def test_silent_worker_stays_listed_unless_it_registers_as_another_incarnation(self) -> None:
        async def main() -> None:
            self.open(build_leases(w0=BORN_MS))
            self.incarnations.update(0.1)
            self.assertEqual(self.incarnations.born_by_id, {"w0": BORN_MS})
            self.job_table.fleet.register(build_lease_worker("w0", born_ms=BORN_MS + 1), 0.7)
            self.incarnations.update(0.7)
            self.assertEqual(self.incarnations.born_by_id, {})

        run_virtual(main())

    def open(self, leases: PreviousLeases) -> None:
        """Creates the list of a shard with one worker."""
        self.job_table = build_job_table(build_lease_worker("w0"))
        fleet = self.job_table.fleet
        del fleet.workers_by_id["w0"]
        fleet.max_lease_s = MAX_LEASE_S
        self.view: WorkerView = fleet.register(build_lease_worker("w0", born_ms=0), 0.0)
        committer = Committer(MemoryStore(), 0, ShardLease(1, 0.0), 0, 0, Clocks.of_loop())
        self.incarnations = SettledIncarnations(0, committer, fleet, leases)
        self.reconciler = ReportReconciler(self.job_table, self.view)

    def report(self, born_ms: int, now: float) -> None:
        """Applies a report of an incarnation that rejects the orders to earlier ones."""
        self.reconciler.apply(Report(0, born_ms, (), ()), now, now, 0, fenced_token=1)
