"""Tests of preemption for urgent tasks and of the choice of a zone."""

import random
import unittest

from pollengate.reaction import Evict, Observation
from pollengate.shard_policy import ShardPolicy
from pollengate.worker import TaskUsage
from pollengate.zone_choice import SLOW_START_S, ZoneLoad, choose_zone

from tests.test_fair_queue import place_queued
from tests.utils import ManualClock, build_policy, build_request

CHECKPOINT_S = 2.0
URGENT_START_DEADLINE_S = 4.5


def fill(policy: ShardPolicy, workers: int, **changes: bool) -> None:
    """Assigns four tasks of one core to each worker, which has four cores."""
    for worker in range(workers):
        for number in range(4):
            request = build_request(f"batch-{worker}.{number}", **changes)
            policy.placement.assign(request, f"w{worker}")


class PreemptionTest(unittest.TestCase):
    """Eviction of batch tasks for urgent tasks on a full shard."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def run_until_placed(self, policy: ShardPolicy, count: int, deadline_s: float) -> list[str]:
        """Advances the clock until `count` tasks are placed or the deadline has passed.

        Evicted tasks leave their worker after `CHECKPOINT_S`.
        """
        leaving: list[tuple[float, str]] = []
        placed: list[str] = []
        while len(placed) < count and self.clock.now < deadline_s:
            for _, task_id in [entry for entry in leaving if entry[0] <= self.clock.now]:
                policy.placement.release(task_id)
                policy.reaction.on_task_left(task_id)
            leaving = [entry for entry in leaving if entry[0] > self.clock.now]
            for action in policy.reaction.decide(self.clock.now):
                leaving.append((self.clock.now + CHECKPOINT_S, action.task_id))
            placed += place_queued(policy)
            self.clock.now += 0.1
        return placed

    def test_urgent_tasks_start_in_time_on_full_workers(self) -> None:
        policy = build_policy(self.clock, 6)
        fill(policy, 6)
        for number in range(6):
            policy.queue.push(build_request(f"urgent.{number}", cores=2, urgent=True))
        placed = self.run_until_placed(policy, 6, URGENT_START_DEADLINE_S)
        self.assertEqual(len(placed), 6)

    def test_evicts_no_more_tasks_than_needed(self) -> None:
        policy = build_policy(self.clock, 2)
        fill(policy, 2)
        policy.queue.push(build_request("urgent.0", cores=2, urgent=True))
        place_queued(policy)
        self.clock.now = 1.0
        place_queued(policy)
        actions = policy.reaction.decide(1.0)
        self.assertEqual(len(actions), 2)
        self.assertEqual(policy.reaction.decide(1.5), [])

    def test_urgent_tasks_are_not_evicted_for_urgent_ones(self) -> None:
        policy = build_policy(self.clock, 1)
        fill(policy, 1, urgent=True)
        policy.queue.push(build_request("urgent.0", urgent=True))
        self.assertEqual(self.run_until_placed(policy, 1, 5.0), [])

    def test_tasks_in_a_step_are_evicted_last(self) -> None:
        policy = build_policy(self.clock, 1)
        fill(policy, 1)
        usage = tuple(TaskUsage(f"batch-0.{n}", 1.0, 1, 1.0, in_step=n < 3) for n in range(4))
        policy.reaction.observe(Observation("w0", 0.0, usage))
        policy.queue.push(build_request("urgent.0", urgent=True))
        place_queued(policy)
        self.clock.now = 1.0
        place_queued(policy)
        self.assertEqual(policy.reaction.decide(1.0), [Evict("w0", "batch-0.3")])


class ZoneChoiceTest(unittest.TestCase):
    """The distribution of jobs over zones."""

    def share_of_jobs(self, in_service_s: float) -> float:
        """Returns the share of jobs sent to an empty zone if two other zones are 80 % loaded."""
        generator = random.Random(0)
        loads = [
            ZoneLoad("a", 100, 0, in_service_s),
            ZoneLoad("b", 100, 80, 1000.0),
            ZoneLoad("c", 100, 80, 1000.0),
        ]
        chosen = [choose_zone(loads, generator) for _ in range(1000)]
        return chosen.count("a") / len(chosen)

    def test_zone_just_put_into_service_gets_few_jobs_at_first(self) -> None:
        self.assertLess(self.share_of_jobs(1.0), 0.15)
        self.assertGreater(self.share_of_jobs(SLOW_START_S), 0.6)

    def test_full_zone_still_gets_jobs_and_without_zones_none_is_chosen(self) -> None:
        full = [ZoneLoad("a", 100, 300, 1000.0)]
        self.assertEqual(choose_zone(full, random.Random(0)), "a")
        self.assertIsNone(choose_zone([], random.Random(0)))
