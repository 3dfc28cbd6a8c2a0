"""Shortages of room, played with recorded arrivals, sizes and true run times on virtual time."""

import asyncio
import dataclasses
import functools
import itertools
import unittest

from pollengate.overload.admission import MAX_RETRY_AFTER_S, OverloadAdmission
from pollengate.overload.backlog import ShardBacklog
from pollengate.overload.order import AGED_SHARE, OverloadOrder
from pollengate.overload.run_times import MIN_SAMPLES, RunTimes
from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_service import Accepted, NotAccepted
from pollengate.workflow.model import Demand
from pollengate.workflow.ordering import DeadlineOrder, rank
from pollengate.workflow.policy import OverloadPolicy, SchedulingPolicy
from pollengate.workflow.progress import JobState
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.overload_control import OverloadControl

from tests.edge_cluster import EdgeCluster
from tests.overload_load import (
    KINDS,
    LOAD_S,
    ROOM_CORES,
    TASK_CORES,
    TICK_S,
    WORKER_CORES,
    WORKERS,
    ArrivalOrder,
    LeastLoadedOrder,
    Play,
    record_load,
)
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
)

# Less than the slowest queue's arrivals, so that admission has something to decide.
POLICY = OverloadPolicy(is_enabled=True, floor_jobs_per_s=0.25)
NO_FLOOR = OverloadPolicy(is_enabled=True, floor_jobs_per_s=0, floor_share=0)
FACTORS = (1.2, 2.0, 5.0)
ERRORS = (1.0, 2.0)
SEEDS = (1, 2)


@functools.cache
def play(policy: str, factor: float, error: float, seed: int) -> Play:
    """Returns a finished play, with overload control or with one of the usual orders."""
    load = record_load(factor, error, seed)
    if policy == "overload":
        return Play(load, None, POLICY).run()
    order = {"arrival": ArrivalOrder, "deadline": DeadlineOrder, "least": LeastLoadedOrder}[
        policy
    ]()
    return Play(load, order, None).run()


def total_cost(policy: str, factor: float, error: float, *queues: str) -> float:
    """Returns the cost to callers over all seeds, by the recorded truth."""
    return sum(play(policy, factor, error, seed).total_cost(*queues) for seed in SEEDS)


