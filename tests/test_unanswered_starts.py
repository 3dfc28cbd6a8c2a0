"""Tests of start orders without a response that are carried out late, on virtual time."""

import asyncio
import dataclasses
import unittest
from collections.abc import Awaitable, Callable

from pollengate.store import Delete, Put
from pollengate.workflow.clients import EndedRun, EndKind, Report, RunningTask
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.leases import longest_lease_expiry
from pollengate.workflow.model import Demand, Step
from pollengate.workflow.progress import Run
from pollengate.workflow.reports import ReportReconciler
from pollengate.workflow.task_delegation import DelegationCandidates
from pollengate.workflow.unanswered_starts import MAX_ORDER_DELAY_S
from pollengate.workflow.worker_transfer import CapacityRequest, worker_to_release
from pollengate_standins.lease_worker import LeaseWorker

from tests.edge_cluster import EdgeCluster, EdgeNode, EdgeTestCase
from tests.utils import poll_until, run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
)

JOB_ID = "00000000000000aa"
MAX_LEASE_S = 10.0
# The order arrives this long after it was sent, at the incarnation that the worker has then.
DELAY_S = 5.0
CUT_S = 8.0

Scenario = Callable[[EdgeCluster, LeaseWorker], Awaitable[None]]


class LateStartTest(EdgeTestCase):
    """Guards against a task that starts elsewhere while the next life of its worker may run it."""

    def play(
        self, scenario: Scenario, is_long_running: bool = False, delay_s: float = DELAY_S
    ) -> EdgeCluster:
        """Plays a scenario after the first start order has had no response."""
        return run_virtual(self.run_scenario(scenario, is_long_running, delay_s))

    async def run_scenario(
        self, scenario: Scenario, is_long_running: bool, delay_s: float
    ) -> EdgeCluster:
        """Submits a task whose first start order is carried out late, by any incarnation."""
        cluster = EdgeCluster(workers=3, duration_s=60.0, max_lease_s=MAX_LEASE_S)
        worker = cluster.workers_by_id["w0"]
        others = [cluster.workers_by_id[name] for name in ("w1", "w2")]
        worker.late_starts_outlive_crashes = True
        await cluster.open()
        await asyncio.sleep(8.0)
        for other in others:
            other.is_unhealthy = True
        worker.start_delay_s = delay_s
        step = build_step(is_long_running=is_long_running)
        await cluster.submit(JOB_ID, build_workflow(step))
        await asyncio.sleep(0.1)
        for other in others:
            other.is_unhealthy = False
        worker.start_delay_s = 0.0
        await scenario(cluster, worker)
        self.check_no_overlap(cluster)
        return cluster

    async def restart_behind_cut(self, worker: LeaseWorker) -> None:
        """Restarts a worker that is cut off until the late order has been carried out."""
        worker.is_unreachable = True
        worker.crash()
        await asyncio.sleep(CUT_S)
        worker.is_unreachable = False
        await asyncio.sleep(2.0)

    def test_order_is_repeated_with_the_number_of_the_run(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            ordered_at = asyncio.get_running_loop().time()
            await poll_until(lambda: bool(worker.running))
            self.assertLess(asyncio.get_running_loop().time() - ordered_at, 1.0)
            await asyncio.sleep(DELAY_S)

        history = self.play(scenario).history
        self.assertEqual(
            [("w0", False)], [(record.worker_id, record.is_late) for record in history]
        )

    def test_order_is_not_repeated_on_a_worker_that_drains_or_is_evacuated(self) -> None:
        async def drain(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await cluster.register("w0", "draining")
            await self.check_not_repeated(cluster)

        async def evacuate(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await cluster.store.commit((), (Put("op/evacuate/a", b"{}"),))
            await self.check_not_repeated(cluster)

        for scenario in (drain, evacuate):
            with self.subTest(scenario=scenario.__name__):
                self.play(scenario)

    async def check_not_repeated(self, cluster: EdgeCluster) -> None:
        """Checks that nothing starts before the late order arrives."""
        await asyncio.sleep(DELAY_S - 0.5)
        self.assertEqual([], cluster.history)

    def test_late_start_on_the_next_incarnation_runs_beside_no_other_run(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await asyncio.sleep(1.5)
            await self.restart_behind_cut(worker)

        for is_long_running in (False, True):
            with self.subTest(is_long_running=is_long_running):
                history = self.play(scenario, is_long_running).history
                self.assertEqual(1, sum(record.ended_at is None for record in history))

    def play_successor(self, end: Callable[[EdgeNode], Awaitable[None]], at_s: float) -> None:
        """Ends the owner while a start has no response, and has its worker carry it out later."""

        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await asyncio.sleep(at_s)
            owner = cluster.serving_node()
            await end(owner)
            await cluster.wait_for_term(owner.name)
            worker.is_unhealthy = True
            await asyncio.sleep(1.0)
            worker.is_unhealthy = False
            await self.restart_behind_cut(worker)

        self.play(scenario, delay_s=9.0)

    def test_late_start_runs_beside_no_run_of_a_successor(self) -> None:
        async def kill(owner: EdgeNode) -> None:
            owner.kill()

        self.play_successor(kill, 0.9)

    def test_start_in_flight_in_a_handover_runs_beside_no_run_of_a_successor(self) -> None:
        async def hand_over(owner: EdgeNode) -> None:
            await owner.run(owner.elector.hand_over())

        self.play_successor(hand_over, 0.1)

    def test_late_start_on_the_second_next_incarnation_runs_beside_no_other_run(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await asyncio.sleep(1.5)
            worker.crash_for(0.3)
            await asyncio.sleep(1.5)
            await self.restart_behind_cut(worker)

        self.play(scenario)

    def test_task_starts_elsewhere_once_its_worker_is_gone(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await asyncio.sleep(1.5)
            worker.is_gone = True
            await cluster.store.commit((), (Delete("servers/w0"),))
            await asyncio.sleep(7.5)
            self.assertTrue(any(record.worker_id != "w0" for record in cluster.history))

        for is_long_running in (False, True):
            with self.subTest(is_long_running=is_long_running):
                self.play(scenario, is_long_running)

    def test_task_waits_until_the_lease_of_a_late_start_has_expired(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            sent_at = asyncio.get_running_loop().time() - 0.1
            worker.is_unreachable = True
            worker.crash()
            await poll_until(lambda: any(r.worker_id != "w0" for r in cluster.history))
            waited_s = asyncio.get_running_loop().time() - sent_at
            self.assertGreater(waited_s, DELAY_S + MAX_LEASE_S)
            self.assertLess(waited_s, longest_lease_expiry(MAX_ORDER_DELAY_S, MAX_LEASE_S) + 1.0)

        self.play(scenario)


class LateStartAfterEndTest(EdgeTestCase):
    """Guards against a second run after the end of the first one was taken note of (review/11)."""

    def play(self, scenario: Scenario, delay_s: float = DELAY_S, fails: bool = False) -> list[str]:
        """Returns the tasks that ran after an end of theirs that is taken note of then or later."""

        async def main() -> list[str]:
            cluster = EdgeCluster(workers=1, duration_s=0.5)
            worker = cluster.workers_by_id["w0"]
            worker.late_starts_outlive_crashes = True
            worker.fails = lambda task: fails
            await cluster.open()
            await asyncio.sleep(8.0)
            worker.start_delay_s = delay_s
            await cluster.submit(JOB_ID, build_workflow())
            await asyncio.sleep(0.1)
            worker.start_delay_s = 0.0
            await scenario(cluster, worker)
            history = cluster.update_history()
            return [
                later.task
                for later in history
                for end in worker.noted_ends
                if end.task == later.task and (end.ended_at or 0.0) < later.began_at
            ]

        return run_virtual(main())

    async def restart_and_start_late(self, cluster: EdgeCluster, worker: LeaseWorker) -> None:
        """Restarts a worker, which gets the late order before its owner has contacted it."""
        worker.crash_for(CUT_S)
        await asyncio.sleep(CUT_S + 5.0)
        self.assertTrue(any(record.is_late for record in cluster.history))

    def test_order_that_arrives_after_a_restart_follows_no_noted_end(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await cluster.wait_for_state(JOB_ID, "completed", 3.0)
            await asyncio.sleep(1.0)
            await self.restart_and_start_late(cluster, worker)

        self.assertEqual([], self.play(scenario))

    def test_successor_keeps_the_end_too(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await cluster.wait_for_state(JOB_ID, "completed", 3.0)
            owner = cluster.serving_node()
            owner.kill()
            await cluster.wait_for_term(owner.name)
            await asyncio.sleep(2.0)
            await self.restart_and_start_late(cluster, worker)

        self.assertEqual([], self.play(scenario, delay_s=9.0))

    def test_failures_are_kept_too(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await cluster.wait_for_state(JOB_ID, "failed", 4.5)
            await self.restart_and_start_late(cluster, worker)

        self.assertEqual([], self.play(scenario, fails=True))

    def test_end_is_acknowledged_once_the_order_has_arrived_too_late(self) -> None:
        async def scenario(cluster: EdgeCluster, worker: LeaseWorker) -> None:
            await cluster.wait_for_state(JOB_ID, "completed", 3.0)
            await asyncio.sleep(5.0)
            self.assertEqual([], worker.noted_ends)
            await asyncio.sleep(MAX_ORDER_DELAY_S - 5.0)
            self.assertEqual(1, len(worker.noted_ends))

        self.assertEqual([], self.play(scenario))


class UnansweredStartTest(unittest.TestCase):
    """Guards against decisions that count an order without a response as not carried out."""

    def build(self, step: Step, born_ms: int = 0) -> tuple[JobTable, list[Run]]:
        """Returns a table of two workers, and the runs of a step whose starts had no response."""
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job_table.add(build_job(JOB_ID, step), 0.0, 0)
        runs = build_planner(job_table).plan(0.0)
        for run in runs:
            run.order_born_ms = born_ms
            job_table.unanswered_starts.record(run, 0.0)
            job_table.mark_lost(run)
        return job_table, runs

    def plan(self, job_table: JobTable, now: float) -> list[str]:
        """Returns the workers of the runs that a plan adds."""
        return [run.worker_id for run in build_planner(job_table).plan(now)]

    def test_task_starts_only_where_an_order_may_still_arrive(self) -> None:
        job_table, (run,) = self.build(build_step())
        view = job_table.fleet.workers_by_id[run.worker_id]
        view.is_attached = False
        self.assertEqual([], self.plan(job_table, MAX_ORDER_DELAY_S))
        view.is_attached = True
        self.assertEqual([run.worker_id], self.plan(job_table, 1.0))

    def test_other_tasks_and_copies_start_anywhere(self) -> None:
        job_table, (run,) = self.build(build_step())
        job_table.fleet.workers_by_id[run.worker_id].is_attached = False
        job_table.add(build_job("00000000000000bb", build_step(2)), 0.0, 0)
        self.assertEqual(2, len(self.plan(job_table, 1.0)))
        job_table, (run,) = self.build(build_step(is_speculative=True))
        job_table.fleet.workers_by_id[run.worker_id].is_attached = False
        self.assertEqual(1, len(self.plan(job_table, 1.0)))

    def test_report_after_the_last_arrival_ends_the_wait(self) -> None:
        job_table, (run,) = self.build(build_step())
        view = job_table.fleet.workers_by_id[run.worker_id]
        view.lease.record_reply(0, MAX_ORDER_DELAY_S + 0.1)
        view.unavailable_until = 100.0
        self.assertNotEqual([run.worker_id], self.plan(job_table, MAX_ORDER_DELAY_S + 0.2))
        job_table.unanswered_starts.forget_arrived(MAX_ORDER_DELAY_S + 0.2)
        self.assertEqual([], job_table.unanswered_starts.list_all())

    def test_task_that_has_failed_on_the_worker_starts_elsewhere(self) -> None:
        """Guards against a job that stands still beside free room."""
        job_table, (run,) = self.build(build_step())
        view = job_table.fleet.workers_by_id[run.worker_id]
        (again,) = build_planner(job_table).plan(1.0)
        self.assertEqual(run.worker_id, again.worker_id)
        job_table.mark_started(again, 1.0)
        ended = EndedRun(1, again.task.name, again.number, EndKind.FAILED, "")
        ReportReconciler(job_table, view).apply(Report(0, 1, (), (ended,)), 1.5, 1.5, 0, 1)
        (other,) = {"w0", "w1"} - {run.worker_id}
        self.assertEqual([other], self.plan(job_table, 2.0))

    def test_gang_waits_for_the_worker_of_a_member(self) -> None:
        job_table, runs = self.build(build_step(2, is_gang=True))
        view = job_table.fleet.workers_by_id[runs[0].worker_id]
        view.unavailable_until = 5.0
        self.assertEqual([], self.plan(job_table, 1.0))
        self.assertEqual(2, len(self.plan(job_table, 6.0)))

    def test_worker_is_not_released_while_an_order_may_arrive(self) -> None:
        job_table, (run,) = self.build(build_step())
        for view in job_table.fleet.workers_by_id.values():
            view.lease.end_misdirection(0.0)
        request = CapacityRequest(1, "service", "", Demand(1000, 100))
        released = worker_to_release(job_table, request, 1.0)
        assert released is not None
        self.assertNotEqual(run.worker_id, released.worker_id)

    def test_task_is_not_delegated_while_an_order_may_arrive(self) -> None:
        job_table, (run,) = self.build(build_step(is_long_running=True))
        for view in job_table.fleet.workers_by_id.values():
            view.unavailable_until = 100.0
        candidates = DelegationCandidates(job_table)
        candidates.find_due(1.0)
        self.assertEqual([], candidates.find_due(5.0))
        candidates.find_due(MAX_ORDER_DELAY_S + 10.0)
        self.assertEqual([run.task], candidates.find_due(MAX_ORDER_DELAY_S + 20.0))

    def test_run_that_began_by_the_only_order_ends_the_wait(self) -> None:
        job_table, (run,) = self.build(build_step())
        job_table.unanswered_starts.settle(run.task.name, run.worker_id, run.number)
        job_table.fleet.workers_by_id[run.worker_id].is_attached = False
        self.assertEqual(1, len(self.plan(job_table, 1.0)))

    def test_task_starts_elsewhere_once_the_worker_is_back_as_another_kind(self) -> None:
        """Guards against 13 s behind a worker that rejects the order and can't run the task."""
        for born_ms, label, is_fenced, starts in (
            (0, "other", True, 0),  # not known to be another incarnation
            (7, "kind", True, 1),  # it returns to the worker
            (7, "other", False, 0),
            (7, "other", True, 1),
        ):
            with self.subTest(born_ms=born_ms, label=label, is_fenced=is_fenced):
                job_table, (run,) = self.build(build_step(required_label="kind"), born_ms=5)
                view = job_table.fleet.workers_by_id[run.worker_id]
                view.born_ms, view.is_fenced = born_ms or 5, is_fenced
                view.info = dataclasses.replace(view.info, labels=(label,), born_ms=view.born_ms)
                (others,) = (
                    v.worker_id for v in job_table.fleet.workers_by_id.values() if v is not view
                )
                expected = [run.worker_id if label == "kind" else others] if starts else []
                self.assertEqual(expected, self.plan(job_table, 1.0))

    def test_run_that_is_seen_while_an_order_is_under_way_settles_nothing(self) -> None:
        """Guards against an order that is forgotten as the other one was carried out."""
        job_table, (run,) = self.build(build_step())
        view = job_table.fleet.workers_by_id[run.worker_id]
        (again,) = build_planner(job_table).plan(1.0)
        again.is_being_ordered = True
        row = RunningTask(again.task.name, again.number, "", 10.0, 1.0)
        ReportReconciler(job_table, view).apply(Report(0, 1, (row,), ()), 1.5, 1.5, 0, 1)
        self.assertTrue(job_table.may_start_again(run.task.name, 2.0))

    def test_end_of_a_member_is_that_of_a_gang_of_which_another_may_start(self) -> None:
        job_table, runs = self.build(build_step(2, is_gang=True))
        first, second = runs
        job_table.unanswered_starts.settle(first.task.name, first.worker_id, first.number)
        self.assertTrue(job_table.may_start_again(first.task.name, 1.0))
        job_table.unanswered_starts.settle(second.task.name, second.worker_id, second.number)
        self.assertFalse(job_table.may_start_again(first.task.name, 1.0))
