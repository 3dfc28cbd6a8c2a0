"""Tests of what is learned about interference, and of the speeds and placement that follow."""

import math
import random
import unittest

from pollengate.interference.coefficients import Coefficients, Estimate
from pollengate.interference.filler_placement import MAX_WITHHELD_S
from pollengate.interference.headroom import HeadroomTrend
from pollengate.interference.latency_model import EstimateByImages, LatencyModel
from pollengate.interference.speeds import SpeedChange, SpeedController
from pollengate.workflow.clients import EndKind
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import Run

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
)

TARGET_MS = 150
REPORT_INTERVAL_S = 0.4
KNOWN = 0.1  # variance of a coefficient with many samples


class Worker:
    """One worker of 20 cores with a serving task of image `x`."""

    def __init__(self, learned: EstimateByImages | None = None) -> None:
        self.model = LatencyModel()
        self.model.load(learned or {})
        self.speeds = SpeedController(self.model)
        self.job_table: JobTable = build_job_table(
            build_lease_worker("w0", capacity=Demand(20_000, 64_000))
        )
        self.planner = build_planner(self.job_table, self.model)
        self.view: WorkerView = self.job_table.fleet.workers_by_id["w0"]
        self.now = 0.0
        self.reports = 0
        step = build_step(is_long_running=True, target_ms=TARGET_MS, image="x")
        self.serving = self.start("aa", step)

    def start(self, job_id: str, step: object) -> Run:
        """Submits a job of one task and starts it."""
        self.job_table.add(build_job(job_id, step), self.now, 0)  # type: ignore[arg-type]
        (run,) = self.planner.plan(self.now)
        self.job_table.mark_started(run, self.now)
        return run

    def start_filler(self, job_id: str, image: str, cores: int = 2) -> Run:
        """Starts a filler that can resume."""
        demand = Demand(cores * 1000, 100)
        step = build_step(
            demand=demand, image=image, is_filler=True, saves_progress=True, estimate_ms=2000
        )
        return self.start(job_id, step)

    def report(self, headroom: float, count: int = 1) -> list[SpeedChange]:
        """Reports latencies that leave the given headroom, and carries out the changes of speed."""
        changes: list[SpeedChange] = []
        for _ in range(count):
            self.now += REPORT_INTERVAL_S
            for run in self.view.fillers:
                demand_millis = run.task.step.spec.demand.cpu_millis
                run.measurement = demand_millis * run.speed_percent / 100
            self.reports += 1
            latency = TARGET_MS / (1 + headroom) + self.reports % 2
            self.serving.measurement_change = latency - self.serving.measurement
            self.serving.measurement = latency
            self.model.observe(self.view, self.now)
            changed = self.speeds.adjust(self.view, self.now)
            for change in changed:
                change.apply(self.now)
            changes += changed
        return changes


