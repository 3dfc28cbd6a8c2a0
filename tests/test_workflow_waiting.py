"""Tests of the reasons given for tasks that wait for long."""

import dataclasses
import unittest
from unittest import mock

from pollengate.accounts.limits import AccountLimits
from pollengate.accounts.start_filter import AccountStartFilter
from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import ClientAccount, Demand, Step
from pollengate.workflow.start_filter import StartFilter
from pollengate.workflow.waiting import (
    MAX_RESTARTS,
    OverdueRestart,
    WaitCause,
    WaitMonitor,
    Withheld,
)

from tests.workflow_builders import (
    build_deployment,
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    start_all,
)


def causes(
    job_table: JobTable, is_settled: bool = True, start_filter: StartFilter | None = None
) -> list[WaitCause]:
    """Returns the causes given once tasks have waited for long."""
    monitor = WaitMonitor(job_table, lambda: is_settled, start_filter)
    assert monitor.find_overdue(0.0) == []
    return [overdue.cause for overdue in monitor.find_overdue(2.5)]


class WaitMonitorTest(unittest.TestCase):
    """The cause of a wait tells a full shard from a takeover and from a withheld start."""

    def test_tasks_that_fit_on_no_worker_lack_capacity(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("00000000000000aa", build_step(5)), 0.0, 0)
        start_all(job_table)
        self.assertEqual([WaitCause.NO_CAPACITY], causes(job_table))

    def test_restored_job_waits_for_reports(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job = build_job()
        job.is_restored = True
        job_table.add(job, 0.0, 0)
        self.assertEqual([WaitCause.UNSETTLED], causes(job_table, is_settled=False))

    def test_job_whose_queue_was_never_known_has_no_queue(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.deployment = build_deployment(name="other")
        job_table.add(build_job(), 0.0, 0)
        self.assertEqual([WaitCause.NO_QUEUE], causes(job_table))

    def test_job_of_a_removed_queue_keeps_it(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job(), 0.0, 0)
        job_table.deployment = build_deployment(name="other")
        self.assertEqual([WaitCause.WITHHELD], causes(job_table))
        self.assertEqual(len(start_all(job_table)), 1)

    def test_nothing_runs_without_a_schedulable_worker(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job(), 0.0, 0)
        job_table.fleet.workers_by_id["w0"].is_attached = False
        self.assertEqual([WaitCause.NO_WORKER], causes(job_table))

    def test_start_is_withheld_although_a_worker_has_room(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job(), 0.0, 0)
        self.assertEqual([WaitCause.WITHHELD], causes(job_table))

    def test_reasons_against_workers_with_room_are_told_apart(self) -> None:
        # Guards against a log that cannot tell why a job stands still beside free workers.
        workers = [build_lease_worker(f"w{number}") for number in range(4)]
        job_table = build_job_table(*workers)
        job_table.add(build_job("aa"), 0.0, 0)
        for number in range(3):
            job_table.evidence.record_rejection(f"c{number}", "w0")
        job_table.evidence.record_failure("aa.0.0.0", "aa", "w1", 4)
        monitor = WaitMonitor(job_table, lambda: True)
        self.assertEqual([], monitor.find_overdue(0.0))
        (overdue,) = monitor.find_overdue(4.0)
        expected = {Withheld.QUARANTINED: 1, Withheld.FAILED_THERE: 1, Withheld.OTHER: 2}
        self.assertEqual(expected, overdue.withheld)

    def test_limit_of_an_account_is_told_from_a_full_shard(self) -> None:
        """A limit looks like lack of room. Load: a gang of 3 and a task of 1 core, 2 allowed."""
        job_table = build_job_table(build_lease_worker())
        accounts = {"a": ClientAccount("a", limit=Demand(2000))}
        job_table.deployment = dataclasses.replace(job_table.deployment, accounts_by_name=accounts)
        for job_id, step in (("aa", build_step(3, is_gang=True)), ("bb", build_step())):
            job = build_job(job_id, step)
            job.account = "a"
            job_table.add(job, 0.0, 0)
        limits = AccountLimits(0, 1, job_table.account_usage)
        start_filter = AccountStartFilter(job_table, limits, lambda: True, lambda: None)
        found = causes(job_table, start_filter=start_filter)
        self.assertEqual([WaitCause.ACCOUNT_LIMIT, WaitCause.WITHHELD], found)

    def test_step_is_reported_again_after_the_interval_and_not_once_it_has_started(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("00000000000000aa", build_step(demand=Demand(4000))), 0.0, 0)
        monitor = WaitMonitor(job_table, lambda: True)
        counts = [len(monitor.find_overdue(at)) for at in (0.0, 2.5, 3.5, 8.0)]
        self.assertEqual([0, 1, 0, 1], counts)
        start_all(job_table)
        self.assertEqual([], monitor.find_overdue(14.0))


class RestartMonitorTest(unittest.TestCase):
    """A full shard is told from one in which short tasks keep a long-running one waiting."""

    def waiting_restart(self, beside: Step) -> OverdueRestart:
        """Returns the long-running task that failed and whose place tasks of a step took."""
        job_table = build_job_table(build_lease_worker())
        lasting = build_step(is_long_running=True, demand=Demand(3000, 100))
        job_table.add(build_job("00000000000000aa", lasting), 0.0, 0)
        (run,) = start_all(job_table)
        job_table.mark_ended(run, EndKind.FAILED, "", 1.0, 1000)
        job_table.open_steps.clear()
        job_table.add(build_job("00000000000000bb", beside), 1.0, 1000)
        start_all(job_table, 1.0)
        job_table.requeue(run.task)
        monitor = WaitMonitor(job_table, lambda: True)
        self.assertEqual([], monitor.find_overdue_restarts(1.0))
        (overdue,) = monitor.find_overdue_restarts(4.0)
        self.assertEqual(3.0, monitor.longest_restart_wait_s(4.0))
        return overdue

    def test_room_beside_long_running_tasks_shows_that_short_ones_are_in_the_way(self) -> None:
        overdue = self.waiting_restart(build_step(demand=Demand(2000, 100)))
        self.assertEqual(WaitCause.NO_CAPACITY, overdue.cause)
        self.assertEqual((0, 1), (overdue.room, overdue.room_beside_long_running))

    def test_refused_starts_do_not_shorten_a_wait(self) -> None:
        job_table = build_job_table(build_lease_worker())
        step = build_step(is_long_running=True)
        job_table.add(build_job("00000000000000aa", step), 0.0, 0)
        (task,) = job_table.jobs_by_id["00000000000000aa"].tasks()
        task.has_run = True
        monitor = WaitMonitor(job_table, lambda: True)
        self.assertEqual(([], []), (monitor.find_overdue_restarts(0.0), monitor.find_overdue(0.0)))
        for now in (1.0, 2.0):
            (run,) = build_planner(job_table).plan(now)
            self.assertEqual(
                ([], []), (monitor.find_overdue_restarts(now), monitor.find_overdue(now))
            )
            job_table.mark_rejected(run)
        (restart,) = monitor.find_overdue_restarts(2.5)
        (overdue,) = monitor.find_overdue(2.5)
        self.assertEqual((2.5, 2.5), (restart.waited_s, overdue.waited_s))

    def test_waits_of_many_tasks_are_explained_once_a_step_and_reported_in_turn(self) -> None:
        # Guards against 4.7 s for 20,000 tasks that lost their workers.
        job_table = build_job_table(build_lease_worker())
        step = build_step(120, is_long_running=True, demand=Demand(5000, 100))
        job_table.add(build_job("00000000000000aa", step), 0.0, 0)
        for task in job_table.jobs_by_id["00000000000000aa"].tasks():
            task.has_run = True
        monitor = WaitMonitor(job_table, lambda: True)
        self.assertEqual([], monitor.find_overdue_restarts(0.0))
        reported: list[str] = []
        with mock.patch.object(monitor, "_explain", side_effect=monitor._explain) as counted:
            for number in range(3):
                overdue = monitor.find_overdue_restarts(3.0 + number)
                self.assertLessEqual(len(overdue), MAX_RESTARTS)
                reported += [found.task.name for found in overdue]
        self.assertEqual(counted.call_count, 3)
        self.assertEqual((len(reported), len(set(reported))), (120, 120))

    def test_shard_full_of_long_running_tasks_has_no_room_beside_them(self) -> None:
        overdue = self.waiting_restart(build_step(is_long_running=True, demand=Demand(2000, 100)))
        self.assertEqual((0, 0), (overdue.room, overdue.room_beside_long_running))


if __name__ == "__main__":
    unittest.main()
