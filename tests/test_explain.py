"""Tests of explanations: they agree with the planner and change nothing."""

import io
import pickle
import types
import unittest
from unittest import mock

from pollengate.explain.explainer import JobExplainer, StepExplanation
from pollengate.explain.reasons import Reason
from pollengate.interference.filler_placement import MAX_WITHHELD_S
from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Step, WorkerCondition
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import Run
from pollengate.workflow.waiting import WaitCause

from tests.test_workflow_planner_cost import play
from tests.workflow_builders import (
    build_deployment,
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
    start_all,
)

JOB = "00000000000000aa"
plan = Planner.plan


class _StatePickler(pickle.Pickler):
    """Writes all state that a planner reaches; functions by their identity."""

    def persistent_id(self, obj: object) -> str | None:
        """Returns a stand-in for functions, which can't be pickled."""
        return repr(obj) if isinstance(obj, types.FunctionType) else None


def dump(planner: Planner) -> bytes:
    """Returns the state of a planner, its job table, workers, evidence and latency model."""
    buffer = io.BytesIO()
    _StatePickler(buffer).dump(planner)
    return buffer.getvalue()


def explain(planner: Planner, job_id: str = JOB, now: float = 0.0) -> list[StepExplanation]:
    """Returns the explanations of a job's steps."""
    explained = JobExplainer(planner).explain_job(job_id, now)
    assert explained is not None
    return explained.steps


def explain_unsubmitted(job_table: JobTable, *steps: Step) -> StepExplanation:
    """Returns the explanation of the first step of a workflow that was never submitted."""
    queue = job_table.deployment.queues[0]
    workflow = build_workflow(*steps)
    explained = JobExplainer(build_planner(job_table)).explain_workflow(workflow, queue, "", 0.0, 0)
    assert explained.job is None and explained.state is None
    return explained.steps[0]


class AgreementTest(unittest.TestCase):
    """Explanations give the planner's decisions and leave them as they are."""

    def check_plan(self, planner: Planner, now: float) -> list[Run]:
        """Explains all waiting steps, then plans; the first start has to be the explained one."""
        job_table = planner.job_table
        steps = [step for step in job_table.open_steps if step.waiting]
        steps.sort(key=lambda step: planner.order.key(step, job_table.queue_of(step), now))
        before = dump(planner)
        starts = []
        for place, step in enumerate(steps, start=1):
            (explained,) = explain(planner, step.job.job_id, now)
            self.assertEqual(explained.place, place)
            self.assertEqual(explained.worker is None, explained.cause is not None)
            if explained.worker:
                first = step.waiting.first
                assert first is not None
                starts.append((first.name, explained.worker))
        self.assertEqual(before, dump(planner))
        runs = plan(planner, now)
        self.assertEqual(starts[:1], [(run.task.name, run.worker_id) for run in runs[:1]])
        return runs

    def test_next_plan_starts_the_explained_task_on_the_explained_worker(self) -> None:
        """Guards against explanations that differ from the decisions, or that change them."""
        for seed in range(4):
            expected = play(seed, workers=8)
            with mock.patch.object(Planner, "plan", lambda *args: self.check_plan(*args)):
                self.assertEqual(play(seed, workers=8), expected)
            self.assertGreater(len(expected), 50)

    def test_withheld_filler_is_explained_and_stays_withheld(self) -> None:
        """Guards against explanations that change what is learned about interference."""
        workers = [build_lease_worker(f"w{n}", capacity=Demand(64_000, 9000)) for n in range(4)]
        job_table = build_job_table(*workers)
        latency_model = LatencyModel()
        latency_model.load({"s": {"f": (500.0, 0.1)}})
        serving = build_step(4, is_long_running=True, max_per_worker=1, target_ms=50, image="s")
        job_table.add(build_job("bb", serving), 0.0, 0)
        planner = build_planner(job_table, latency_model)
        self.assertEqual(len(planner.plan(0.0)), 4)
        job_table.add(build_job(JOB, build_step(is_filler=True, image="f")), 0.0, 0)
        job_table.fleet.workers_by_id["w3"].fillers_blocked_until = 9.0
        self.assertEqual(planner.plan(0.5), [])
        before = dump(planner)
        (withheld,) = explain(planner, now=1.0)
        self.assertEqual(withheld.against, {Reason.INTERFERENCE: 3, Reason.FILLERS_BLOCKED: 1})
        self.assertEqual(withheld.cause, WaitCause.WITHHELD)
        (due,) = explain(planner, now=MAX_WITHHELD_S)
        self.assertIsNone(due.cause)
        self.assertEqual(before, dump(planner))
        self.assertEqual(planner.plan(1.0), [])
        self.assertEqual([r.worker_id for r in planner.plan(MAX_WITHHELD_S)], [due.worker])