class CoefficientsTest(unittest.TestCase):
    """Evidence counts once, wherever it was measured."""

    def test_no_share_or_measurement_makes_an_estimate_unusable(self) -> None:
        for seed in range(200):
            generator = random.Random(seed)
            table: Coefficients[str] = Coefficients(lambda key: 2.0, 25.0, 0.03, 10)
            for _ in range(30):
                shares = {
                    key: generator.choice((0.0, 1e-9, 0.3, 1.0, 1e12, 1e200, math.inf))
                    for key in generator.sample("abcd", generator.randint(0, 4))
                }
                if generator.random() < 0.2:
                    table.replace_others([{"a": Estimate(generator.uniform(-9, 9), 0.0)}])
                measured = generator.choice((0.0, -3.0, 0.5, 1e300, math.inf, math.nan))
                error = table.observe(shares, measured, generator.choice((0.0, 0.006, 1e9)))
                self.assertTrue(math.isfinite(error), seed)
                for key in "abcd":
                    self.assertTrue(0.0 <= table.get(key).mean < math.inf, seed)
                    self.assertTrue(0.0 < table.get(key).variance <= 25.0, seed)

    @staticmethod
    def learn(samples: list[tuple[float, float]], owners: int) -> Estimate:
        """Returns the estimate of owners that get the samples in turn and read each other's."""
        tables: list[Coefficients[str]] = [
            Coefficients(lambda key: 5.0, 25.0, 0.0, 10) for _ in range(owners)
        ]
        for number, (share, measured) in enumerate(samples):
            tables[number % owners].observe({"f": share}, measured, 0.04)
            for table in tables:
                table.replace_others(dict(t.own_items()) for t in tables if t is not table)
        estimates = [table.get("f") for table in tables]
        for estimate in estimates:
            assert math.isclose(estimate.mean, estimates[0].mean, abs_tol=1e-6)
        return estimates[0]

    def test_owners_with_parts_of_the_samples_agree_with_one_that_has_all(self) -> None:
        # Guards against evidence that counts twice on its way round.
        samples = [(0.1 + 0.01 * (n % 5), 1.2 * (1 + 0.1 * (n % 3))) for n in range(24)]
        alone = self.learn(samples, 1)
        for owners in (2, 4):
            together = self.learn(samples, owners)
            self.assertAlmostEqual(together.mean, alone.mean)
            self.assertAlmostEqual(together.variance, alone.variance)

    def test_the_cause_gets_the_blame_and_an_outlier_changes_little(self) -> None:
        table: Coefficients[str] = Coefficients(lambda key: 5.0, 25.0, 0.01, 10)
        for number in range(60):
            shares = {"loud": 0.05 * (number % 4), "quiet": 0.05 * (number % 3)}
            table.observe(shares, 12.0 * shares["loud"], 0.01)
        self.assertAlmostEqual(table.get("loud").mean, 12.0, delta=1.0)
        self.assertLess(table.get("quiet").mean, 1.0)
        table.observe({"quiet": 0.1}, 50.0, 0.01)
        self.assertLess(table.get("quiet").mean, 5.0)


class OddReportTest(unittest.TestCase):
    """Whatever a worker reports, the decisions that need the model can be made."""

    def test_latency_near_zero_does_not_raise(self) -> None:
        worker = Worker()
        worker.start_filler("bb", "q")
        for latency in (5e-324, 1e-200, 9e15, 100.0):
            worker.serving.measurement = latency
            worker.serving.measurement_change = 1.0
            worker.now += REPORT_INTERVAL_S
            worker.model.observe(worker.view, worker.now)
            worker.speeds.adjust(worker.view, worker.now)
        worker.report(1.0, 30)
        own = worker.model.own_headroom(worker.serving, worker.now)
        self.assertAlmostEqual(own.mean, 1.0, delta=0.5)