class ShortageTest(unittest.TestCase):
    """Loads of 1.2, 2 and 5 times the room, with right and wrong estimates."""

    def test_urgent_callers_lose_least(self) -> None:
        # Guards against an order or a refusal that costs more than doing nothing about it. Urgent
        # queues alone ask for 0.84, 1.4 and 3.5 times the room.
        for factor, error, other in itertools.product(
            FACTORS, ERRORS, ("arrival", "deadline", "least")
        ):
            with self.subTest(factor=factor, error=error, other=other):
                ours = total_cost("overload", factor, error, "urgent", "large")
                theirs = total_cost(other, factor, error, "urgent", "large")
                self.assertLess(ours, theirs)

    def test_what_is_kept_needs_less_work_than_what_is_lost(self) -> None:
        # Guards against large jobs that displace several small ones whose callers lose as much
        # each: demand of 2 and 5 times the room, judged by the recorded work.
        for factor, error in itertools.product((2.0, 5.0), ERRORS):
            with self.subTest(factor=factor, error=error):
                kept, lost = [], []
                for played in (play("overload", factor, error, seed) for seed in SEEDS):
                    for job in played.load.values():
                        if KINDS[job.queue][0] == 0:
                            is_lost = played.cost(job.job_id) > 0
                            (lost if is_lost else kept).append(job.true_core_s)
                self.assertLess(sum(kept) / len(kept), sum(lost) / len(lost))

    def test_fewer_accepted_jobs_are_of_no_use(self) -> None:
        # Guards against accepting what can't be served: 2 and 5 times the room. Jobs that would be
        # of no use even alone don't count.
        def useless(policy: str, factor: float, error: float) -> int:
            plays = [play(policy, factor, error, seed) for seed in SEEDS]
            return sum(
                played.use(job_id) == 0 < played.use(job_id, played.load[job_id].alone_s)
                for played in plays
                for job_id in played.took_s
            )

        for factor, error in itertools.product((2.0, 5.0), ERRORS):
            with self.subTest(factor=factor, error=error):
                ours = useless("overload", factor, error)
                self.assertLess(ours, useless("deadline", factor, error) / 2)

    def test_no_queue_starves_while_a_shortage_lasts(self) -> None:
        # Guards against strict priorities: urgent jobs alone ask for 1.75 times the room, until
        # after the last useful moment of one batch job. From then on it waits for at most one job
        # of each queue at the share of the room for such jobs.
        batch = record_load(0.1, 1.0, 1, kinds=("batch",))[:1]
        urgent = record_load(5.0, 1.0, 1, load_s=45.0, kinds=("urgent",))
        batch[0].at = 1.0
        played = Play(sorted(batch + urgent, key=lambda job: job.at), None, POLICY).run()
        start = min(at for queue, at in played.starts if queue == "batch")
        estimates_s = [step.estimate_ms / 1000 for step in batch[0].steps]
        useful_s = 3 * (2 * sum(estimates_s) + 1)
        work = sum(20 * estimate_s for estimate_s in estimates_s) + 4 * 1.5 * TASK_CORES
        self.assertLess(start, 1 + useful_s + work / (AGED_SHARE * ROOM_CORES))
        self.assertLess(start, 45.0)

    def test_backlog_ends_in_the_time_that_its_work_needs(self) -> None:
        # Guards against a shortage that outlasts its load, and a queue of which less than the floor
        # is accepted. While a task waits, each worker has less
        # than a task's cores free; after that the longest chains end, one tick late a step.
        for factor, error, seed in itertools.product(FACTORS, ERRORS, SEEDS):
            with self.subTest(factor=factor, error=error, seed=seed):
                played = play("overload", factor, error, seed)
                accepted = [job for job in played.load.values() if job.job_id in played.took_s]
                left = [job for job in accepted if job.at + played.took_s[job.job_id] > LOAD_S]
                cores = WORKERS * (WORKER_CORES - TASK_CORES + 1)
                work_s = sum(job.true_core_s for job in left) / cores
                chain_s = max(job.alone_s for job in left) + 2 * TICK_S
                self.assertLess(played.end, LOAD_S + work_s + chain_s)
                self.assertEqual(len(accepted) + len(played.refused), len(played.load))
                for queue in KINDS:
                    arrivals = {i for i, job in played.load.items() if job.queue == queue}
                    refused = len(played.refused.keys() & arrivals)
                    self.assertLessEqual(refused, len(arrivals) * 3 / 4 + 1)

    def test_without_a_shortage_nothing_changes(self) -> None:
        # Guards against decisions from an estimate alone: a load of 0.3 times the room.
        for error, seed in itertools.product(ERRORS, SEEDS):
            with self.subTest(error=error, seed=seed):
                ours = play("overload", 0.3, error, seed)
                today = play("deadline", 0.3, error, seed)
                self.assertEqual((ours.was_short, ours.refused), (False, {}))
                self.assertEqual((ours.starts, ours.took_s), (today.starts, today.took_s))

    def test_retries_come_back_one_by_one(self) -> None:
        # Guards against all refused clients of a shortage of 5 coming back at the same time.
        retries = sorted(play("overload", 5.0, 1.0, 1).refused.values())
        self.assertGreaterEqual(retries[0], 1.0)
        self.assertLessEqual(retries[-1], 2 * MAX_RETRY_AFTER_S)
        self.assertGreater(len({round(retry_s, 3) for retry_s in retries}), 0.9 * len(retries))


