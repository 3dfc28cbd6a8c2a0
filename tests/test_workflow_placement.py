"""Tests of placing, throttling and moving the tasks of workflows."""

import dataclasses
import unittest
from unittest import mock

from pollengate.interference.latency_model import LatencyModel
from pollengate.interference.rebalancing import MOVE_INTERVAL_S, Rebalancer
from pollengate.interference.vacating import images_short_of_capacity, worker_to_vacate
from pollengate.workflow.clients import EndKind
from pollengate.workflow.draining import runs_to_move
from pollengate.workflow.model import Demand, Step, WorkerCondition
from pollengate.workflow.progress import Run
from pollengate.workflow.waiting import waiting_filler_millis

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    start_all,
)

TARGET_MS = 50
LARGE_CAPACITY = Demand(64_000, 256_000)


def build_serving_step(image: str, count: int = 1, cpu: int = 13_000) -> Step:
    """Returns a long-running step with a latency target."""
    return build_step(
        count,
        demand=Demand(cpu, 1000),
        is_long_running=True,
        image=image,
        target_ms=TARGET_MS,
    )


def build_filler_step(image: str, count: int = 1) -> Step:
    """Returns a step that runs on unused processors."""
    demand = Demand(7000, 1000)
    return build_step(count, demand=demand, image=image, is_filler=True, saves_progress=True)


# A filler of the second kind takes more headroom than a serving task has, one of the first none.
HARMLESS, EXCLUDED = (0.0, 0.1), (40.0, 0.1)


