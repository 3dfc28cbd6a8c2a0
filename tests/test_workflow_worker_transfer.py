"""Tests of when a shard is short of capacity and which worker another shard releases."""

import dataclasses
import unittest

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Step
from pollengate.workflow.worker_transfer import (
    CapacityRequest,
    choose_shortage,
    find_shortages,
    is_movable,
    release_delay_s,
    worker_to_release,
)

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    start_all,
)

NOW = 5.0
LONG_RUNNING = build_step(is_long_running=True, demand=Demand(3000, 100))


def shortage(job_table: JobTable, is_settled: bool = True) -> CapacityRequest | None:
    """Returns the shortage of shard 0."""
    return choose_shortage(find_shortages(0, job_table, lambda: is_settled, 1.0), 0)


def add_job(job_table: JobTable, job_id: str, step: Step, is_restored: bool = False) -> None:
    """Adds a job of one step to a job table."""
    job = build_job(job_id, step)
    job.is_restored = is_restored
    job_table.add(job, 0.0, 0)


class ShortageTest(unittest.TestCase):
    """A shard requests a worker if a task that other shards could run fits on none of its own."""

    def full_job_table(self, step: Step, **changes: bool) -> JobTable:
        """Returns a job table whose only worker has one core left, and a job that waits."""
        job_table = build_job_table(build_lease_worker())
        add_job(job_table, "00000000000000aa", LONG_RUNNING)
        start_all(job_table)
        add_job(job_table, "00000000000000bb", step, **changes)
        return job_table

    def test_task_that_fits_on_no_worker_is_short_of_its_demand_and_label(self) -> None:
        job_table = self.full_job_table(LONG_RUNNING)
        expected = CapacityRequest(0, "service", "", Demand(3000, 100), True)
        self.assertEqual(expected, shortage(job_table))
        labelled = self.full_job_table(build_step(required_label="other"))
        expected = CapacityRequest(0, "service", "other", Demand(1000, 100))
        self.assertEqual(expected, shortage(labelled))

    def test_task_that_fits_is_not_short(self) -> None:
        self.assertIsNone(shortage(self.full_job_table(build_step(demand=Demand(1000)))))

    def test_long_running_task_is_requested_for_before_a_batch_task(self) -> None:
        job_table = self.full_job_table(build_step(demand=Demand(2000)))
        add_job(job_table, "00000000000000cc", LONG_RUNNING)
        found = shortage(job_table)
        assert found is not None
        self.assertTrue(found.is_long_running)

    def requested_workers(self, step: Step, waiting_again: int = 0) -> int:
        """Returns how many workers a shard with a full worker of four cores requests for a step.

        Args:
            step: the step.
            waiting_again: number of tasks of the step that have run before.
        """
        job_table = build_job_table(build_lease_worker())
        add_job(job_table, "00000000000000aa", build_step(demand=Demand(4000, 1000)))
        start_all(job_table)
        add_job(job_table, "00000000000000bb", step)
        (opened,) = (s for s in job_table.open_steps if s.job.job_id.endswith("bb"))
        for task in list(opened.waiting)[:waiting_again]:
            task.last_run = 1
            task.has_run = True
        found = shortage(job_table)
        assert found is not None
        return found.workers

    def test_tasks_that_may_not_share_a_worker_are_not_requested_for_one_at_a_time(self) -> None:
        for limit, workers in ((1, 5), (2, 3), (4, 2), (0, 2)):
            step = build_step(5, is_long_running=True, max_per_worker=limit)
            self.assertEqual(workers, self.requested_workers(step), limit)

    def test_tasks_that_fill_a_workers_memory_are_not_requested_for_as_if_they_shared_it(
        self,
    ) -> None:
        step = build_step(5, is_long_running=True, demand=Demand(1000, 600))
        self.assertEqual(5, self.requested_workers(step))

    def test_request_for_tasks_without_a_demand_is_no_error(self) -> None:
        job_table = build_job_table(build_lease_worker())
        step = build_step(2, is_long_running=True, demand=Demand(), max_per_worker=1)
        add_job(job_table, "00000000000000aa", step)
        start_all(job_table)
        found = shortage(job_table)
        assert found is not None
        self.assertEqual(1, found.workers)
        gang = build_step(2, is_gang=True, demand=Demand())
        add_job(job_table, "00000000000000bb", gang)
        self.assertEqual(found, shortage(job_table))

    def test_wide_step_does_not_take_all_workers_of_other_shards(self) -> None:
        step = build_step(100, is_long_running=True, max_per_worker=1)
        self.assertEqual(8, self.requested_workers(step))

    def test_first_starts_take_no_workers_with_the_precedence_of_restarts(self) -> None:
        step = build_step(8, is_long_running=True, max_per_worker=1)
        self.assertEqual(2, self.requested_workers(step, waiting_again=2))

    def test_filler_is_not_short(self) -> None:
        job_table = self.full_job_table(build_step(is_filler=True, demand=Demand(4000, 2000)))
        self.assertIsNone(shortage(job_table))

    def test_room_on_a_quarantined_worker_does_not_count(self) -> None:
        job_table = build_job_table(build_lease_worker())
        add_job(job_table, "00000000000000aa", build_step())
        for number in range(3):
            job_table.evidence.record_rejection(f"job{number}", "w0")
        self.assertIsNotNone(shortage(job_table))

    def test_gang_is_short_unless_all_its_members_fit(self) -> None:
        self.assertIsNotNone(shortage(self.full_job_table(build_step(2, is_gang=True))))
        self.assertIsNone(shortage(self.full_job_table(build_step(1, is_gang=True))))

    def test_nothing_is_requested_for_a_task_that_may_still_run(self) -> None:
        job_table = self.full_job_table(LONG_RUNNING, is_restored=True)
        self.assertIsNone(shortage(job_table, is_settled=False))


