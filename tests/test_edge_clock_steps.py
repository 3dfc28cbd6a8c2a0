"""Tests of owners whose time of day jumps, on virtual time."""

import asyncio
from unittest import mock

from pollengate.workflow.job_service import Accepted, Found, NoSuchJob
from pollengate.workflow.progress import JobState
from pollengated.edge.clocks import Clocks

from tests.edge_cluster import EdgeCluster, EdgeNode, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_step, build_workflow

JOB_ID = "00000000000000aa"
START_MS = 1_700_000_000_000
STEP_MS = 2_400_000

# Within the 5 s by which clocks may jump.
AHEAD_MS = 4_000


class SteppingCluster(EdgeCluster):
    """A cluster whose processes have times of day that a test can change.

    Attributes:
        offset_ms_by_node: error of each process's time of day.
    """

    def __init__(self, duration_s: float) -> None:
        super().__init__(duration_s=duration_s)
        self.offset_ms_by_node: dict[str, int] = {}

    def start_node(self, name: str) -> EdgeNode:
        """Starts an edge process with a time of day of its own."""
        loop = asyncio.get_running_loop()

        def unix_ms() -> int:
            offset_ms = self.offset_ms_by_node.get(name, 0)
            return START_MS + int(loop.time() * 1000) + offset_ms

        with mock.patch.object(Clocks, "of_loop", return_value=Clocks(loop.time, unix_ms)):
            return super().start_node(name)


class ClockStepTest(EdgeTestCase):
    """Jobs run, and are shown, whatever the owners' times of day are."""

    def test_job_accepted_by_a_clock_that_is_ahead_runs_on_after_a_takeover(self) -> None:
        async def main() -> None:
            cluster = SteppingCluster(duration_s=2.0)
            await cluster.open()
            node = cluster.serving_node()
            cluster.offset_ms_by_node[node.name] = STEP_MS
            workflow = build_workflow(build_step(4))
            self.assertIsInstance(await cluster.submit(JOB_ID, workflow), Accepted)
            await asyncio.sleep(0.5)
            node.kill()
            await cluster.wait_for_term(other_than=node.name)
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
            self.check_single_execution(cluster)
            self.assertEqual(len(cluster.history), 4)

        run_virtual(main())

    def test_ended_job_is_shown_although_the_clock_of_the_owner_jumps_ahead(self) -> None:
        async def main() -> None:
            cluster = SteppingCluster(duration_s=0.5)
            await cluster.open()
            await cluster.submit(JOB_ID, build_workflow())
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
            node = cluster.serving_node()
            cluster.offset_ms_by_node[node.name] = STEP_MS
            await asyncio.sleep(110.0)
            term = await cluster.wait_for_term()
            self.assertEqual(
                await term.request_handler.show(JOB_ID, REQUESTER), Found(JobState.COMPLETED)
            )
            await asyncio.sleep(30.0)
            self.assertEqual(await term.request_handler.show(JOB_ID, REQUESTER), NoSuchJob())
            self.assertEqual((await cluster.store.list("pollengate/job/")).unwrap().entries, ())

        run_virtual(main())

    def test_ended_job_is_shown_by_a_successor_whose_clock_is_ahead(self) -> None:
        async def main() -> None:
            cluster = SteppingCluster(duration_s=0.5)
            await cluster.open()
            await cluster.submit(JOB_ID, build_workflow())
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
            node = cluster.serving_node()
            for name in cluster.nodes_by_name:
                cluster.offset_ms_by_node[name] = 0 if name == node.name else STEP_MS
            node.kill()
            term = await cluster.wait_for_term(other_than=node.name)
            await asyncio.sleep(2.0)
            self.assertEqual(
                await term.request_handler.show(JOB_ID, REQUESTER), Found(JobState.COMPLETED)
            )

        run_virtual(main())

    def test_run_that_an_owner_whose_clock_was_ahead_started_is_not_started_again_when_due(
        self,
    ) -> None:
        # The run ends, or goes on, before the successor holds its occurrence for due.
        for duration_s in (0.6, 6.0):
            with self.subTest(duration_s=duration_s):
                run_virtual(self.check_early_occurrence(duration_s))

    async def check_early_occurrence(self, duration_s: float) -> None:
        """Kills an owner that has started an occurrence before it is due by other clocks."""
        cluster = SteppingCluster(duration_s)
        await cluster.open()
        node = cluster.serving_node()
        cluster.offset_ms_by_node[node.name] = AHEAD_MS
        due_ms = START_MS + int(asyncio.get_running_loop().time() * 1000) + AHEAD_MS + 1000
        workflow = build_workflow(first_due_ms=due_ms, interval_ms=60_000, repeat_count=1)
        self.assertIsInstance(await cluster.submit(JOB_ID, workflow), Accepted)
        await asyncio.sleep(1.3)
        self.assertEqual(len(cluster.history), 1)
        node.kill()
        await cluster.wait_for_term(other_than=node.name)
        await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
        self.check_single_execution(cluster)
        self.assertEqual(len(cluster.history), 1)
