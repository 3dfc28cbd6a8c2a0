"""Tests that the records of a job stay within the store's limits, whatever the job's size."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from unittest import mock

from pollengate.memory_store import MemoryStore
from pollengate.store import CommitResult, FailureKind, Operation, Put, StoreFailure, Unchanged
from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_service import Accepted
from pollengate.workflow.model import Demand, Workflow
from pollengate.workflow.progress import TASKS_PER_RECORD, JobProgress, JobState
from pollengate.workflow.records import (
    decode_job,
    decode_part,
    decode_progress,
    encode_job,
    encode_part,
    encode_progress,
    restore,
)
from result import Err, Result

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
    start_all,
)

VALUE_BYTES = 1_048_576
# Small enough that a few thousand tasks exceed it in one record.
SMALL_VALUE_BYTES = 65_536
DUE_OCCURRENCES = 3_000
SEEDS = range(4)


def restored(job: JobProgress) -> JobProgress:
    """Returns what a successor restores of a job from all of its records."""
    stored = decode_job(encode_job(job)).unwrap()
    parts = {part: decode_part(encode_part(job, part)).unwrap() for part in job.stored_parts}
    progress = decode_progress(encode_progress(job)).unwrap()
    return restore(stored, progress, 0.0, parts).unwrap()


def progress_by_task(job: JobProgress) -> dict[str, tuple[object, ...]]:
    """Returns the recorded progress of the tasks that are not done."""
    return {
        task.name: (task.last_run, task.has_run, task.failed_runs, task.checkpoint)
        for task in job.tasks()
        if not task.is_done
    }


class JobRecordsTest(unittest.TestCase):
    """Records of one job on workers of 64 cores."""

    def test_no_record_of_the_largest_job_exceeds_the_stores_limit(self) -> None:
        # Guards against a record that the store refuses for ever, so that no other is written.
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", build_step(50_000))
        job_table.add(job, 0.0, 0)
        (step,) = job_table.open_steps
        for task in step.tasks:
            task.last_run, task.failed_runs, task.checkpoint = 10**15, {10**15}, "c" * 2_048
            job.mark_changed(task)
        self.assertLess(len(encode_progress(job)), VALUE_BYTES)
        self.assertEqual(len(job.changed_parts), -(-50_000 // TASKS_PER_RECORD))
        for part in job.changed_parts:
            self.assertLess(len(encode_part(job, part)), VALUE_BYTES)

    def test_an_end_changes_one_record(self) -> None:
        job_table = build_job_table(build_lease_worker(capacity=Demand(64_000, 250_000)))
        job = build_job("aa", build_step(5_000))
        job_table.add(job, 0.0, 0)
        run, *_ = start_all(job_table)
        job_table.mark_ended(run, EndKind.DONE, "", 1.0, 0)
        self.assertEqual(job.changed_parts, {0})

    def test_progress_of_random_jobs_survives_a_takeover(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_random_job(random.Random(seed))

    def check_random_job(self, generator: random.Random) -> None:
        """Runs part of a random job and compares it with what a successor restores."""
        capacity = Demand(64_000, 250_000)
        workers = (build_lease_worker(f"w{n}", capacity=capacity) for n in range(4))
        job_table = build_job_table(*workers, max_attempts=9)
        steps = [build_step(generator.randint(1, 300)) for _ in range(generator.randint(1, 3))]
        steps.append(build_step(generator.randint(1, 40), after=(0,), is_gang=True))
        repeats = generator.choice([0, 3, 40])
        job = build_job("aa", *steps, repeat_count=repeats, first_due_ms=0, interval_ms=1)
        job_table.add(job, 0.0, 1_000_000)
        for number in range(generator.randint(1, 12)):
            now = float(number)
            job_table.open_due_occurrences(now, 1_000_000)
            for run in start_all(job_table, now):
                how = generator.choice([EndKind.DONE] * 4 + [EndKind.FAILED, EndKind.STOPPED])
                job_table.mark_ended(run, how, generator.choice(["", "half"]), now, 0)
        job.stored_parts |= job.changed_parts
        found = restored(job)
        self.assertEqual(found.due_count, job.due_count)
        self.assertEqual(found.completed_occurrences, job.completed_occurrences)
        self.assertEqual(found.incomplete_steps, job.incomplete_steps)
        self.assertEqual(progress_by_task(found), progress_by_task(job))

    def test_record_of_a_version_without_parts_is_restored_and_written_anew(self) -> None:
        job_table = build_job_table(build_lease_worker(capacity=Demand(64_000, 250_000)))
        job = build_job("aa", build_step(600))
        job_table.add(job, 0.0, 0)
        for run in start_all(job_table)[:10]:
            job_table.mark_ended(run, EndKind.DONE, "", 1.0, 0)
        with mock.patch.object(JobProgress, "has_parts", False):
            encoded = encode_progress(job)
        stored = decode_job(encode_job(job)).unwrap()
        found = restore(stored, decode_progress(encoded).unwrap(), 0.0).unwrap()
        self.assertEqual(sum(task.is_done for task in found.tasks()), 10)
        self.assertEqual(progress_by_task(found), progress_by_task(job))
        self.assertEqual(found.changed_parts, {0, 1, 2})

    def test_occurrences_that_are_due_at_once_are_opened_as_they_start(self) -> None:
        # Guards against thousands of steps that each plan compares with each other.
        job_table = build_job_table(build_lease_worker(capacity=Demand(64_000, 250_000)))
        job = build_job("aa", repeat_count=2_000, first_due_ms=0, interval_ms=1)
        job_table.add(job, 0.0, 1_000_000)
        for number in range(100):
            self.assertLessEqual(len(job_table.open_steps), 100)
            self.assertLessEqual(len(job.occurrences_by_number), 200)
            for run in start_all(job_table, float(number)):
                job_table.mark_ended(run, EndKind.DONE, "", float(number), 0)
            job_table.open_due_occurrences(float(number), 1_000_000)
        self.assertIs(job.state, JobState.COMPLETED)
        self.assertTrue(job_table.has_ended_job("aa.1999.0.0"))


class LimitedStore(MemoryStore):
    """A store that refuses values over its limit, like the platform's.

    Attributes:
        refusals: number of refused transactions.
    """

    refusals = 0

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Refuses the transaction as a whole if a value is too long."""
        if any(isinstance(o, Put) and len(o.value) > SMALL_VALUE_BYTES for o in operations):
            self.refusals += 1
            return Err(StoreFailure(FailureKind.REJECTED, "status 400: value too long"))
        return await super().commit(conditions, operations)


