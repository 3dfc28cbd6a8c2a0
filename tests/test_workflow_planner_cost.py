"""The planner's cost and that its shortcuts change no decision."""

import random
import unittest
from collections.abc import Callable
from unittest import mock

from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow import placement, planner
from pollengate.workflow.clients import EndKind
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand
from pollengate.workflow.placement import Placer, StepScores
from pollengate.workflow.progress import Run
from pollengate.workflow.validation import MAX_GANG_TASKS, find_excess, find_fault

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
)

SEEDS = range(12)
FLEET_SIZES = (33, 90, 246)


class RecomputedScores(StepScores):
    """Scores each worker anew for each task."""

    def get(self, view: WorkerView, compute: Callable[[WorkerView], float | None]) -> float | None:
        """Returns a worker's score."""
        return compute(view)


def build_fleet(workers: int) -> JobTable:
    """Returns a job table with workers of 64 cores in racks of eight."""
    return build_job_table(
        *(
            build_lease_worker(f"w{n:03}", capacity=Demand(64_000, 250_000), rack=f"r{n // 8}")
            for n in range(workers)
        )
    )


def play(seed: int, workers: int = 24) -> list[tuple[str, str]]:
    """Plays a random load; returns the tasks and workers of all runs in order."""
    generator = random.Random(seed)
    job_table = build_fleet(workers)
    latency_model = LatencyModel()
    latency_model.load(
        {
            f"s{serving}": {f"f{filler}": (generator.uniform(0, 40), 1.0) for filler in range(5)}
            for serving in range(5)
        }
    )
    planned: list[Run] = []
    running: list[Run] = []
    for number in range(60):
        now = number * 0.2
        kind = generator.choice(["serving", "filler", "plain", "large"])
        demand = Demand(generator.randint(1, 60 if kind == "large" else 14) * 1000, 500)
        step = build_step(
            generator.randint(1, 12),
            demand=demand,
            is_filler=kind == "filler",
            is_long_running=kind == "serving",
            target_ms=100 if kind == "serving" else 0,
            image=f"{kind[0]}{generator.randrange(5)}",
            max_per_worker=generator.choice([0, 0, 1, 2]),
            data_rack=generator.choice(["", "r1"]),
            is_gang=kind == "plain" and generator.random() < 0.2,
        )
        job_table.add(build_job(f"{number:016x}", step), now, 0)
        runs = build_planner(job_table, latency_model).plan(now)
        for run in runs:
            job_table.mark_started(run, now)
        planned += runs
        running += runs
        generator.shuffle(running)
        for run in [running.pop() for _ in range(len(running) // 4)]:
            end_kind = generator.choice([EndKind.DONE, EndKind.DONE, EndKind.FAILED])
            job_table.mark_ended(run, end_kind, "", now, 0)
    return [(run.task.name, run.worker_id) for run in planned]


class PlannerCostTest(unittest.TestCase):
    """Tests of the planner on large shards."""

    def test_kept_scores_lead_to_the_same_decisions(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                kept = play(seed)
                with mock.patch.object(planner, "StepScores", RecomputedScores):
                    self.assertEqual(play(seed), kept)
                self.assertGreater(len(kept), 100)

    def test_workers_are_scored_once_for_a_step_and_once_for_each_placement(self) -> None:
        for workers in FLEET_SIZES:
            for tasks in (1, 20, 100):
                with self.subTest(workers=workers, tasks=tasks):
                    job_table = build_fleet(workers)
                    job_table.add(build_job("aa", build_step(tasks)), 0.0, 0)
                    checked = mock.patch.object(
                        placement, "can_place", side_effect=placement.can_place
                    )
                    with checked as counted:
                        build_planner(job_table).plan(0.0)
                    self.assertLessEqual(counted.call_count, workers + tasks)

    def test_withheld_fillers_are_not_scored(self) -> None:
        """Guards against plans of 40 ms while 100 steps of fillers wait on 66 workers."""
        job_table = build_fleet(66)
        latency_model = LatencyModel()
        latency_model.load({"s": {f"f{number}": (500.0, 1.0) for number in range(18)}})
        serving = build_step(66, is_long_running=True, max_per_worker=1, target_ms=50, image="s")
        job_table.add(build_job("aa", serving), 0.0, 0)
        planner = build_planner(job_table, latency_model)
        self.assertEqual(len(planner.plan(0.0)), 66)
        for number in range(100):
            fillers = build_step(20, is_filler=True, image=f"f{number % 18}")
            job_table.add(build_job(f"{number:016x}", fillers), 0.0, 0)
        with mock.patch.object(placement, "can_place", side_effect=placement.can_place) as counted:
            self.assertEqual(planner.plan(0.1), [])
        self.assertEqual(counted.call_count, 0)

    def test_headroom_is_computed_once_for_a_worker_and_once_for_each_placement(self) -> None:
        """Guards against plans that compute the headroom of each worker for each step."""
        for workers in FLEET_SIZES:
            job_table = build_fleet(workers)
            latency_model = LatencyModel()
            latency_model.load({"s": {f"f{number}": (1.0, 1.0) for number in range(18)}})
            serving = build_step(
                workers, is_long_running=True, max_per_worker=1, target_ms=50, image="s"
            )
            job_table.add(build_job("aa", serving), 0.0, 0)
            planner = build_planner(job_table, latency_model)
            planner.plan(0.0)
            for number in range(40):
                fillers = build_step(2, is_filler=True, image=f"f{number % 18}")
                job_table.add(build_job(f"{number:016x}", fillers), 0.0, 0)
            compute = latency_model.spare_headroom
            with mock.patch.object(latency_model, "spare_headroom", side_effect=compute) as counted:
                self.assertEqual(len(planner.plan(0.1)), 80)
            self.assertLessEqual(counted.call_count, workers + 80)

    def test_tasks_that_failed_on_the_same_workers_are_tried_once(self) -> None:
        # Guards against plans of 0.5 s for 8,000 tasks that failed on the only worker with room.
        job_table = build_fleet(3)
        for view in list(job_table.fleet.workers_by_id.values())[1:]:
            view.memory_mb = view.info.capacity.memory_mb
        job = build_job("aa", build_step(500))
        job_table.add(job, 0.0, 0)
        for task in job.tasks():
            job_table.evidence.record_failure(task.name, "aa", "w000", 3)
        with mock.patch.object(
            Placer, "choose", autospec=True, side_effect=Placer.choose
        ) as counted:
            self.assertEqual(build_planner(job_table).plan(0.0), [])
        self.assertEqual(counted.call_count, 1)

    def test_gang_without_room_for_all_is_not_placed_one_by_one(self) -> None:
        # Guards against plans of 6 s for a gang of 50,000 small tasks on 66 workers.
        job_table = build_fleet(33)
        gang = build_step(33 * 64 + 1, demand=Demand(1000, 1), is_gang=True)
        job_table.add(build_job("aa", gang), 0.0, 0)
        job_table.add(build_job("bb", build_step(3, demand=Demand(1000, 1))), 0.0, 0)
        with mock.patch.object(
            Placer, "choose", autospec=True, side_effect=Placer.choose
        ) as counted:
            runs = build_planner(job_table).plan(0.0)
        self.assertEqual([run.task.step.job.job_id for run in runs], ["bb"] * 3)
        self.assertLessEqual(counted.call_count, 4)

    def test_gang_that_is_too_large_to_assemble_is_invalid(self) -> None:
        gang = build_step(MAX_GANG_TASKS, is_gang=True)
        self.assertIsNone(find_excess(build_workflow(gang)))
        too_large = build_workflow(build_step(MAX_GANG_TASKS + 1, is_gang=True))
        self.assertIn(f"the limit is {MAX_GANG_TASKS}", find_excess(too_large) or "")
        self.assertIsNone(find_fault(too_large), "one that was accepted is kept")

    def test_gang_that_fits_exactly_is_placed(self) -> None:
        job_table = build_fleet(33)
        gang = build_step(33 * 64, demand=Demand(1000, 1), is_gang=True)
        job_table.add(build_job("aa", gang), 0.0, 0)
        with mock.patch.object(placement, "can_place", side_effect=placement.can_place) as counted:
            self.assertEqual(len(build_planner(job_table).plan(0.0)), 33 * 64)
        self.assertLessEqual(counted.call_count, 33 + 33 * 64)

    def test_number_of_a_steps_tasks_on_a_worker_is_kept_up_to_date(self) -> None:
        generator = random.Random(1)
        job_table = build_fleet(4)
        step_spec = build_step(20, is_long_running=True)
        job_table.add(build_job("aa", step_spec), 0.0, 0)
        running: list[Run] = []
        for number in range(200):
            running += build_planner(job_table).plan(float(number))
            generator.shuffle(running)
            for run in [running.pop() for _ in range(generator.randrange(len(running) + 1))]:
                job_table.mark_lost(run)
            step = job_table.jobs_by_id["aa"].occurrences_by_number[0].steps[0]
            for worker_id in job_table.fleet.workers_by_id:
                expected = sum(worker_id in task.worker_ids for task in step.tasks)
                self.assertEqual(expected, step.runs_on(worker_id))


if __name__ == "__main__":
    unittest.main()
