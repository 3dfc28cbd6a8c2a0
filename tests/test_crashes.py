"""Tests of tasks that crash their workers, and of crashes that are not the tasks' doing."""

import asyncio
import random
import unittest
from collections.abc import Collection

from pollengate.workflow.clients import EndKind, Report, RunningTask
from pollengate.workflow.crashes import MAX_CRASHES, CrashCause
from pollengate.workflow.model import Demand, Workflow
from pollengate.workflow.progress import JobState, Run
from pollengate.workflow.records import decode_job, decode_progress, encode_job, encode_progress
from pollengate.workflow.records import restore as restore_job
from pollengate.workflow.reports import ReportReconciler
from pollengate.workflow.stragglers import Remedy, find_stragglers

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
)

DEADLY = f"{0xDEAD:016x}"
OTHER_DEADLY = f"{0xDEAE:016x}"
# After three crashes, a third further start breaks the rule.
MAX_STARTS = 5
# A lasting task may be without a run for 3 s in calm, which begins 4 s after its worker is back.
LONGEST_IDLE_S = 7.0


def small_tasks(count: int) -> Workflow:
    """Returns a job of tasks, four of which fit on a worker."""
    return build_workflow(build_step(count, demand=Demand(1000, 100)))


def starts_of(cluster: EdgeCluster, task: str) -> int:
    """Returns how often a task was started."""
    return sum(record.task == task for record in cluster.update_history())


