"""Owners with the learned policy under faults, on virtual time."""

import asyncio
import unittest

from pollengate.jobs import Resources, TaskState
from pollengate.shard_policy import shard_policy_builders
from pollengate.worker import ReportState, TaskRef
from pollengate_standins.worker_model import WorkerModel
from pollengated.shard_owner import ShardOwner

from tests.cluster import CORES_PER_WORKER, ZoneFake, run_until
from tests.utils import run_virtual

URGENT_START_S = 4.5


class FailingWorker(WorkerModel):
    """A worker on which tasks fail instead of finishing if their job id has a prefix.

    Attributes:
        job_prefix: prefix of the jobs that fail; if it is empty, all jobs fail.
    """

    job_prefix = ""

    def end(self, ref: TaskRef, state: ReportState) -> None:
        if state is ReportState.FINISHED and ref.task_id.startswith(self.job_prefix):
            state = ReportState.FAILED
        super().end(ref, state)


class FailingJobWorker(FailingWorker):
    """A worker on which only the job `broken` fails."""

    job_prefix = "broken"


def start_owner(zone: ZoneFake) -> ShardOwner:
    """Starts a scheduler process with the learned policy in a zone."""
    clock = asyncio.get_running_loop().time
    return zone.start_owner(policies=shard_policy_builders(zone.zone, 0, clock))


class PolicyFaultTest(unittest.TestCase):
    """Failing workers, failing jobs, full zones and lost owners."""

    def test_jobs_finish_although_one_worker_fails_all_tasks(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=3)
            zone.add_worker("bad", kind=FailingWorker)
            start_owner(zone)
            for number in range(8):
                await zone.submit(job_id=f"job-{number}", count=10, duration_ms=500)
            for number in range(8):
                await zone.wait_for(f"job-{number}", TaskState.FINISHED, 120.0)
            failed = len(zone.models_by_id["bad"].starts)
            self.assertGreater(failed, 0)
            self.assertLessEqual(failed, 3 * CORES_PER_WORKER)

        run_virtual(main())

    def test_failing_job_ends_after_three_starts_and_other_jobs_finish(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=0)
            for number in range(4):
                zone.add_worker(f"a-w{number}", kind=FailingJobWorker)
            start_owner(zone)
            await zone.submit(job_id="broken", count=1, duration_ms=500)
            for number in range(4):
                await zone.submit(job_id=f"good-{number}", count=10, duration_ms=500)
            await zone.wait_for("broken", TaskState.FAILED, 120.0)
            for number in range(4):
                await zone.wait_for(f"good-{number}", TaskState.FINISHED, 120.0)
            starts = [ref for ref in zone.starts() if ref.task_id.startswith("broken")]
            self.assertEqual(len(starts), 3)
            self.assertEqual(len(zone.starts()), 43)

        run_virtual(main())

    def test_failed_non_idempotent_task_is_not_retried(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=0)
            zone.add_worker("a-w0", kind=FailingWorker)
            zone.add_worker("a-w1", kind=FailingWorker)
            start_owner(zone)
            await zone.submit(duration_ms=500, idempotent=False)
            await zone.wait_for("job", TaskState.FAILED)
            self.assertEqual(len(zone.starts()), 1)

        run_virtual(main())

    def test_urgent_job_starts_in_time_in_a_full_zone(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=3)
            start_owner(zone)
            await zone.submit(job_id="batch", count=12, duration_ms=600_000)
            await run_until(lambda: len(zone.running()) == 12)
            loop = asyncio.get_running_loop()
            submitted_at = loop.time()
            await zone.submit(
                job_id="urgent", count=3, duration_ms=60_000, urgent=True, resources=Resources(2, 9)
            )
            await run_until(lambda: sum("urgent" in r.task_id for r in zone.running()) == 3)
            self.assertLessEqual(loop.time() - submitted_at, URGENT_START_S)
            self.assertEqual(sum("batch" in ref.task_id for ref in zone.running()), 6)

        run_virtual(main())

    def test_job_larger_than_any_worker_does_not_delay_others(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=2)
            start_owner(zone)
            await zone.submit(
                job_id="huge", count=500, resources=Resources(CORES_PER_WORKER + 1, 9)
            )
            await zone.submit(job_id="small", count=20, duration_ms=500)
            await zone.wait_for("small", TaskState.FINISHED)
            self.assertIs(await zone.state_of("huge"), TaskState.QUEUED)

        run_virtual(main())

    def test_no_task_starts_twice_after_the_owner_is_killed(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=3)
            first = start_owner(zone)
            start_owner(zone)
            await zone.submit(count=30, duration_ms=4_000)
            await run_until(lambda: len(zone.running()) == 12)
            zone.kill(first)
            await zone.wait_for("job", TaskState.FINISHED, 120.0)
            self.assertEqual(len(zone.starts()), 30)
            self.assertEqual(len({ref.task_id for ref in zone.starts()}), 30)

        run_virtual(main())

    def test_zone_taken_out_of_service_is_drained_and_its_tasks_resume_once(self) -> None:
        async def main() -> None:
            first, second = ZoneFake(), ZoneFake(zone="b")
            second.store, second.configuration_cache = first.store, first.configuration_cache
            start_owner(first)
            start_owner(second)
            await second.serving()
            await first.submit(count=12, duration_ms=20_000)
            await run_until(lambda: len(first.running()) == 8)
            first.configuration_cache.set_zone("a", in_service=False, drain_grace_s=10.0)
            await run_until(lambda: not first.running(), 10.0)
            await second.wait_for("job", TaskState.FINISHED, 90.0)
            self.assertEqual((len(first.starts()), len(second.starts())), (8, 12))

        run_virtual(main())