class DecisionTest(unittest.TestCase):
    """Single decisions."""

    def setUp(self) -> None:
        self.job_table = build_job_table(build_lease_worker(), stretch=1.5, target_ms=300)
        queue = self.job_table.deployment.queue("queue")
        assert queue is not None
        self.queue = queue
        self.is_settled = True
        self.backlog = ShardBacklog(self.job_table, NO_FLOOR, lambda: self.is_settled)
        self.admission = OverloadAdmission(self.backlog, NO_FLOOR)
        self.order = OverloadOrder(self.backlog)

    def fill(self, since: float, until: float, **step: object) -> None:
        """Adds 40 jobs of 4 tasks of a second for 4 cores; updates each 0.1 s up to a time."""
        self.backlog.update(since)
        for number in range(40):
            job = build_job(f"{number:016x}", build_step(4, **step))
            job.accepted_at = until - 0.5
            self.job_table.add(job, until - 0.5, 0)
        for tenth in range(round(since * 10), round(until * 10) + 1):
            self.backlog.update(tenth / 10)
            self.order.update(tenth / 10)

    def is_refused(self, now: float, **changes: object) -> bool:
        """Returns whether a job of 400 tasks is refused, which takes 100 s alone."""
        job = build_job("ff", build_step(400, **changes))
        job.accepted_at = now
        return self.admission.find_refusal(job, self.queue, now) is not None

    def test_owner_that_knows_too_little_accepts(self) -> None:
        # Guards against refusals after a takeover, for a backlog of 40 s.
        self.is_settled = False
        self.fill(0.0, 5.0)
        self.assertFalse(self.is_refused(5.0))
        self.is_settled = True
        self.fill(5.1, 6.5)
        self.assertFalse(self.is_refused(6.5))
        self.fill(6.6, 8.0)
        self.assertTrue(self.is_refused(8.0))

    def test_long_running_and_scheduled_jobs_are_accepted_and_go_first(self) -> None:
        # Guards against a serving task that waits behind the jobs of a shortage of 10 times.
        self.fill(0.0, 5.0)
        self.assertTrue(self.is_refused(5.0))
        self.assertFalse(self.is_refused(5.0, is_long_running=True))
        serving = build_job("ee", build_step(1, is_long_running=True))
        self.job_table.add(serving, 5.0, 0)
        steps = sorted(
            self.job_table.open_steps, key=lambda step: self.order.key(step, self.queue, 5.0)
        )
        self.assertIs(steps[0].job, serving)

    def test_jobs_for_which_workers_may_be_transferred_are_not_refused(self) -> None:
        # Guards against refusals by a full shard while other shards have room. Load: 10 times.
        self.fill(0.0, 5.0)
        self.assertTrue(self.is_refused(5.0))
        self.admission = OverloadAdmission(self.backlog, NO_FLOOR, may_get_workers=True)
        self.assertFalse(self.is_refused(5.0))
        self.fill(5.1, 10.0, is_filler=True)
        self.assertTrue(self.is_refused(10.0, is_filler=True))

    def test_shortage_of_fillers_leaves_other_jobs_alone(self) -> None:
        # Guards against one room's shortage that delays or refuses work of the other.
        self.fill(0.0, 5.0, is_filler=True)
        self.assertTrue(self.is_refused(5.0, is_filler=True))
        self.assertFalse(self.is_refused(5.0))
        self.job_table.add(build_job("ee"), 5.0, 0)
        (step,) = [step for step in self.job_table.open_steps if step.job.job_id == "ee"]
        self.assertEqual(self.order.key(step, self.queue, 5.0), rank(step, self.queue, 5.0))

    def test_tasks_larger_than_the_free_part_of_any_worker_have_no_room(self) -> None:
        # Guards against adding up free cores of workers on which no task fits: deployment 2.
        self.fill(0.0, 5.0, demand=Demand(3000, 1))
        (state,) = self.backlog.states_by_pool.values()
        self.assertEqual(state.room_cores, 3.0)

    def test_room_of_fillers_is_what_they_complete(self) -> None:
        # Guards against unused cores that fillers may not use: one of four runs, at half speed.
        job = build_job("aa", build_step(2, is_filler=True))
        self.job_table.add(job, 0.0, 0)
        (view,) = self.job_table.fleet.workers_by_id.values()
        view.fillers_blocked_until = float("inf")
        task, other = job.tasks()
        run = self.job_table.add_run(task, view, 1, 0.0)
        for tenth in range(20):
            self.backlog.update(tenth / 10)
        self.job_table.mark_ended(run, EndKind.DONE, "", 2.0, 0)
        self.job_table.add_run(other, view, 1, 2.0)
        self.job_table.add(build_job("bb", build_step(1, is_filler=True)), 2.0, 0)
        self.backlog.update(2.0)
        (state,) = self.backlog.states_by_pool.values()
        self.assertAlmostEqual(state.room_cores, 0.5, delta=0.01)

    def test_systematically_wrong_estimates_are_corrected(self) -> None:
        # Guards against a caller that gets ahead by understating its work by half.
        run_times = RunTimes()
        for _ in range(MIN_SAMPLES - 1):
            run_times.record("queue", "image", 1.0, 2.0)
        self.assertEqual(run_times.factor("queue", "image"), 1.0)
        run_times.record("queue", "image", 1.0, 2.0)
        self.assertEqual(run_times.factor("queue", "image"), 2.0)


