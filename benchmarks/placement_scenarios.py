"""The scenarios of the placement benchmark: scripted changes of the load and the workers."""

import dataclasses
from collections.abc import Callable

from benchmarks.placement_run import ZONES, Run

__all__ = ["SCENARIOS", "Scenario"]

Script = dict[int, Callable[[Run], object]]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The duration of a run and the functions to call, by second."""

    duration_s: int
    script: Script


def _change_load(run: Run) -> None:
    """Raises the load of the services and of two batch classes and lowers that of two others."""
    names = [f"batch-{number}" for number in range(8)]
    run.generator.shuffle(names)
    for name, intensity in zip(names, (1.4, 1.4, 0.5, 0.5), strict=False):
        run.classes[name].intensity = intensity
    for name in ("service-0", "service-1"):
        run.classes[name].intensity = 1.5
    run.refresh_workers()


def _restore_load(run: Run) -> None:
    for kind in run.classes.values():
        kind.intensity = 1.0
    run.refresh_workers()


def _submit_noisy_tasks(run: Run) -> None:
    """Submits many tasks of the two classes that interfere most with services."""
    by_pair = run.interference.by_pair

    def coefficient(name: str) -> float:
        return sum(by_pair[f"service-{n}", name][0] for n in range(2))

    noisy = sorted((f"batch-{n}" for n in range(8)), key=coefficient)[-2:]
    for name in noisy:
        for _ in range(run.deployment.workers // 3):
            run.submit(name, 4, 4, 120.0)


def _misdeclare(run: Run) -> None:
    for number in range(8):
        kind = run.classes[f"batch-{number}"]
        kind.cores_ratio = run.generator.choice((0.3, 0.6, 1.0, 1.5))
        kind.run_ratio = run.generator.choice((0.2, 0.5, 1.0, 2.0))


def _break_workers(run: Run) -> None:
    for zone in ZONES:
        worker = next(w for w in run.workers_by_id.values() if w.zone == zone)
        worker.is_faulty = True


def _repair_workers(run: Run) -> None:
    for worker in run.workers_by_id.values():
        worker.is_faulty = False


def _submit_unrunnable(run: Run) -> None:
    """Submits ten jobs too large for any worker and three whose tasks always fail."""
    for _ in range(10):
        run.unrunnable_jobs.add(run.submit("batch-0", 60, 100, 60.0))
    for _ in range(3):
        run.unrunnable_jobs.add(run.submit("batch-1", 100, 2, 60.0))


SCENARIOS = {
    "steady": Scenario(600, {}),
    "load-shift": Scenario(600, {240: _change_load, 480: _restore_load}),
    "noise-wave": Scenario(
        600, {180: _submit_noisy_tasks, 320: _submit_noisy_tasks, 460: _submit_noisy_tasks}
    ),
    "wrong-declarations": Scenario(600, {0: _misdeclare}),
    "bad-worker": Scenario(600, {180: _break_workers, 480: _repair_workers}),
    "unrunnable-job": Scenario(600, {180: _submit_unrunnable}),
    "cancellation-wave": Scenario(600, {300: lambda run: run.cancel(0.6)}),
    "zone-out-in": Scenario(
        4200,
        {240: lambda run: run.take_zone_out("a"), 3840: lambda run: run.bring_zone_back("a")},
    ),
}
