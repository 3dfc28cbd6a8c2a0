"""Tests of the choice of tasks that other shards are asked to run."""

import dataclasses
import unittest

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Step
from pollengate.workflow.moves import may_stop_to_move
from pollengate.workflow.progress import TaskProgress
from pollengate.workflow.records import (
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
    restore,
)
from pollengate.workflow.task_delegation import (
    MAX_SEARCHES,
    WAIT_BEFORE_DELEGATION_S,
    DelegationCandidates,
    delegated_workflow,
)

from tests.workflow_builders import (
    build_deployment,
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    start_all,
)

LARGE = Demand(5000, 100)


def long_running(count: int = 1, demand: Demand = LARGE, **changes: object) -> Step:
    """Returns a step of long-running tasks, which by default fit on no worker."""
    return build_step(count, demand=demand, is_long_running=True, **changes)


def due_of(job_table: JobTable, wait_s: float = WAIT_BEFORE_DELEGATION_S) -> list[TaskProgress]:
    """Returns the tasks that are due after a wait."""
    candidates = DelegationCandidates(job_table)
    assert candidates.find_due(0.0) == []
    return candidates.find_due(wait_s)


def waiting_table(*steps: Step, last_run: int = 1) -> JobTable:
    """Returns a table with one worker of four cores and jobs whose tasks have run before."""
    job_table = build_job_table(build_lease_worker())
    for number, step in enumerate(steps):
        job = build_job(f"{number:016x}", step)
        for task in job.open_occurrence(0).steps[0].tasks:
            task.last_run = last_run
            task.has_run = last_run > 0
        job_table.add(job, 0.0, 0)
    return job_table


class DelegationCandidatesTest(unittest.TestCase):
    """Guards against tasks that are delegated too early, or that must stay."""

    def test_task_that_waits_in_vain_is_due(self) -> None:
        self.assertEqual(len(due_of(waiting_table(long_running()))), 1)
        self.assertEqual(due_of(waiting_table(long_running()), 2.0), [])

    def test_task_whose_starts_are_refused_at_home_is_due(self) -> None:
        # Guards against a task that is never offered, as each planned start begins its wait anew.
        job_table = waiting_table(long_running(demand=Demand(100, 100)))
        (view,) = job_table.fleet.workers_by_id.values()
        candidates = DelegationCandidates(job_table)
        self.assertEqual(candidates.find_due(0.0), [])
        for now in (1.0, 2.0):
            (run,) = build_planner(job_table).plan(now)
            self.assertEqual(candidates.find_due(now), [])
            job_table.mark_rejected(run)
        view.unavailable_until = 4.0
        self.assertEqual(len(candidates.find_due(WAIT_BEFORE_DELEGATION_S)), 1)

    def test_task_with_room_at_home_stays(self) -> None:
        self.assertEqual(due_of(waiting_table(long_running(demand=Demand(100, 100)))), [])

    def test_first_task_without_an_earlier_run_is_due_unless_others_have_run(self) -> None:
        # Guards against a lasting task that waits for its first run beside room elsewhere.
        job_table = waiting_table(long_running(3), last_run=0)
        (step,) = (step for step in job_table.open_steps if step.waiting)
        first, second, _ = step.waiting
        self.assertEqual(due_of(job_table), [first])
        second.last_run, second.has_run = 1, True
        self.assertEqual(due_of(job_table), [second])

    def test_tasks_that_another_shard_cannot_judge_stay(self) -> None:
        for step in (
            build_step(demand=LARGE),
            long_running(2, is_gang=True),
            long_running(is_speculative=True),
            long_running(data_rack="r0"),
            long_running(same_rack=True),
            long_running(required_label="k"),
            long_running(demand=Demand(5000, 100, 1)),
        ):
            self.assertEqual(due_of(waiting_table(step)), [], step)
        limited = waiting_table(long_running())
        limited.deployment = dataclasses.replace(build_deployment(), accounts_by_name={})
        self.assertEqual(due_of(limited), [])

    def test_task_that_may_crash_its_workers_stays(self) -> None:
        job_table = waiting_table(long_running())
        next(iter(job_table.open_steps)).tasks[0].crashes = 1
        self.assertEqual(due_of(job_table), [])

    def test_tasks_that_no_shard_takes_do_not_keep_others_from_being_offered(self) -> None:
        count = 3 * MAX_SEARCHES
        candidates = DelegationCandidates(waiting_table(*[long_running()] * count))
        candidates.find_due(0.0)
        offered = [task.name for now in (3.0, 4.0, 5.0) for task in candidates.find_due(now)]
        self.assertEqual(len(offered), count)
        self.assertEqual(len(set(offered)), count)

    def test_delegated_task_is_one_job_that_is_not_moved_or_delegated_again(self) -> None:
        job_table = waiting_table(long_running(3, demand=Demand(100, 100), after=(), may_miss=1))
        task, *_ = next(iter(job_table.open_steps)).tasks
        workflow = delegated_workflow(task)
        self.assertEqual((len(workflow.steps), workflow.steps[0].count), (1, 1))
        for delegated_by in (None, 3):
            other = build_job_table(build_lease_worker())
            job = build_job("00000000000000aa.0.0.1", *workflow.steps)
            job.delegated_by = delegated_by
            other.add(job, 0.0, 0)
            (run,) = start_all(other)
            if delegated_by is not None:
                self.assertEqual(run.task.name, job.job_id)
                self.assertIs(other.find_task(job.job_id), run.task)
            other.mark_started(run, 0.0)
            run.percent = 100
            self.assertEqual(may_stop_to_move(run), delegated_by is None)

    def test_run_numbers_stay_above_those_of_both_shards_after_a_takeover(self) -> None:
        table = build_job_table(build_lease_worker())
        first, second = (JobTable(table.fleet, table.evidence, term) for term in (1, 2))
        job = build_job("00000000000000aa.0.0.1", long_running())
        job.delegated_by = 3
        (task,) = job.open_occurrence(0).steps[0].tasks
        first.continue_run_numbers(task, 900)
        self.assertEqual(first.next_run_number(task), 901)
        stored = decode_job(encode_job(job)).unwrap()
        progress = decode_progress(encode_progress(job)).unwrap()
        restored = restore(stored, progress, 0.0).unwrap()
        second.add(restored, 0.0, 0)
        self.assertEqual(second.next_run_number(next(restored.tasks())), 901 + 64)


if __name__ == "__main__":
    unittest.main()