class AccountTest(unittest.TestCase):
    """Overload in deployments with client accounts."""

    def test_backlog_of_one_account_refuses_no_job_of_another(self) -> None:
        # Guards against refusals for the work of an account beyond its share: a backlog of 40 s.
        job_table = build_job_table(build_lease_worker(), stretch=1.5, target_ms=300)
        control = OverloadControl(0, job_table, NO_FLOOR, EdgeMetrics(), lambda: True, False)
        control.update(0.0)
        for number in range(40):
            job_table.add(build_job(f"{number:016x}", build_step(4)), 0.0, 0)
        for tenth in range(51):
            control.update(tenth / 10)
        job = build_job("ff", build_step(400))
        self.assertIsNotNone(control.find_refusal(job, 5.0))
        job_table.deployment = dataclasses.replace(job_table.deployment, accounts_by_name={})
        self.assertIsNone(control.find_refusal(job, 5.0))


class OwnerTest(unittest.TestCase):
    """Refusals by an owner with four cores, whose queue of 16 s exceeds its objective of 2 s."""

    def test_refused_job_is_not_stored_and_stored_job_is_not_refused(self) -> None:
        # Guards against a job that runs after a refusal, and one refused with its record queued.
        async def main() -> None:
            cluster = EdgeCluster(workers=1, duration_s=1.0)
            cluster.policy = SchedulingPolicy(NO_FLOOR)
            await cluster.open(nodes=1)
            await asyncio.sleep(3.0)
            workflow = build_workflow(build_step(4))
            ids = [f"{number:016x}" for number in range(16)]
            await asyncio.gather(*(cluster.submit(job_id, workflow) for job_id in ids))
            await asyncio.sleep(0.2)
            store = cluster.serving_node().store
            store.is_down = True
            pending = asyncio.create_task(cluster.submit("ee", workflow))
            await asyncio.sleep(0.3)
            refused = await cluster.submit("ff", workflow)
            assert isinstance(refused, NotAccepted)
            self.assertEqual((refused.reason, refused.is_overload), ("overload", True))
            again = asyncio.create_task(cluster.submit("ee", workflow))
            await asyncio.sleep(0)
            store.is_down = False
            self.assertEqual(await asyncio.gather(pending, again), [Accepted(), Accepted()])
            self.assertEqual(await cluster.submit(ids[0], workflow), Accepted())
            await cluster.wait_for_state("ee", JobState.COMPLETED)
            self.assertNotIn("ff", {start.task.split(".")[0] for start in cluster.update_history()})

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