class LatencyModelTest(unittest.TestCase):
    """Own load and interference are told apart."""

    def test_trend_of_a_swinging_load_is_followed_ahead(self) -> None:
        # Load: a period of 20 s, reports of six tasks each 0.4 s.
        def headroom(at: float) -> float:
            return 2.0 + 1.4 * math.sin(math.tau * at / 20)

        trend = HeadroomTrend(2.0, 0.0)
        errors = []
        for number in range(1, 600):
            at = number * REPORT_INTERVAL_S / 6
            trend.advance(at)
            expected = trend.expect(at)
            trend.correct(headroom(at) - expected.mean, expected.variance + 0.02)
            errors.append(abs(trend.expect(at + 0.6).mean - headroom(at + 0.6)))
        self.assertLess(max(errors[60:]), 0.35)

    def test_amount_is_learned_from_a_filler_that_starts(self) -> None:
        worker = Worker()
        worker.report(2.5, 10)
        worker.start_filler("bb", "f")
        worker.report(1.0, 5)
        self.assertAlmostEqual(worker.model.coefficient("x", "f").mean, 15.0, delta=5.0)
        worker.report(1.0, 20)
        self.assertEqual(worker.model.excluded_images(["x"]), {"f"})

    def test_a_change_of_load_on_all_workers_of_a_step_is_not_taken_for_interference(self) -> None:
        # Guards against fillers that are blamed for the peak of a load.
        worker = Worker({"x": {"f": (1.0, KNOWN)}})
        worker.report(2.5, 10)
        worker.start_filler("bb", "f")
        for tenth in range(25, 8, -1):
            worker.report(tenth / 10 - 0.1)
        self.assertLess(worker.model.coefficient("x", "f").mean, 4.0)
        self.assertEqual(worker.model.excluded_images(["x"]), set())

    def test_measurement_that_is_reported_again_counts_once(self) -> None:
        worker = Worker()
        worker.start_filler("bb", "f")
        worker.report(1.0)
        before = worker.model.export()
        worker.serving.measurement_change = 0.0
        worker.model.observe(worker.view, worker.now + 0.1)
        self.assertEqual(worker.model.export(), before)

    def test_worker_of_unknown_capacity_gives_no_evidence(self) -> None:
        # Right after a takeover, workers are known from the stored list before their registrations,
        # which state their capacity, have been read.
        worker = Worker()
        worker.start_filler("bb", "f")
        worker.view.info = build_lease_worker("w0", capacity=Demand())
        worker.view.is_registered = False
        worker.report(0.1, 3)
        self.assertEqual(worker.model.export(), {})

    def test_successor_loads_what_was_learned(self) -> None:
        worker = Worker()
        worker.report(2.5, 10)
        worker.start_filler("bb", "f")
        worker.report(1.0, 25)
        successor = LatencyModel()
        successor.load(worker.model.export())
        self.assertEqual(successor.excluded_images(["x"]), {"f"})


class SpeedTest(unittest.TestCase):
    """Fillers run as fast as the serving tasks allow."""

    def test_only_the_filler_that_takes_too_much_is_slowed_down(self) -> None:
        worker = Worker({"x": {"loud": (15.0, KNOWN), "quiet": (0.5, KNOWN)}})
        worker.report(2.5, 10)
        loud, quiet = (worker.start_filler(f"b{i}", i) for i in ("loud", "quiet"))
        for tenth in range(25, 4, -2):  # own headroom falls to 0.5
            speed = loud.speed_percent / 100
            worker.report(tenth / 10 - 1.5 * speed - 0.05)
        self.assertLess(loud.speed_percent, 60)
        self.assertEqual(quiet.speed_percent, 100)
        self.assertEqual(worker.speeds.runs_to_relocate(worker.view, worker.now + 5.0), [loud])

    def test_all_fillers_that_may_matter_stand_still_if_the_model_is_wrong(self) -> None:
        # Guards against a latency that fillers keep over its target for 4 s although the model
        # takes all of them for harmless.
        worker = Worker({"x": {"f": (0.8, 0.01), "g": (0.8, 0.01)}})
        worker.report(2.5, 10)
        fillers = [worker.start_filler(f"b{image}", image) for image in "fg"]
        began_at = worker.now
        while any(run.speed_percent for run in fillers):
            worker.report(-0.3)
            self.assertLess(worker.now - began_at, 2.8)

    def test_speed_is_restored_and_does_not_swing(self) -> None:
        worker = Worker({"x": {"f": (10.0, KNOWN)}})
        worker.report(2.5, 10)
        filler = worker.start_filler("bb", "f")
        worker.report(-0.2, 3)
        self.assertLess(filler.speed_percent, 100)
        for _ in range(25):
            worker.report(2.5 - 1.0 * filler.speed_percent / 100)
        self.assertEqual(filler.speed_percent, 100)
        changes = []
        for _ in range(50):
            changes += worker.report(2.5 - 1.0 * filler.speed_percent / 100)
        self.assertEqual(changes, [])