class LargeJobsTest(EdgeTestCase):
    """Small jobs beside large ones of random shapes, with a takeover."""

    def test_small_jobs_end_beside_large_ones(self) -> None:
        # Guards against one accepted job that stops all commits of its shard.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(self._play(random.Random(seed)))

    async def _play(self, generator: random.Random) -> None:
        cluster = EdgeCluster(workers=4, duration_s=0.5, capacity=Demand(64_000, 64_000))
        store = cluster.store = LimitedStore()
        await cluster.open(nodes=2)
        for number, workflow in enumerate(large_workflows(generator)):
            response = await cluster.submit(f"{number:016x}", workflow)
            self.assertIsInstance(response, Accepted)
        small_ids = [f"{number:016x}" for number in range(16, 20)]
        for job_id in small_ids[:2]:
            await submit_small(cluster, job_id)
        await asyncio.sleep(generator.uniform(0.5, 3.0))
        cluster.serving_node().kill()
        for job_id in small_ids[2:]:
            await submit_small(cluster, job_id)
        for job_id in small_ids:
            await cluster.wait_for_state(job_id, "completed", timeout_s=60.0)
        self.assertEqual(store.refusals, 0)
        self.check_single_execution(cluster)


async def submit_small(cluster: EdgeCluster, job_id: str) -> None:
    """Submits a job of two steps until it is accepted."""
    workflow = build_workflow(build_step(2), build_step(after=(0,)))
    for _ in range(60):
        if isinstance(await cluster.submit(job_id, workflow), Accepted):
            return
        await asyncio.sleep(0.5)
    raise TimeoutError(f"{job_id} is not accepted")


def large_workflows(generator: random.Random) -> list[Workflow]:
    """Returns jobs of many tasks, of many steps, of many times due and far, and with long specs."""
    far_ms = 10**12
    return [
        build_workflow(build_step(generator.randint(1_000, 3_000), max_per_worker=8)),
        build_workflow(*(build_step(after=(n - 1,) if n else ()) for n in range(100))),
        build_workflow(repeat_count=DUE_OCCURRENCES, first_due_ms=0, interval_ms=1),
        build_workflow(repeat_count=DUE_OCCURRENCES, first_due_ms=far_ms, interval_ms=1_000),
        build_workflow(build_step(generator.randint(300, 600), is_gang=True)),
        Workflow("s" * 4_000, (build_step(generator.randint(300, 600), saves_progress=True),)),
    ]


if __name__ == "__main__":
    unittest.main()