class DeadlyTaskTest(EdgeTestCase):
    """A job whose first task crashes each worker that starts it."""

    async def open_cluster(
        self, workers: int = 8, deadly: Collection[str] = (f"{DEADLY}.0.0.0",)
    ) -> EdgeCluster:
        """Returns a cluster in which some tasks crash their worker."""
        cluster = EdgeCluster(workers=workers)
        for worker in cluster.workers_by_id.values():
            worker.crashes_under = lambda task: task in deadly
        await cluster.open(nodes=3)
        return cluster

    async def check_given_up(self, cluster: EdgeCluster, job_id: str = DEADLY) -> None:
        """Asserts that a job fails after few enough starts of its first task."""
        await cluster.wait_for_state(job_id, "failed")
        await asyncio.sleep(10.0)
        self.assertLessEqual(starts_of(cluster, f"{job_id}.0.0.0"), MAX_STARTS)
        self.check_no_overlap(cluster)

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            await self.check_given_up(cluster)
            self.assertEqual(3, starts_of(cluster, f"{DEADLY}.0.0.0"))

        run_virtual(main())

    def test_jobs_beside_a_deadly_task_are_completed(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(4))
            others = [f"{number:016x}" for number in range(1, 13)]
            for job_id in others:
                await cluster.submit(job_id, small_tasks(4))
                await asyncio.sleep(0.3)
            await self.check_given_up(cluster)
            for job_id in others:
                await cluster.wait_for_state(job_id, "completed")

        run_virtual(main())

    def test_two_deadly_tasks_that_start_together_are_both_given_up(self) -> None:
        async def main() -> None:
            deadly = (f"{DEADLY}.0.0.0", f"{OTHER_DEADLY}.0.0.0")
            cluster = await self.open_cluster(workers=4, deadly=deadly)
            await cluster.submit(DEADLY, small_tasks(1))
            await cluster.submit(OTHER_DEADLY, small_tasks(1))
            await self.check_given_up(cluster)
            await self.check_given_up(cluster, OTHER_DEADLY)

        run_virtual(main())

    def test_step_whose_tasks_all_crash_their_workers_is_given_up(self) -> None:
        async def main() -> None:
            deadly = [f"{DEADLY}.0.0.{index}" for index in range(12)]
            cluster = await self.open_cluster(workers=16, deadly=deadly)
            await cluster.submit(DEADLY, small_tasks(12))
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_copies_of_a_task_that_crashes_its_workers_are_few(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster(workers=16)
            step = build_step(4, is_speculative=True, demand=Demand(1000, 100))
            await cluster.submit(DEADLY, build_workflow(step))
            await cluster.wait_for_state(DEADLY, "failed")
            await asyncio.sleep(10.0)
            self.assertLessEqual(starts_of(cluster, f"{DEADLY}.0.0.0"), MAX_STARTS)

        run_virtual(main())

    def test_long_running_task_that_crashes_its_workers_is_given_up(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            step = build_step(1, is_long_running=True, demand=Demand(1000, 100))
            await cluster.submit(DEADLY, build_workflow(step))
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_successors_know_the_crashes(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            for starts in (2, 3):
                for _ in range(300):
                    if starts_of(cluster, f"{DEADLY}.0.0.0") >= starts:
                        break
                    await asyncio.sleep(0.1)
                owner = cluster.owner()
                if owner is None:
                    continue
                owner.kill()
                await cluster.wait_for_term(owner.name)
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_crashes_outlive_a_restart_of_all_processes(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            await asyncio.sleep(5.0)
            for node in list(cluster.nodes_by_name.values()):
                node.kill()
            for name in ("n3", "n4"):
                cluster.start_node(name)
            await cluster.wait_for_term()
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_outage_of_the_store_adds_no_starts(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            await asyncio.sleep(1.0)
            await cluster.pause_store(12.0)
            await self.check_given_up(cluster)

        run_virtual(main())


class HarmlessTaskTest(EdgeTestCase):
    """Crashes, cuts and departures under tasks that do no harm."""

    def test_waves_of_crashes_fail_no_job(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=33, duration_s=2.2)
            await cluster.open(nodes=2)
            generator = random.Random(9301)
            jobs = []
            for wave in range(5):
                for number in range(4):
                    jobs.append(f"{wave * 16 + number + 1:016x}")
                    await cluster.submit(jobs[-1], small_tasks(20))
                await asyncio.sleep(1.5)
                for worker_id in generator.sample(sorted(cluster.workers_by_id), 12):
                    cluster.workers_by_id[worker_id].crash_for(1.5)
                await asyncio.sleep(1.5)
            for job_id in jobs:
                await cluster.wait_for_state(job_id, "completed")

        run_virtual(main())

    def test_worker_that_is_cut_off_counts_against_no_task(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=2, duration_s=float("inf"))
            await cluster.open(nodes=2)
            step = build_step(2, is_long_running=True, demand=Demand(1000, 100))
            await cluster.submit(DEADLY, build_workflow(step))
            for _ in range(4):
                for worker in cluster.workers_by_id.values():
                    worker.is_unreachable = True
                    await asyncio.sleep(8.0)
                    worker.is_unreachable = False
                    await asyncio.sleep(3.0)
            term = await cluster.wait_for_term()
            job = term.job_table.jobs_by_id[DEADLY]
            self.assertEqual([0, 0], [task.crashes for task in job.tasks()])

        run_virtual(main())


class CrashCountTest(unittest.TestCase):
    """What counts as a crash under a task."""

    def start(self, workers: int = 1) -> list[Run]:
        """Starts a long-running step with a task on each worker."""
        names = [f"w{number}" for number in range(workers)]
        self.job_table = build_job_table(*(build_lease_worker(name) for name in names))
        step = build_step(workers, is_long_running=True, max_per_worker=1)
        self.job_table.add(build_job(DEADLY, step), 0.0, 0)
        runs = build_planner(self.job_table).plan(0.0)
        for run in runs:
            self.job_table.mark_started(run, 0.0)
        return runs

    def crash(self, worker_id: str, now: float, silent_since: float) -> None:
        """Ends the incarnation of a worker that was last heard of at a time."""
        view = self.job_table.fleet.workers_by_id[worker_id]
        view.lease.record_reply(0, silent_since)
        ReportReconciler(self.job_table, view).reset(now, 0)

    def test_crash_counts_against_the_tasks_on_the_worker(self) -> None:
        (run,) = self.start()
        self.crash("w0", 3.0, 1.0)
        self.assertEqual(1, run.task.crashes)

    def test_worker_that_has_drained_did_not_crash(self) -> None:
        (run,) = self.start()
        self.job_table.fleet.workers_by_id["w0"].has_drained = True
        self.crash("w0", 3.0, 1.0)
        self.assertEqual(0, run.task.crashes)

    def test_lease_that_expired_counts_once_the_worker_is_known_to_have_crashed(self) -> None:
        (run,) = self.start()
        view = self.job_table.fleet.workers_by_id["w0"]
        reconciler = ReportReconciler(self.job_table, view)
        reconciler.mark_lapsed(8.0)
        self.assertEqual(0, run.task.crashes)
        reconciler.reset(9.0, 0)
        self.assertEqual(1, run.task.crashes)

    def test_loss_of_power_counts_against_no_task(self) -> None:
        self.start(workers=12)
        other = build_job(OTHER_DEADLY, build_step(12, is_long_running=True, max_per_worker=1))
        self.job_table.add(other, 0.0, 0)
        runs = build_planner(self.job_table).plan(0.0)
        for number, run in enumerate(runs):
            self.job_table.fleet.workers_by_id[run.worker_id].lease.record_reply(0, 1.0)
            if number >= 6:
                self.job_table.mark_lost(run)
        for number in range(12):
            self.crash(f"w{number}", 4.0, 1.0)
        self.assertEqual([0] * 6, [run.task.crashes for run in runs[:6]])

    def test_run_that_had_been_at_work_is_suspected_only_without_a_younger_one(self) -> None:
        (old,) = self.start()
        self.job_table.add(build_job(OTHER_DEADLY, build_step(1)), 60.0, 0)
        (young,) = build_planner(self.job_table).plan(60.0)
        self.crash("w0", 63.0, 60.5)
        self.assertEqual((0, 1), (old.task.crashes, young.task.crashes))
        self.job_table.cancel(young.task.step.job, 0)
        self.job_table.fleet.workers_by_id["w0"].is_attached = True
        (again,) = build_planner(self.job_table).plan(64.0)
        self.crash("w0", 93.0, 90.0)
        self.assertEqual(1, again.task.crashes)

    def test_several_deadly_tasks_do_not_excuse_each_other(self) -> None:
        names = [f"w{number:02}" for number in range(24)]
        self.job_table = build_job_table(*(build_lease_worker(name) for name in names))
        for number in range(4):
            step = build_step(1, demand=Demand(4000, 100))
            self.job_table.add(build_job(f"{number:016x}", step), 0.0, 0)
        runs = build_planner(self.job_table).plan(0.0)
        for run in runs:
            self.crash(run.worker_id, 4.0, 1.0)
        self.assertEqual([1] * 4, [run.task.crashes for run in runs])

    def test_suspect_on_a_silent_worker_gets_no_copy(self) -> None:
        self.job_table = build_job_table(build_lease_worker())
        self.job_table.add(build_job(DEADLY, build_step(1, is_speculative=True)), 0.0, 0)
        (run,) = build_planner(self.job_table).plan(0.0)
        self.job_table.mark_started(run, 0.0)
        view = self.job_table.fleet.workers_by_id["w0"]
        view.lease.record_reply(0, 0.1)
        self.assertEqual([Remedy.COPY], [found.remedy for found in find_stragglers(view, 3.0)])
        run.task.crashes = 1
        self.assertEqual([], find_stragglers(view, 3.0))

    def test_long_running_suspect_returns_to_a_worker_that_failed_it_rather_than_wait(self) -> None:
        (run,) = self.start()
        self.job_table.mark_ended(run, EndKind.FAILED, "", 1.0, 0)
        run.task.crashes = 1
        self.assertEqual(1, len(build_planner(self.job_table).plan(2.0)))

    def test_trials_take_few_workers(self) -> None:
        runs = self.start(workers=32)
        for run in runs:
            run.task.crashes = 2
            self.job_table.mark_lost(run)
        build_planner(self.job_table).plan(4.0)
        views = self.job_table.fleet.workers_by_id.values()
        self.assertEqual(2, sum(view.trial is not None for view in views))

    def test_crashes_are_recorded(self) -> None:
        (run,) = self.start()
        self.crash("w0", 3.0, 1.0)
        job = run.task.step.job
        self.assertIn(job.job_id, self.job_table.outbox.changed)
        stored = decode_job(encode_job(job)).unwrap()
        progress = decode_progress(encode_progress(job)).unwrap()
        restored = restore_job(stored, progress, 0.0).unwrap()
        self.assertEqual([1], [task.crashes for task in restored.tasks()])

    def test_task_is_tried_again_only_after_its_crashes_are_durable(self) -> None:
        (run,) = self.start()
        run.task.crashes = 1
        self.crash("w0", 3.0, 1.0)
        view = self.job_table.fleet.workers_by_id["w0"]
        view.is_attached = True
        self.job_table.outbox.changed.clear()
        run.task.step.job.record_number = 7
        self.job_table.durable_record_number = lambda: 6
        self.assertEqual([], build_planner(self.job_table).plan(4.0))
        self.job_table.durable_record_number = lambda: 7
        self.assertEqual(1, len(build_planner(self.job_table).plan(4.0)))

    def test_no_task_starts_beside_one_that_is_tried_alone(self) -> None:
        (run,) = self.start()
        run.task.crashes = 1
        self.crash("w0", 3.0, 1.0)
        view = self.job_table.fleet.workers_by_id["w0"]
        view.is_attached = True
        self.job_table.take_outbox()
        (trial,) = build_planner(self.job_table).plan(4.0)
        self.assertIs(trial, view.trial)
        self.job_table.add(build_job(OTHER_DEADLY), 4.0, 0)
        self.assertEqual([], build_planner(self.job_table).plan(4.0))

    def test_suspects_with_one_worker_for_all_start_again_in_time(self) -> None:
        # Guards against lasting tasks that start one after the other, 10 s apart (review/10).
        only = build_lease_worker("w0", labels=("only",))
        self.job_table = build_job_table(only, build_lease_worker("w1"))
        view = self.job_table.fleet.workers_by_id["w0"]
        step = build_step(is_long_running=True, required_label="only")
        for number in range(4):
            self.job_table.add(build_job(f"{number:016x}", step), 0.0, 0)
        for run in build_planner(self.job_table).plan(0.0):
            self.job_table.mark_started(run, 0.0)
            run.task.crashes, run.task.crashed_after_s = 1, 6.0
        self.crash("w0", 9.0, 8.0)
        view.is_attached = True
        self.job_table.take_outbox()
        started: list[Run] = []
        now = 10.0
        while now < 10.0 + LONGEST_IDLE_S:
            for run in build_planner(self.job_table).plan(now):
                self.job_table.mark_started(run, now)
                started.append(run)
            now += 0.1
            rows = tuple(RunningTask(run.task.name, run.number, "", 100.0, 1.0) for run in started)
            report = Report(int(now * 1000), view.born_ms, rows, ())
            ReportReconciler(self.job_table, view).apply(report, now, now, 0)
        self.assertEqual(4, len(started))
        # A crash that any of them may have caused gives none of them up.
        self.crash("w0", now + 1.0, now)
        self.assertEqual([3] * 4, [run.task.crashes for run in started])
        self.assertFalse(any(run.task.step.job.is_ended for run in started))

    def test_job_fails_after_the_most_crashes_in_any_case(self) -> None:
        (run,) = self.start()
        run.task.crashes = MAX_CRASHES - 1
        self.crash("w0", 3.0, 1.0)
        self.assertIs(JobState.FAILED, run.task.step.job.state)

    def test_cause_of_a_crash_under_tasks_is_reported(self) -> None:
        self.start()
        found = []
        view = self.job_table.fleet.workers_by_id["w0"]
        ReportReconciler(self.job_table, view, found.append).reset(3.0, 0)
        self.assertEqual([CrashCause.TASKS], [crash.cause for crash in found])


if __name__ == "__main__":
    unittest.main()
