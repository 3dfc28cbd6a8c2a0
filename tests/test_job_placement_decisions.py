"""Tests of the decisions behind job placement: the room of a shard, and the choice of a shard."""

import math
import random
import unittest
from unittest import mock

from pollengate.workflow.job_placement import (
    first_steps,
    may_be_placed_elsewhere,
    min_places,
    rank_restart_shards,
    rank_shards,
)
from pollengate.workflow.model import Demand, Step
from pollengate.workflow.shard_room import (
    REFRESH_AFTER_S,
    FreeWorkers,
    RoomSummary,
    ShardRoom,
    _FreeWorker,
)

from tests.workflow_builders import (
    SERVICE,
    build_deployment,
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
    start_all,
)


def step_of(millis: int, count: int = 1, **changes: object) -> Step:
    """Returns a step with a demand."""
    return build_step(count, demand=Demand(millis, 100), **changes)


class ShardRoomTest(unittest.TestCase):
    """A shard of three workers with four cores each."""

    def setUp(self) -> None:
        self.job_table = build_job_table(*(build_lease_worker(f"w{n}") for n in range(3)))
        self.room = ShardRoom(self.job_table, lambda: True)

    def places(self, step: Step, now: float = 0.0) -> int:
        """Returns the number of tasks of a step that find room."""
        return self.room.count_places(SERVICE, (step,), now)

    def test_running_waiting_and_promised_tasks_are_not_offered_twice(self) -> None:
        self.job_table.add(build_job("00000000000000a1", step_of(3000, 2)), 0.0, 0)
        start_all(self.job_table)
        self.assertEqual(self.places(step_of(1000, 9)), 6)
        self.job_table.add(build_job("00000000000000a2", step_of(2000)), 0.0, 0)
        self.assertEqual(self.places(step_of(1000, 9), REFRESH_AFTER_S), 4)
        self.room.reserve("00000000000000a3", SERVICE, (step_of(1000, 2),), REFRESH_AFTER_S)
        for now in (REFRESH_AFTER_S, 3 * REFRESH_AFTER_S):
            self.assertEqual(self.places(step_of(1000, 9), now), 2)
        self.room.release("00000000000000a3")
        self.assertEqual(self.places(step_of(1000, 9), 5 * REFRESH_AFTER_S), 4)

    def test_memory_labels_and_the_limit_per_worker_bound_room(self) -> None:
        for step, places in (
            (build_step(9, demand=Demand(100, 600)), 3),
            (step_of(1000, 9, max_per_worker=1), 3),
            (step_of(1000, 9, required_label="other"), 0),
            (step_of(1000, 9, required_label="r0"), 9),
        ):
            self.assertEqual(self.places(step), places)

    def test_unsettled_or_unusable_workers_are_not_offered(self) -> None:
        self.job_table.fleet.workers_by_id["w0"].is_released = True
        summary = self.room.summaries_by_service(0.0)[SERVICE]
        self.assertEqual(summary.expand().free_millis, 8000)
        unsettled = ShardRoom(self.job_table, lambda: False)
        self.assertEqual(unsettled.summaries_by_service(0.0), {})


class ManyTasksTest(unittest.TestCase):
    """Room for steps with many more tasks than there are workers."""

    def build(self, generator: random.Random) -> FreeWorkers:
        """Returns workers of random sizes."""
        return FreeWorkers(
            free_worker(generator.randrange(0, 9000, 7), generator.choice([500, 3000, math.inf]))
            for _ in range(generator.randint(1, 9))
        )

    def test_many_tasks_are_taken_like_one_after_the_other(self) -> None:
        for seed in range(300):
            generator = random.Random(seed)
            step = build_step(
                generator.randint(1, 400),
                demand=Demand(generator.choice([0, 1, 7, 100, 250]), generator.choice([0, 10])),
                max_per_worker=generator.choice([0, 0, 3]),
            )
            together, apart = self.build(random.Random(seed)), self.build(random.Random(seed))
            with self.subTest(seed=seed):
                taken = together._take_many(step, step.count)
                self.assertEqual(taken, apart._take_one_by_one(step, step.count))
                self.assertEqual(together._workers, apart._workers)

    def test_room_of_a_large_job_is_found_without_counting_its_tasks(self) -> None:
        # Guards against 0.1 s of the owner's loop, ten times a second, for 50,000 small tasks.
        free = FreeWorkers(free_worker(64_000) for _ in range(66))
        with mock.patch.object(FreeWorkers, "_take_one_by_one") as counted:
            self.assertEqual(free.take(build_step(50_000, demand=Demand(1, 1)), 50_000), 50_000)
        self.assertEqual(counted.call_count, 0)
        self.assertEqual(free.free_millis, 66 * 64_000 - 50_000)