class ReleaseTest(unittest.TestCase):
    """A worker is released only if all its long-running tasks can move at once to other workers."""

    request = CapacityRequest(1, "service", "", Demand(3000, 100))

    def test_worker_with_the_fewest_runs_is_released(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        add_job(job_table, "00000000000000aa", build_step())
        (run,) = start_all(job_table)
        view = worker_to_release(job_table, self.request, NOW)
        assert view is not None
        self.assertNotEqual(run.worker_id, view.worker_id)

    def test_worker_that_may_hold_a_longer_lease_than_its_next_owner_counts_with_is_kept(
        self,
    ) -> None:
        job_table = build_job_table(build_lease_worker("w0"))
        lease = job_table.fleet.workers_by_id["w0"].lease
        lease.record_reply(0, NOW)
        lease.extend(NOW)
        lease.begin_incarnation(NOW)
        self.assertIsNone(worker_to_release(job_table, self.request, NOW))
        lease.end_misdirection(NOW)
        self.assertIsNone(worker_to_release(job_table, self.request, NOW))
        self.assertIsNotNone(worker_to_release(job_table, self.request, lease.expires_at()))

    def serving_job_table(self, *worker_ids: str, count: int = 1) -> JobTable:
        """Returns a job table with a long-running job whose tasks are past their startup."""
        job_table = build_job_table(*(build_lease_worker(name) for name in worker_ids))
        step = build_step(count, is_long_running=True, demand=Demand(3000, 100))
        add_job(job_table, "00000000000000aa", step)
        for run in start_all(job_table):
            run.percent = 100.0
        return job_table

    def test_worker_whose_long_running_task_fits_nowhere_else_is_kept(self) -> None:
        request = dataclasses.replace(self.request, is_long_running=True)
        job_table = self.serving_job_table("w0")
        self.assertIsNone(worker_to_release(job_table, request, NOW))
        job_table = self.serving_job_table("w0", "w1", count=2)
        self.assertIsNone(worker_to_release(job_table, request, NOW))

    def test_long_running_task_moves_only_for_another_one(self) -> None:
        job_table = self.serving_job_table("w0", "w1")
        fleet = job_table.fleet
        (used,) = (view for view in fleet.workers_by_id.values() if view.runs)
        (other,) = (view for view in fleet.workers_by_id.values() if not view.runs)
        self.assertIs(other, worker_to_release(job_table, self.request, NOW))
        other.info = dataclasses.replace(other.info, labels=())
        request = dataclasses.replace(self.request, required_label="kind")
        self.assertIsNone(worker_to_release(job_table, request, NOW))
        request = dataclasses.replace(request, is_long_running=True)
        self.assertIs(used, worker_to_release(job_table, request, NOW))

    def test_worker_whose_room_a_task_that_is_being_moved_needs_is_kept(self) -> None:
        job_table = self.serving_job_table("w0", "w1", "w2")
        views = job_table.fleet.workers_by_id.values()
        (moved,) = (view for view in views if view.runs)
        moved.is_released = True
        kept = worker_to_release(job_table, self.request, NOW, [moved])
        assert kept is not None
        kept.is_released = True
        self.assertIsNone(worker_to_release(job_table, self.request, NOW, [moved, kept]))

    def test_no_long_running_task_moves_while_another_of_its_step_is_away(self) -> None:
        job_table = self.serving_job_table("w0", "w1", "w2", count=2)
        runs = [
            run for view in job_table.fleet.workers_by_id.values() for run in view.runs.values()
        ]
        self.assertEqual([False, False], [is_movable(run, 1.0) for run in runs])
        self.assertEqual([True, True], [is_movable(run, NOW) for run in runs])
        job_table.stop(runs[0])
        self.assertEqual([False, False], [is_movable(run, NOW) for run in runs])

    def test_quarantined_worker_is_neither_released_nor_counted_as_room(self) -> None:
        job_table = self.serving_job_table("w0", "w1")
        (other,) = (v.worker_id for v in job_table.fleet.workers_by_id.values() if not v.runs)
        for number in range(3):
            job_table.evidence.record_rejection(f"job{number}", other)
        request = dataclasses.replace(self.request, is_long_running=True)
        self.assertIsNone(worker_to_release(job_table, request, NOW))

    def test_worker_that_the_task_does_not_fit_on_is_kept(self) -> None:
        job_table = build_job_table(build_lease_worker())
        for request in (
            CapacityRequest(1, "service", "", Demand(4001, 100)),
            CapacityRequest(1, "service", "other", Demand(1000, 100)),
            CapacityRequest(1, "other", "", Demand(1000, 100)),
        ):
            self.assertIsNone(worker_to_release(job_table, request, NOW))

    def test_released_worker_gets_no_start(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.fleet.workers_by_id["w0"].is_released = True
        add_job(job_table, "00000000000000aa", build_step())
        self.assertEqual([], build_planner(job_table).plan(0.0))

    def test_shard_with_more_room_responds_sooner(self) -> None:
        idle = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        busy = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        add_job(busy, "00000000000000aa", LONG_RUNNING)
        start_all(busy)
        delays = [release_delay_s(table.fleet, self.request, 1.0) for table in (idle, busy)]
        self.assertEqual(sorted(delays), delays)
        self.assertLess(delays[0], delays[1])

    def test_worker_is_forgotten_once_its_new_assignment_is_known(self) -> None:
        fleet = build_job_table(build_lease_worker()).fleet
        fleet.workers_by_id["w0"].is_released = True
        fleet.update([], 1.0)
        self.assertEqual([], fleet.forget_departed(1.0))
        view = fleet.workers_by_id["w0"]
        self.assertIsNone(fleet.forget_transferred("w0", 0))
        self.assertIs(view, fleet.forget_transferred("w0", 7))
        self.assertEqual({}, fleet.workers_by_id)


if __name__ == "__main__":
    unittest.main()
