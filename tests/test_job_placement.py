"""Tests of jobs that are placed outside their home shard, under failures, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

from pollengate.workflow.job_placement import StoredPlacement, decode_placement
from pollengate.workflow.job_service import (
    Accepted,
    Cancelled,
    Found,
    JobResponse,
    PlacedElsewhere,
    Undecided,
)
from pollengate.workflow.keys import job_key, job_prefix, placement_key, shard_of_job
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import JobState
from pollengated.edge.job_placer import REFUSAL_MEMORY_S
from pollengated.edge.other_shards import (
    PlacementOutcome,
    PlacementRequest,
    PlacementUnknown,
    Refused,
)

from tests.edge_cluster import BOUNDS, ClusterShards, EdgeCluster, EdgeNode, EdgeTestCase
from tests.faulty_store import Fault
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_step, build_workflow

HOME, OTHER = 0, 1
IDS = [f"{n:016x}" for n in range(400) if shard_of_job(f"{n:016x}", 2) == HOME]
FILL_ID, JOB_ID = IDS[:2]
SHORT_S = 0.6
# A second run of a task would begin within this time.
SETTLE_S = 1.0
# Two tasks fill a worker.
SHORT_JOB = build_workflow(build_step(4, demand=Demand(2000, 100), estimate_ms=600))
PLACEMENT = "placement/"


async def open_full_home(other_workers: int = 8) -> EdgeCluster:
    """Returns a cluster in which long-running tasks fill the home shard; the other one is empty."""
    cluster = EdgeCluster(workers=2 * other_workers, shards=2)
    for worker in cluster.workers_by_id.values():
        worker.duration_of = lambda task: float("inf") if task.startswith(FILL_ID) else SHORT_S
    await cluster.open(nodes=4)
    step = build_step(other_workers, is_long_running=True, demand=Demand(4000, 100))
    await cluster.submit(FILL_ID, build_workflow(step))
    await asyncio.sleep(2.0)
    return cluster


def node_of(cluster: EdgeCluster, shard: int) -> EdgeNode:
    """Returns the process that owns a shard."""
    node = cluster.owner(shard=shard)
    assert node is not None
    return node


async def resubmit(cluster: EdgeCluster, other_than: str = "") -> JobResponse:
    """Submits the job again, like a client, until the response is definite."""
    while True:
        response = await cluster.submit(JOB_ID, SHORT_JOB, other_than)
        if not isinstance(response, Undecided):
            return response


async def stored_placement(cluster: EdgeCluster) -> StoredPlacement | None:
    """Returns the placement record of the job, None if there is none."""
    entry = (await cluster.store.get(placement_key(HOME, JOB_ID))).unwrap()
    return None if entry is None else decode_placement(entry.value).unwrap()


class JobPlacementTest(EdgeTestCase):
    """A job of a full home shard while another shard has room."""

    def run_scenario(self, scenario: Callable[[EdgeCluster], Awaitable[None]]) -> None:
        """Runs a scenario in a cluster with a full home shard."""

        async def main() -> None:
            cluster = await open_full_home()
            await scenario(cluster)
            await asyncio.sleep(SETTLE_S)
            self.check_single_execution(cluster)

        run_virtual(main())

    async def check_runs_once(self, cluster: EdgeCluster, shard: int | None = OTHER) -> None:
        """Asserts that the job completes, each of its tasks after one run, in one shard."""
        await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
        runs = [run for run in cluster.update_history() if run.task.startswith(JOB_ID)]
        self.assertEqual(len(runs), 4)
        holders = [
            number
            for number in (HOME, OTHER)
            if (await cluster.store.get(job_key(number, JOB_ID))).unwrap() is not None
        ]
        self.assertEqual(len(holders), 1)
        if shard is not None:
            self.assertEqual(holders, [shard])

    def test_requests_for_a_placed_job_are_answered_by_the_shard_that_has_it(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            self.assertEqual(await cluster.submit(JOB_ID, SHORT_JOB), Accepted())
            home = await cluster.wait_for_term(shard=HOME)
            other = await cluster.wait_for_term(shard=OTHER)
            self.assertEqual(
                await home.request_handler.show(JOB_ID, REQUESTER), PlacedElsewhere(OTHER)
            )
            self.assertIsInstance(await other.request_handler.show(JOB_ID, REQUESTER), Found)
            self.assertEqual(await cluster.submit(JOB_ID, SHORT_JOB), Accepted())
            await self.check_runs_once(cluster)

        self.run_scenario(scenario)

    def test_placed_job_is_cancelled(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            home = await cluster.wait_for_term(shard=HOME)
            await asyncio.sleep(0)
            response = await home.request_handler.cancel(JOB_ID, REQUESTER)
            self.assertEqual(response, PlacedElsewhere(OTHER))
            other = await cluster.wait_for_term(shard=OTHER)
            cancelled = await other.request_handler.cancel(JOB_ID, REQUESTER)
            self.assertEqual((await submission, cancelled), (Accepted(), Cancelled()))
            await cluster.wait_for_state(JOB_ID, JobState.CANCELLED)

        self.run_scenario(scenario)

    def test_cancel_is_not_answered_before_a_submission_that_waits_for_the_same_placement(
        self,
    ) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            home = await cluster.wait_for_term(shard=HOME)
            other = await cluster.wait_for_term(shard=OTHER)

            async def refuse_late(request: PlacementRequest) -> Refused:
                await asyncio.sleep(1.0)
                return Refused("no_room")

            with mock.patch.object(other.request_handler.acceptor, "accept", refuse_late):
                first = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
                await asyncio.sleep(0.5)
                cancel = asyncio.create_task(home.request_handler.cancel(JOB_ID, REQUESTER))
                await asyncio.sleep(0.1)
                self.assertEqual(await cluster.submit(JOB_ID, SHORT_JOB), Accepted())
            self.assertIsInstance(await first, Undecided)
            self.assertIsInstance(await cancel, Undecided)

        self.run_scenario(scenario)

    def test_request_that_arrives_as_a_placement_fails_does_not_place_the_job_again(self) -> None:
        # The job would run in its home shard, for the first request, and in another one.
        async def main() -> None:
            ids = [f"{n:016x}" for n in range(99) if shard_of_job(f"{n:016x}", 3) == HOME]
            cluster = EdgeCluster(workers=12, shards=3)
            for worker in cluster.workers_by_id.values():
                worker.duration_of = lambda task: (
                    float("inf") if task.startswith(ids[0]) else SHORT_S
                )
            await cluster.open(nodes=4)
            step = build_step(4, is_long_running=True, demand=Demand(4000, 100))
            await cluster.submit(ids[0], build_workflow(step))
            await asyncio.sleep(2.0)
            home = await cluster.wait_for_term(shard=HOME)
            submissions = []

            def submit() -> None:
                submission = home.request_handler.submit("queue", ids[1], SHORT_JOB, "")
                submissions.append(asyncio.create_task(submission))

            shards = ClusterShards(cluster)
            asked: list[int] = []
            original_place = ClusterShards.place

            async def place(shard: int, request: PlacementRequest) -> PlacementOutcome:
                asked.append(shard)
                if len(asked) > 2:
                    return await original_place(shards, shard, request)
                if len(asked) == 2:
                    await asyncio.sleep(REFUSAL_MEMORY_S)
                    submit()
                return Refused("no_room")

            with mock.patch.object(ClusterShards, "place", side_effect=place):
                submit()
                await asyncio.sleep(2.0)
            responses = await asyncio.gather(*submissions)
            self.assertEqual(responses, [Accepted(), Accepted()])
            await asyncio.sleep(20 * SHORT_S)
            holders = [
                shard
                for shard in range(3)
                if (await cluster.store.get(job_key(shard, ids[1]))).unwrap() is not None
            ]
            self.assertEqual(holders, [HOME])
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_herd_of_jobs_does_not_overfill_the_shard_with_room(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            ids = IDS[1:21]
            await asyncio.gather(*(cluster.submit(job_id, SHORT_JOB) for job_id in ids))
            other = await cluster.wait_for_term(shard=OTHER)
            home = await cluster.wait_for_term(shard=HOME)
            self.assertEqual(len(other.job_table.jobs_by_id), 4)
            self.assertEqual(len(home.job_table.jobs_by_id), 1 + 16)

        self.run_scenario(scenario)

    def test_owner_of_the_home_shard_dies_after_the_write(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            cluster.loses_placement_replies = True
            home = node_of(cluster, HOME)
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            await asyncio.sleep(0.01)
            self.assertIsNotNone(cluster.find_job(JOB_ID))
            submission.cancel()
            home.kill()
            self.assertEqual(await resubmit(cluster, home.name), Accepted())
            successor = await cluster.wait_for_term(home.name, shard=HOME)
            self.assertEqual(
                await successor.request_handler.show(JOB_ID, REQUESTER), PlacedElsewhere(OTHER)
            )
            await self.check_runs_once(cluster)

        self.run_scenario(scenario)

    def test_owner_of_the_other_shard_dies_before_its_write(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            node = node_of(cluster, OTHER)

            def kill(keys: list[str]) -> Fault | None:
                if any(PLACEMENT in key for key in keys):
                    node.kill()
                    return Fault.LATE
                return None

            node.store.choose_fault = kill
            self.assertEqual(await resubmit(cluster), Accepted())
            self.assertEqual(await stored_placement(cluster), StoredPlacement(HOME))
            await self.check_runs_once(cluster, HOME)

        self.run_scenario(scenario)

    def test_owner_of_the_other_shard_dies_after_its_write(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            node = node_of(cluster, OTHER)

            def kill(keys: list[str]) -> Fault | None:
                if any(PLACEMENT in key for key in keys):
                    asyncio.get_running_loop().call_later(0.01, node.kill)
                    return Fault.REPLY_LOST
                return None

            node.store.choose_fault = kill
            self.assertEqual(await resubmit(cluster), Accepted())
            self.assertEqual(await stored_placement(cluster), StoredPlacement(OTHER))
            await self.check_runs_once(cluster)

        self.run_scenario(scenario)

    def test_lost_reply_of_the_store_neither_hides_nor_repeats_the_job(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            node_of(cluster, OTHER).store.fail_once(Fault.REPLY_LOST, PLACEMENT)
            self.assertEqual(await resubmit(cluster), Accepted())
            other = await cluster.wait_for_term(shard=OTHER)
            self.assertEqual(
                await other.request_handler.show(JOB_ID, REQUESTER), Found(JobState.QUEUED)
            )
            await self.check_runs_once(cluster)

        self.run_scenario(scenario)

    def test_late_write_fails_after_the_next_home_owner_accepted_the_job(self) -> None:
        async def scenario(cluster: EdgeCluster, has_room_at_home: bool) -> None:
            store, home = node_of(cluster, OTHER).store, node_of(cluster, HOME)
            store.choose_fault = lambda keys: (
                Fault.LATE if any(PLACEMENT in key for key in keys) else None
            )
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            await asyncio.sleep(0.05)
            submission.cancel()
            home.kill()
            successor = await cluster.wait_for_term(home.name, shard=HOME)
            if has_room_at_home:
                await successor.request_handler.cancel(FILL_ID, REQUESTER)
                await asyncio.sleep(2.0)
            self.assertEqual(await resubmit(cluster, home.name), Accepted())
            self.assertEqual(await stored_placement(cluster) is None, has_room_at_home)
            results = await store.release_delayed()
            self.assertTrue(results)
            self.assertFalse(any(result.unwrap().succeeded for result in results))
            store.choose_fault = lambda keys: None
            await self.check_runs_once(cluster, HOME)

        for has_room_at_home in (False, True):
            with self.subTest(has_room_at_home=has_room_at_home):
                self.run_scenario(lambda c, room=has_room_at_home: scenario(c, room))  # type: ignore[misc]

    def test_handover_of_the_home_shard_during_a_placement(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            cluster.loses_placement_replies = True
            home = node_of(cluster, HOME)
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            await asyncio.sleep(0)
            await home.electors[HOME].hand_over()
            self.assertNotIsInstance(await submission, Found)
            self.assertEqual(await resubmit(cluster, home.name), Accepted())
            await self.check_runs_once(cluster, None)

        self.run_scenario(scenario)

    def test_handover_of_the_other_shard_during_a_placement(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            node = node_of(cluster, OTHER)
            node.store.fail_once(Fault.REPLY_LOST, PLACEMENT)
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            await asyncio.sleep(0.01)
            await node.electors[OTHER].hand_over()
            await submission
            self.assertEqual(await resubmit(cluster), Accepted())
            await self.check_runs_once(cluster)

        self.run_scenario(scenario)

    def test_outage_of_the_store_during_a_placement(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            node_of(cluster, OTHER).store.fail_once(Fault.REPLY_LOST, PLACEMENT)
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            await asyncio.sleep(0.01)
            stores = [node.store for node in cluster.nodes_by_name.values()]
            for store in stores:
                store.is_down = True
            self.assertIsInstance(await submission, Undecided)
            await asyncio.sleep(0.5)
            for store in stores:
                store.is_down = False
            self.assertEqual(await resubmit(cluster), Accepted())
            await self.check_runs_once(cluster)

        self.run_scenario(scenario)

    def test_former_owner_that_wakes_up_takes_no_job(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            node = node_of(cluster, OTHER)
            former = await cluster.wait_for_term(shard=OTHER)
            home = await cluster.wait_for_term(shard=HOME)
            node.store.is_silent = True
            await cluster.wait_for_term(node.name, shard=OTHER)
            node.store.is_silent = False
            request = PlacementRequest(
                JOB_ID, "queue", SHORT_JOB, "", HOME, home.shard_lease.token, min_tasks=1
            )
            former.shard_lease.record_renewal(asyncio.get_running_loop().time())
            outcome = await former.request_handler.acceptor.accept(request)
            self.assertIsInstance(outcome, PlacementUnknown)
            self.assertIsNone(await stored_placement(cluster))
            self.assertEqual((await cluster.store.list(job_prefix(OTHER))).unwrap().entries, ())

        self.run_scenario(scenario)

    def test_former_home_owner_that_wakes_up_settles_nothing(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            cluster.loses_placement_replies = True
            node_of(cluster, OTHER).store.choose_fault = lambda keys: (
                Fault.LATE if any(PLACEMENT in key for key in keys) else None
            )
            home = node_of(cluster, HOME)
            former = await cluster.wait_for_term(shard=HOME)
            submission = asyncio.create_task(cluster.submit(JOB_ID, SHORT_JOB))
            await asyncio.sleep(0)
            home.store.is_silent = True
            self.assertIsInstance(await submission, Undecided)
            await cluster.wait_for_term(home.name, shard=HOME)
            node_of(cluster, OTHER).store.choose_fault = lambda keys: None
            cluster.loses_placement_replies = False
            self.assertEqual(await resubmit(cluster, home.name), Accepted())
            placement = await stored_placement(cluster)
            home.store.is_silent = False
            await asyncio.sleep(SETTLE_S)
            self.assertTrue(former.shard_lease.is_lost)
            self.assertEqual(await stored_placement(cluster), placement)
            await self.check_runs_once(cluster, None)

        self.run_scenario(scenario)

    def test_placement_is_forgotten_with_the_ended_job(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await cluster.submit(JOB_ID, SHORT_JOB)
            await self.check_runs_once(cluster)
            home = await cluster.wait_for_term(shard=HOME)
            await asyncio.sleep(BOUNDS.status_s - 1.0)
            self.assertIsNotNone(home.request_handler.placer.find(JOB_ID))
            await asyncio.sleep(130.0)
            self.assertIsNone(await stored_placement(cluster))
            self.assertIsNone(home.request_handler.placer.find(JOB_ID))

        self.run_scenario(scenario)