def free_worker(millis: int, memory_mb: float = math.inf) -> _FreeWorker:
    """Returns what is free on a worker."""
    return _FreeWorker(millis, memory_mb)


class RankShardsTest(unittest.TestCase):
    """The choice among shards whose free millicores are known roughly."""

    SUMMARIES = {
        1: RoomSummary((0, 0, 0, 1, 0, 4)),
        2: RoomSummary((0, 0, 0, 0, 0, 2)),
        3: RoomSummary((9,)),
    }

    def rank(self, home_places: int, *steps: Step) -> list[int]:
        """Returns the ranked shards."""
        return rank_shards(steps, home_places, self.SUMMARIES)

    def test_short_jobs_go_where_most_room_is_left(self) -> None:
        self.assertEqual(self.rank(0, step_of(4000, 2)), [1, 2])

    def test_long_running_jobs_leave_room_pooled_and_are_not_split(self) -> None:
        self.assertEqual(self.rank(0, step_of(4000, 1, is_long_running=True)), [2, 1])
        self.assertEqual(self.rank(0, step_of(4000, 3, is_long_running=True)), [1])

    def test_long_running_job_leaves_room_for_a_task_that_has_to_run_again(self) -> None:
        self.assertEqual(self.rank(0, step_of(4000, 2, is_long_running=True)), [1])
        self.assertEqual(self.rank(0, step_of(4000, 4, is_long_running=True)), [])

    def test_short_job_goes_only_where_more_of_it_starts_than_at_home(self) -> None:
        self.assertEqual(self.rank(1, step_of(4000, 9)), [1, 2])
        self.assertEqual(self.rank(2, step_of(4000, 9)), [1])
        self.assertEqual(self.rank(4, step_of(4000, 9)), [])
        self.assertEqual(min_places((step_of(4000, 9),), 2), 3)

    def test_task_that_runs_again_takes_the_last_piece_only_if_no_shard_has_two(self) -> None:
        for millis, shards in ((250, [3, 2, 1]), (300, [2, 1, 3]), (2000, [2, 1]), (6000, [])):
            ranked = rank_restart_shards(step_of(millis, 9), self.SUMMARIES)
            self.assertEqual(ranked, shards)
        self.assertEqual(rank_restart_shards(step_of(5000), {1: RoomSummary((0,) * 5 + (1,))}), [1])
        one_piece = {1: RoomSummary((0, 0, 0, 1)), 2: RoomSummary((0, 0, 0, 0, 1))}
        self.assertEqual(rank_restart_shards(step_of(2000), one_piece), [1, 2])

    def test_jobs_that_the_summary_cannot_judge_stay_at_home(self) -> None:
        deployment = build_deployment()
        queue = deployment.queues[0]
        self.assertTrue(may_be_placed_elsewhere(build_workflow(), queue, deployment))
        for workflow in (
            build_workflow(build_step(is_gang=True)),
            build_workflow(build_step(data_rack="r0")),
            build_workflow(build_step(required_label="k")),
            build_workflow(build_step(demand=Demand(100, 100, 1))),
            build_workflow(build_step(is_filler=True)),
            build_workflow(repeat_count=2, interval_ms=1000),
        ):
            self.assertFalse(may_be_placed_elsewhere(workflow, queue, deployment))
        later = build_workflow(build_step(2), build_step(3, after=(0,)), build_step(is_filler=True))
        self.assertEqual(first_steps(later), later.steps[:1])


if __name__ == "__main__":
    unittest.main()
