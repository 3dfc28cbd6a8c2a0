"""Shortages of room, played with recorded arrivals, sizes and true run times on virtual time."""

import functools
import unittest

from pollengate.overload.admission import MAX_RETRY_AFTER_S, OverloadAdmission
from pollengate.overload.backlog import ShardBacklog
from pollengate.overload.order import AGED_SHARE, OverloadOrder
from pollengate.overload.run_times import MIN_SAMPLES, RunTimes
from pollengate.workflow.model import Demand
from pollengate.workflow.ordering import DeadlineOrder, rank
from pollengate.workflow.policy import OverloadPolicy

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
from tests.workflow_builders import build_job, build_job_table, build_lease_worker, build_step

# Less than the slowest queue's arrivals, so that admission has something to decide.
POLICY = OverloadPolicy(is_enabled=True, floor_jobs_per_s=0.25)
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

    def test_urgent_callers_lose_least_when_their_work_exceeds_the_room(self) -> None:
        # Guards against an order or a refusal that costs more than doing nothing about it. Urgent
        # queues alone ask for 1.4 and 3.5 times the room.
        for factor in (2.0, 5.0):
            for error in ERRORS:
                ours = total_cost("overload", factor, error, "urgent", "large")
                for other in ("arrival", "deadline", "least"):
                    with self.subTest(factor=factor, error=error, other=other):
                        theirs = total_cost(other, factor, error, "urgent", "large")
                        self.assertLess(ours, theirs)

    def test_a_slight_shortage_costs_less_than_first_come_first_served(self) -> None:
        # Guards against refusing in a shortage of 1.2 that the priorities alone can absorb: urgent
        # queues ask for 0.84 of the room. A tenth of their jobs at most may pay for it.
        for error in ERRORS:
            with self.subTest(error=error):
                ours = total_cost("overload", 1.2, error, *KINDS)
                self.assertLess(ours, total_cost("arrival", 1.2, error, *KINDS))
                urgent = total_cost("overload", 1.2, error, "urgent")
                jobs = sum(
                    job.queue == "urgent"
                    for seed in SEEDS
                    for job in play("overload", 1.2, error, seed).load.values()
                )
                self.assertLess(urgent, jobs / 10)

    def test_what_is_kept_needs_less_work_than_what_is_lost(self) -> None:
        # Guards against large jobs that displace several small ones whose callers lose as much
        # each: demand of 2 and 5 times the room, judged by the recorded work.
        for factor in (2.0, 5.0):
            for error in ERRORS:
                with self.subTest(factor=factor, error=error):
                    kept, lost = [], []
                    for seed in SEEDS:
                        played = play("overload", factor, error, seed)
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

        for factor in (2.0, 5.0):
            for error in ERRORS:
                with self.subTest(factor=factor, error=error):
                    self.assertLess(
                        useless("overload", factor, error), useless("deadline", factor, error) / 2
                    )

    def test_floors_admit_every_queue(self) -> None:
        # Guards against a queue of which nothing is accepted: 5 times the room.
        for error in ERRORS:
            for seed in SEEDS:
                played = play("overload", 5.0, error, seed)
                for queue in KINDS:
                    with self.subTest(error=error, seed=seed, queue=queue):
                        arrivals = [i for i, job in played.load.items() if job.queue == queue]
                        refused = [job_id for job_id in arrivals if job_id in played.refused]
                        self.assertLessEqual(len(refused), len(arrivals) * 3 / 4 + 1)

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
        # Guards against a shortage that outlasts its load. While a task waits, each worker has less
        # than a task's cores free; after that the longest chains end, one tick late a step.
        for factor in FACTORS:
            for error in ERRORS:
                for seed in SEEDS:
                    with self.subTest(factor=factor, error=error, seed=seed):
                        played = play("overload", factor, error, seed)
                        accepted = [j for j in played.load.values() if j.job_id in played.took_s]
                        left = [j for j in accepted if j.at + played.took_s[j.job_id] > LOAD_S]
                        work_s = sum(j.true_core_s for j in left) / (
                            WORKERS * (WORKER_CORES - TASK_CORES + 1)
                        )
                        chain_s = max(sum(map(max, j.true_s)) for j in left) + 4 * TICK_S
                        self.assertLess(played.end, LOAD_S + work_s + chain_s)
                        self.assertEqual(len(accepted) + len(played.refused), len(played.load))

    def test_without_a_shortage_nothing_changes(self) -> None:
        # Guards against decisions from an estimate alone: a load of 0.3 times the room.
        for error in ERRORS:
            for seed in SEEDS:
                with self.subTest(error=error, seed=seed):
                    ours = play("overload", 0.3, error, seed)
                    today = play("deadline", 0.3, error, seed)
                    self.assertFalse(ours.was_short)
                    self.assertEqual(ours.refused, {})
                    self.assertEqual(ours.starts, today.starts)
                    self.assertEqual(ours.took_s, today.took_s)

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
        policy = OverloadPolicy(is_enabled=True, floor_jobs_per_s=0, floor_share=0)
        self.backlog = ShardBacklog(self.job_table, policy, lambda: self.is_settled)
        self.admission = OverloadAdmission(self.backlog, policy)
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

    def test_systematically_wrong_estimates_are_corrected(self) -> None:
        # Guards against a caller that gets ahead by understating its work by half.
        run_times = RunTimes()
        for _ in range(MIN_SAMPLES - 1):
            run_times.record("queue", "image", 1.0, 2.0)
        self.assertEqual(run_times.factor("queue", "image"), 1.0)
        run_times.record("queue", "image", 1.0, 2.0)
        self.assertEqual(run_times.factor("queue", "image"), 2.0)


if __name__ == "__main__":
    unittest.main()
