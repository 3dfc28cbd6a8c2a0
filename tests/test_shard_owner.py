"""Tests of a shard's owner against worker models on virtual time."""

import asyncio
import unittest

from pollengate.jobs import TaskState
from pollengate.steps import Step

from tests.cluster import BlockAt, ZoneFake, run_until
from tests.utils import run_virtual


class TakeOverTest(unittest.TestCase):
    """Kill, planned stop and what a successor starts when."""

    def test_job_runs_and_ends(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            zone.start_owner()
            await zone.submit(count=20, duration_ms=500)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len(zone.starts()), 20)

        run_virtual(main())

    def test_running_tasks_survive_a_killed_owner_without_a_second_start(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            first = zone.start_owner()
            zone.start_owner()
            await zone.submit(count=10, duration_ms=8_000)
            await run_until(lambda: len(zone.running()) == 8)
            zone.kill(first)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len(zone.starts()), 10)
            self.assertEqual(len({ref.task_id for ref in zone.starts()}), 10)

        run_virtual(main())

    def test_starts_go_on_within_five_seconds_of_a_kill(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            first = zone.start_owner()
            zone.start_owner()
            await zone.submit(count=100, duration_ms=100)
            await run_until(lambda: len(zone.starts()) > 20)
            zone.kill(first)
            before = len(zone.starts())
            await run_until(lambda: len(zone.starts()) > before, 5.0)

        run_virtual(main())

    def test_starts_go_on_within_a_second_of_a_planned_stop(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            first = zone.start_owner()
            zone.start_owner()
            await zone.submit(count=200, duration_ms=200)
            await run_until(lambda: len(zone.starts()) > 20)
            await zone.stop(first)
            before = len(zone.starts())
            await run_until(lambda: len(zone.starts()) > before, 1.0)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len({ref.task_id for ref in zone.starts()}), 200)
            self.assertEqual(len(zone.starts()), 200)

        run_virtual(main())


class DurabilityTest(unittest.TestCase):
    """Nothing is acknowledged before it is durable."""

    def test_owner_that_dies_before_the_ledger_write_does_not_run_a_task_again(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            steps = BlockAt(Step.LEDGER_WRITING)
            first = zone.start_owner(steps)
            await zone.submit(count=4, duration_ms=100)
            await steps.reached.wait()
            await asyncio.sleep(2.0)
            zone.start_owner()
            zone.kill(first)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len(zone.starts()), 4)

        run_virtual(main())

    def test_checkpoint_survives_the_owner_and_resumes_once(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            steps = BlockAt(Step.LEDGER_WRITING)
            first = zone.start_owner(steps)
            await zone.submit(duration_ms=10_000)
            await run_until(lambda: len(zone.running()) == 1)
            await asyncio.sleep(4.0)
            first.books.evict("job.0")
            await steps.reached.wait()
            zone.kill(first)
            begun = asyncio.get_running_loop().time()
            zone.start_owner()
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertLessEqual(asyncio.get_running_loop().time() - begun, 4.0 + 6.5)

        run_virtual(main())