class PlacementTest(unittest.TestCase):
    """Capacity, limits, failed workers and images."""

    def test_capacity_counts_everything_that_may_run(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("aa", build_step(9)), 0.0, 0)
        runs = build_planner(job_table).plan(0.0)
        self.assertEqual(len(runs), 4)
        job_table.mark_unknown(runs[0])
        self.assertEqual(build_planner(job_table).plan(0.0), [])

    def test_nothing_starts_on_a_worker_whose_capacity_has_shrunk_below_what_it_runs(self) -> None:
        worker = build_lease_worker()
        job_table = build_job_table(worker)
        job_table.add(build_job("aa", build_step(6)), 0.0, 0)
        first, *_ = start_all(job_table)
        smaller = dataclasses.replace(worker, capacity=Demand(3000, 1000))
        view = job_table.fleet.register(smaller, 1.0)
        self.assertEqual([], start_all(job_table, 1.0))
        job_table.stop(first)
        self.assertEqual([], start_all(job_table, 1.1))
        job_table.mark_ended(first, EndKind.STOPPED, "", 1.4, 0)
        self.assertEqual([], start_all(job_table, 1.4))
        job_table.fleet.register(worker, 2.0)
        self.assertEqual([view.worker_id], [run.worker_id for run in start_all(job_table, 2.0)])

    def test_step_keeps_its_limit_for_each_worker(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job_table.add(build_job("aa", build_step(4, max_per_worker=1)), 0.0, 0)
        self.assertEqual({run.worker_id for run in start_all(job_table)}, {"w0", "w1"})
        self.assertEqual(start_all(job_table), [])

    def test_required_label_and_data_rack(self) -> None:
        job_table = build_job_table(
            build_lease_worker("w0", labels=("k0", "r0")),
            build_lease_worker("w1", labels=("k1", "r1"), rack="r1"),
        )
        job_table.add(build_job("aa", build_step(required_label="k1")), 0.0, 0)
        job_table.add(build_job("bb", build_step(data_rack="r0")), 0.0, 0)
        self.assertEqual(
            {run.task.name: run.worker_id for run in start_all(job_table)},
            {"aa.0.0.0": "w1", "bb.0.0.0": "w0"},
        )

    def test_nothing_starts_on_draining_evacuated_unregistered_or_unrecorded_workers(self) -> None:
        workers = [build_lease_worker(f"w{n}", zone=f"z{n}") for n in range(4)]
        job_table = build_job_table(*workers)
        views = job_table.fleet.workers_by_id
        views["w0"].info = build_lease_worker("w0", condition=WorkerCondition.DRAINING)
        job_table.fleet.evacuated_zones = frozenset({"z1"})
        views["w2"].is_registered = False
        views["w3"].is_recorded = False
        job_table.add(build_job("aa"), 0.0, 0)
        self.assertEqual(start_all(job_table), [])
        views["w3"].is_recorded = True
        self.assertEqual([run.worker_id for run in start_all(job_table)], ["w3"])

    def test_long_running_task_returns_to_a_worker_that_failed_it_rather_than_wait(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"))
        job_table.add(build_job("aa", build_step(is_long_running=True)), 0.0, 0)
        (run,) = start_all(job_table)
        job_table.mark_ended(run, EndKind.FAILED, "", 1.0, 0)
        self.assertEqual([run.worker_id for run in start_all(job_table)], ["w0"])

    def test_serving_images_do_not_share_a_worker_while_there_is_room(self) -> None:
        workers = [build_lease_worker(f"w{n}", capacity=LARGE_CAPACITY) for n in range(4)]
        job_table = build_job_table(*workers)
        job_table.add(build_job("aa", build_serving_step("x", 4)), 0.0, 0)
        job_table.add(build_job("bb", build_serving_step("y", 4)), 0.0, 0)
        start_all(job_table)
        images = [
            {run.task.step.spec.image for run in view.serving}
            for view in job_table.fleet.workers_by_id.values()
        ]
        self.assertTrue(all(len(present) <= 1 for present in images), images)

    def test_plan_after_a_takeover_looks_at_all_recorded_workers_once_for_all_tasks(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", build_step(4))
        job.is_restored = True
        job_table.add(job, 0.0, 0)
        job_table.may_run_unseen = lambda task: False
        planner = build_planner(job_table)
        planner.is_settled = mock.Mock(return_value=False)
        self.assertEqual(len(planner.plan(0.0)), 4)
        planner.is_settled.assert_called_once_with()

    def test_before_a_takeover_is_settled_only_new_jobs_start(self) -> None:
        job_table = build_job_table(build_lease_worker())
        old, new = build_job("aa"), build_job("bb")
        old.is_restored = True
        job_table.add(old, 0.0, 0)
        job_table.add(new, 0.0, 0)
        runs = build_planner(job_table, settled=False).plan(0.0)
        self.assertEqual([run.task.name for run in runs], ["bb.0.0.0"])


class RebalancingTest(unittest.TestCase):
    """Moves of serving tasks."""

    def setUp(self) -> None:
        self.latency_model = LatencyModel()
        self.latency_model.load({"x": {"f": EXCLUDED, "g": EXCLUDED}, "y": {"f": HARMLESS}})
        self.job_table = build_job_table(
            *(build_lease_worker(f"w{n}", capacity=LARGE_CAPACITY) for n in range(2))
        )
        self.job_table.add(build_job("aa", build_serving_step("x", 2)), 0.0, 0)
        self.job_table.add(build_job("bb", build_serving_step("y", 2)), 0.0, 0)

    def place(self, **worker_by_task: str) -> None:
        """Starts each task on a worker, past its startup."""
        for name, worker_id in worker_by_task.items():
            task = self.job_table.find_task(f"{name[:2]}.0.0.{name[2:]}")
            assert task is not None
            run = self.job_table.add_run(
                task, self.job_table.fleet.workers_by_id[worker_id], 1, 0.0
            )
            self.job_table.mark_started(run, 0.0)
            run.percent = 100.0

    def choose(self, now: float = 1.0) -> Run | None:
        """Returns the run that a new rebalancer chooses to move."""
        return Rebalancer(self.job_table.fleet, self.latency_model).choose({"h": 7000}, now)

    def test_sensitive_task_moves_away_from_other_images(self) -> None:
        self.place(aa0="w0", aa1="w1", bb0="w1", bb1="w1")
        chosen = self.choose()
        assert chosen is not None
        self.assertEqual(chosen.task.name, "aa.0.0.1")

    def test_images_on_separate_workers_do_not_move(self) -> None:
        self.place(aa0="w0", aa1="w0", bb0="w1", bb1="w1")
        self.assertIsNone(self.choose())

    def test_no_task_moves_while_another_of_its_step_is_starting_up(self) -> None:
        self.place(aa0="w0", aa1="w1", bb0="w1", bb1="w1")
        task = self.job_table.find_task("aa.0.0.0")
        assert task is not None
        next(iter(task.runs_by_number.values())).percent = 10.0
        self.assertIsNone(self.choose())

    def test_no_task_moves_while_another_of_its_step_is_on_a_silent_worker(self) -> None:
        self.place(aa0="w0", aa1="w1", bb0="w1", bb1="w1")
        views_by_id = self.job_table.fleet.workers_by_id
        views_by_id["w1"].lease.record_reply(5000, 5.0)
        self.assertIsNone(self.choose(5.0))
        views_by_id["w0"].lease.record_reply(5000, 5.0)
        self.assertIsNotNone(self.choose(5.0))

    def test_moves_are_separated_by_the_interval(self) -> None:
        self.place(aa0="w0", aa1="w1", bb0="w1", bb1="w1")
        rebalancer = Rebalancer(self.job_table.fleet, self.latency_model)
        self.assertIsNotNone(rebalancer.choose({"h": 7000}, 1.0))
        self.assertIsNone(rebalancer.choose({"h": 7000}, 1.1))

    def test_searches_without_a_result_are_separated_by_the_interval(self) -> None:
        self.place(aa0="w0", aa1="w1", bb0="w1", bb1="w1")
        task = self.job_table.find_task("aa.0.0.0")
        assert task is not None
        run = next(iter(task.runs_by_number.values()))
        run.percent = 10.0
        rebalancer = Rebalancer(self.job_table.fleet, self.latency_model)
        self.assertIsNone(rebalancer.choose({"h": 7000}, 1.0))
        run.percent = 100.0
        self.assertIsNone(rebalancer.choose({"h": 7000}, 1.1))
        self.assertIsNotNone(rebalancer.choose({"h": 7000}, 1.0 + MOVE_INTERVAL_S))

    def test_no_task_moves_while_no_filler_waits(self) -> None:
        self.place(aa0="w0", aa1="w1", bb0="w1", bb1="w1")
        self.assertIsNone(Rebalancer(self.job_table.fleet, self.latency_model).choose({}, 1.0))


class VacatingTest(unittest.TestCase):
    """Workers that are vacated for fillers that interfere on every worker."""

    def setUp(self) -> None:
        self.latency_model = LatencyModel()
        self.latency_model.load({"x": {"f": EXCLUDED}})
        self.job_table = build_job_table(
            *(build_lease_worker(f"w{n}", capacity=LARGE_CAPACITY) for n in range(3))
        )
        self.fleet = self.job_table.fleet
        self.job_table.add(build_job("aa", build_serving_step("x", 4)), 0.0, 0)
        self.job_table.add(build_job("bb", build_filler_step("f", 4)), 0.0, 0)
        self.rebalancer = Rebalancer(self.fleet, self.latency_model)

    def place(self, *worker_ids: str) -> None:
        """Starts the serving tasks on workers, past their startup."""
        for index, worker_id in enumerate(worker_ids):
            task = self.job_table.find_task(f"aa.0.0.{index}")
            assert task is not None
            run = self.job_table.add_run(task, self.fleet.workers_by_id[worker_id], 1, 0.0)
            self.job_table.mark_started(run, 0.0)
            run.percent = 100.0

    def waiting(self) -> dict[str, int]:
        """Returns the millicores that fillers wait for, by image."""
        return waiting_filler_millis(self.job_table, 1.0)

    def move(self, run: Run, now: float) -> str:
        """Stops a run and starts its task again; returns the new worker's id."""
        self.job_table.stop(run)
        self.job_table.mark_ended(run, EndKind.STOPPED, "", now, 0)
        started = [r for r in self.plan(now) if r.task is run.task]
        for new in started:
            self.job_table.mark_started(new, now)
            new.percent = 100.0
        return started[0].worker_id

    def plan(self, now: float) -> list[Run]:
        """Plans with the learned odds of interference."""
        return build_planner(self.job_table, self.latency_model).plan(now)

    def test_worker_with_the_fewest_serving_tasks_is_vacated_for_the_fillers(self) -> None:
        self.place("w0", "w1", "w1", "w2")
        self.fleet.workers_by_id["w2"].info = build_lease_worker(
            "w2", capacity=Demand(13_000, 9000)
        )
        self.assertEqual(self.plan(1.0), [])
        run = self.rebalancer.choose(self.waiting(), 1.0)
        assert run is not None
        self.assertEqual(run.worker_id, "w0")
        self.assertEqual(self.move(run, 1.0), "w1")
        self.assertEqual({r.worker_id for r in self.plan(2.0)}, set())
        fillers = list(self.fleet.workers_by_id["w0"].fillers)
        self.assertEqual(len(fillers), 4)

    def test_vacated_worker_gets_no_serving_task_while_another_has_room(self) -> None:
        self.place("w0", "w1", "w1", "w2")
        run = self.rebalancer.choose(self.waiting(), 1.0)
        assert run is not None
        self.move(run, 1.0)
        self.job_table.add(build_job("cc", build_serving_step("y")), 2.0, 0)
        (new,) = (r for r in self.plan(2.0) if r.task.step.job.job_id == "cc")
        self.assertNotEqual(new.worker_id, run.worker_id)

    def test_nothing_is_vacated_while_a_worker_without_interference_has_room(self) -> None:
        self.place("w0", "w1", "w1", "w1")
        self.assertTrue(self.fleet.workers_by_id["w2"].unused_millis() > 28_000)
        self.latency_model.load({"x": {"f": EXCLUDED}})
        self.assertEqual(
            images_short_of_capacity(self.fleet, self.latency_model, self.waiting(), 1.0), set()
        )

    def test_nothing_is_vacated_if_the_serving_tasks_fit_nowhere_else(self) -> None:
        self.place("w0", "w1", "w1", "w1")
        for worker_id in ("w1", "w2"):
            self.fleet.workers_by_id[worker_id].unavailable_until = 9.0
        self.assertIsNone(self.rebalancer.choose(self.waiting(), 1.0))

    def test_nothing_is_vacated_if_a_serving_task_finds_no_accelerator_elsewhere(self) -> None:
        workers = (
            build_lease_worker("w0", capacity=Demand(64_000, 256_000, 1)),
            build_lease_worker("w1", capacity=LARGE_CAPACITY),
        )
        for accelerators, expected in ((0, "w0"), (1, None)):
            job_table = build_job_table(*workers)
            views = job_table.fleet.workers_by_id
            step = build_serving_step("x")
            demand = Demand(13_000, 1000, accelerators)
            job_table.add(build_job("aa", dataclasses.replace(step, demand=demand)), 0.0, 0)
            job_table.add(build_job("bb", step), 0.0, 0)
            for name, view in (("aa.0.0.0", views["w0"]), ("bb.0.0.0", views["w1"])):
                task = job_table.find_task(name)
                assert task is not None
                job_table.add_run(task, view, 1, 0.0)
            movable = set(views["w0"].serving)
            vacated = worker_to_vacate(
                job_table.fleet, self.latency_model, {"f"}, movable.__contains__, 1.0
            )
            self.assertEqual(vacated and vacated.worker_id, expected)


class DrainingTest(unittest.TestCase):
    """Runs that move off a draining worker."""

    def test_long_running_and_resumable_runs_move_and_others_finish(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"))
        steps = (build_step(), build_step(is_long_running=True), build_step(saves_progress=True))
        job_table.add(build_job("aa", *steps), 0.0, 0)
        start_all(job_table)
        view = job_table.fleet.workers_by_id["w0"]
        self.assertEqual(runs_to_move(view), [])
        view.info = build_lease_worker("w0", condition=WorkerCondition.DRAINING)
        moving = {run.task.name for run in runs_to_move(view)}
        self.assertEqual(moving, {"aa.0.1.0", "aa.0.2.0"})

    def test_worker_that_deregisters_after_a_drain_is_kept_until_its_lease_has_expired(
        self,
    ) -> None:
        job_table = build_job_table(build_lease_worker("w0"))
        job_table.add(build_job("aa", build_step()), 0.0, 0)
        start_all(job_table)
        fleet = job_table.fleet
        view = fleet.workers_by_id["w0"]
        fleet.update([build_lease_worker("w0", condition=WorkerCondition.DRAINING)], 2.0)
        fleet.update([], 3.0)
        self.assertFalse(view.is_registered)
        self.assertEqual([], fleet.forget_departed(view.lease.expires_at() + 1.0))
        self.assertEqual(1, len(view.runs))
        self.assertEqual([], runs_to_move(view))