class FillerPlacementTest(unittest.TestCase):
    """Fillers go where the headroom allows them to run."""

    def test_filler_waits_a_bounded_time_for_headroom(self) -> None:
        # The first step runs, so that the job does not stand still.
        worker = Worker({"x": {"f": (30.0, KNOWN), "g": (0.0, KNOWN)}})
        worker.report(0.2, 10)
        harmless = build_step(image="g", is_filler=True)
        step = build_step(demand=Demand(2000, 100), image="f", is_filler=True)
        worker.job_table.add(build_job("bb", harmless, step), worker.now, 0)
        (run,) = worker.planner.plan(worker.now)
        self.assertEqual(run.task.step.number, 0)
        self.assertEqual(worker.planner.plan(worker.now + MAX_WITHHELD_S - 0.1), [])
        self.assertEqual(len(worker.planner.plan(worker.now + MAX_WITHHELD_S)), 1)

    def test_filler_that_interferes_starts_while_the_load_is_low(self) -> None:
        # Guards against a pair of images that is kept apart whatever the load is.
        worker = Worker({"x": {"f": (15.0, KNOWN)}})
        worker.report(3.0, 10)
        self.assertEqual(worker.start_filler("bb", "f").worker_id, "w0")

    def test_only_one_unknown_image_runs_on_a_worker(self) -> None:
        # Guards against a measured latency that does not tell which of two fillers raised it.
        worker = Worker()
        worker.report(2.5, 10)
        worker.start_filler("bb", "f")
        step = build_step(image="g", is_filler=True)
        worker.job_table.add(build_job("cc", step), worker.now, 0)
        self.assertEqual(worker.planner.plan(worker.now), [])
        worker.report(2.4, 40)
        self.assertEqual(len(worker.planner.plan(worker.now)), 1)

    def test_worker_that_gets_no_tasks_does_not_keep_a_filler_image_off_all_others(self) -> None:
        # Guards against trials that still count after their fillers have ended.
        job_table = build_job_table(
            *(
                build_lease_worker(f"w{n}", zone="aabb"[n], capacity=Demand(20_000, 64_000))
                for n in range(4)
            )
        )
        planner = build_planner(job_table)
        serving = build_step(
            4, is_long_running=True, target_ms=TARGET_MS, image="x", max_per_worker=1
        )
        job_table.add(build_job("aa", serving), 0.0, 0)
        for run in planner.plan(0.0):
            job_table.mark_started(run, 0.0)
        filler = build_step(2, demand=Demand(15_000, 100), image="f", is_filler=True)
        job_table.add(build_job("bb", filler), 0.0, 0)
        trials = planner.plan(0.0)
        self.assertEqual([run.worker_id for run in trials], ["w0", "w1"])
        planner.plan(1.0)
        job_table.fleet.evacuated_zones = frozenset("a")
        for run in trials:
            job_table.mark_ended(run, EndKind.DONE, "", 2.0, 0)
        job_table.add(build_job("cc", build_step(image="f", is_filler=True)), 3.0, 0)
        self.assertEqual(len(planner.plan(3.0)), 1)

    def test_slow_filler_moves_only_if_it_ends_sooner_elsewhere(self) -> None:
        worker = Worker({"x": {"f": (20.0, KNOWN)}})
        worker.report(3.0, 10)
        run = worker.start_filler("bb", "f")
        run.speed_percent = 10
        self.assertFalse(worker.planner.ends_sooner_elsewhere(run, worker.now))
        worker.job_table.fleet.register(
            build_lease_worker("w1", capacity=Demand(20_000, 64_000)), worker.now
        )
        other = worker.job_table.fleet.workers_by_id["w1"]
        other.is_attached = other.is_recorded = True
        self.assertTrue(worker.planner.ends_sooner_elsewhere(run, worker.now))
        run.percent = 90.0
        run.speed_percent = 80
        self.assertFalse(worker.planner.ends_sooner_elsewhere(run, worker.now))


if __name__ == "__main__":
    unittest.main()