class ReasonTest(unittest.TestCase):
    """Every worker counts once, under the reason that keeps the task from it."""

    def test_each_worker_counts_under_one_reason(self) -> None:
        """Guards against an operator who is sent to the wrong cause."""
        job_table = build_job_table(
            build_lease_worker("free"),
            build_lease_worker("small", capacity=Demand(500, 1000)),
            build_lease_worker("label", labels=("other",)),
            build_lease_worker("draining", condition=WorkerCondition.DRAINING),
            build_lease_worker("zone", zone="b"),
            *map(build_lease_worker, ("silent", "new", "backoff", "released", "gone")),
            *map(build_lease_worker, ("reserved", "full", "faulty", "tried")),
            build_lease_worker("service", service="other"),
        )
        view = job_table.fleet.workers_by_id
        job_table.fleet.evacuated_zones = frozenset({"b"})
        view["silent"].is_attached = view["new"].is_recorded = False
        view["backoff"].unavailable_until = 1.0
        view["released"].is_released = view["reserved"].is_reserved = True
        view["gone"].is_registered = False
        job_table.add(build_job(JOB, build_step(2, required_label="kind", max_per_worker=1)), 0, 0)
        tasks = list(job_table.jobs_by_id[JOB].tasks())
        job_table.add_run(tasks[0], view["full"], 1, 0.0)
        for number in range(4):
            name = f"{number:016x}"
            job_table.evidence.record_failure(f"{name}.0.0.0", name, "faulty", 14)
        job_table.evidence.record_failure(tasks[1].name, JOB, "tried", 14)
        (step,) = explain(build_planner(job_table))
        one_each = (
            *(Reason.NO_CAPACITY, Reason.LABEL, Reason.DRAINING, Reason.EVACUATED_ZONE),
            *(Reason.NOT_REPLYING, Reason.NOT_RECORDED, Reason.BACKOFF, Reason.RELEASED),
            *(Reason.NOT_REGISTERED, Reason.RESERVED, Reason.LIMIT_PER_WORKER),
            *(Reason.QUARANTINE, Reason.FAILED_THERE),
        )
        self.assertEqual(step.against, dict.fromkeys(one_each, 1))
        self.assertEqual((step.workers, step.suitable, step.worker), (14, 1, "free"))
        self.assertEqual((step.state, step.done, step.waiting), ("waiting", 0, 1))

    def test_gang_needs_room_for_all_tasks(self) -> None:
        """Guards against a worker named for a gang that does not start as a whole."""
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        for count, worker in ((8, "w0"), (9, None)):
            step = explain_unsubmitted(job_table, build_step(count, is_gang=True))
            self.assertEqual((step.worker, step.fitting_tasks), (worker, 8))

    def test_holds_of_all_starts(self) -> None:
        """Guards against a worker named for a task that an account's limit or a takeover holds."""
        job_table = build_job_table(build_lease_worker())
        job_table.add(job := build_job(JOB), 0.0, 0)
        planner = build_planner(job_table, settled=False)
        with mock.patch.object(planner.start_filter, "count_startable", return_value=0):
            (step,) = explain(planner)
        self.assertEqual((step.worker, step.against), (None, {Reason.ACCOUNT_LIMIT: 1}))
        job.is_restored = True
        (step,) = explain(planner)
        self.assertEqual((step.worker, step.cause), (None, WaitCause.UNSETTLED))
        job_table.deployment = build_deployment(name="other")
        (step,) = explain(planner)
        self.assertEqual((step.worker, step.cause), (None, WaitCause.UNSETTLED))
        job.queue = None  # its record is older than the removal of its route
        (step,) = explain(planner)
        self.assertEqual((step.worker, step.cause), (None, WaitCause.NO_QUEUE))


class PlaceTest(unittest.TestCase):
    """States of steps, and places in the order."""

    def test_unsubmitted_workflow_comes_after_waiting_steps_and_leaves_no_trace(self) -> None:
        """Guards against a wrong place, and against a job that appears by being explained."""
        job_table = build_job_table(build_lease_worker())
        job_table.add(job := build_job(JOB, build_step(6), build_step(after=(0,))), 0.0, 0)
        start_all(job_table)
        step = explain_unsubmitted(job_table, build_step(3), build_step(after=(0,)))
        self.assertEqual((step.place, step.tasks_ahead), (2, 2))
        self.assertEqual((step.cause, step.against), (WaitCause.NO_CAPACITY, {"no_capacity": 1}))
        self.assertEqual(list(job_table.jobs_by_id), [JOB])
        self.assertEqual(len(job_table.open_steps), 1)
        job_table.cancel(job, 0)
        states = [step.state for step in explain(build_planner(job_table))]
        self.assertEqual(states, ["ended", "ended"])

    def test_number_of_explained_steps_is_bounded(self) -> None:
        """Guards against a busy event loop, and against the loss of the step that waits."""
        planner = build_planner(build_job_table(build_lease_worker()))
        chain = [build_step(after=(number,)) for number in range(28)]
        planner.job_table.add(build_job(JOB, build_step(), *chain, build_step()), 0.0, 0)
        explained = JobExplainer(planner).explain_job(JOB, 0.0)
        assert explained is not None
        numbers = [step.step for step in explained.steps]
        self.assertEqual((numbers, explained.omitted_steps), ([*range(9), 29], 20))
