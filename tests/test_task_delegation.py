"""Tests of long-running tasks that run again in another shard, under failures, on virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import logbook
from pollengate.workflow.job_service import (
    Accepted,
    Cancelled,
    Found,
    NotAccepted,
    OwnerResponse,
    Undecided,
    WaitingCount,
)
from pollengate.workflow.keys import job_prefix, progress_prefix, shard_of_job
from pollengate.workflow.model import Demand, Workflow
from pollengate.workflow.progress import JobState
from pollengated.edge.other_shards import (
    DelegatedTask,
    Placed,
    PlacementOutcome,
    PlacementRequest,
    Refused,
)
from pollengated.edge.task_delegator import TaskDelegator

from tests.edge_cluster import BOUNDS, EdgeCluster, EdgeNode, EdgeTestCase
from tests.faulty_store import Fault
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_step, build_workflow

HOME, OTHER = 0, 1
IDS = [f"{n:016x}" for n in range(400) if shard_of_job(f"{n:016x}", 2) == HOME]
OTHER_IDS = [f"{n:016x}" for n in range(400) if shard_of_job(f"{n:016x}", 2) == OTHER]
FILL_ID, JOB_ID = IDS[:2]
OTHER_FILL_ID = OTHER_IDS[0]
# A long-running task with room elsewhere runs again within 6 s of its last run.
MAX_ABSENCE_S = 6.0
DRAIN_S = 1.0
# A shard without an owner gets one, which waits for the leases of silent workers.
RECOVERY_S = 15.0
# A cancelled task has to be gone after this time.
CANCEL_S = 1.0
SETTLE_S = 3.0
PLACEMENT = "placement/"


async def open_pieces(other_millis: int = 2500, nodes: int = 4) -> EdgeCluster:
    """Returns a cluster of two shards of three workers, none of which can be emptied.

    The job's task of one core is on a worker of the home shard by itself.
    """
    cluster = EdgeCluster(workers=6, duration_s=float("inf"), shards=2)
    await cluster.open(nodes=nodes)
    jobs = (
        (OTHER_FILL_ID, 3, other_millis, 1),
        (FILL_ID, 2, 3500, 1),
        (JOB_ID, 1, 1000, 0),
    )
    for job_id, count, millis, max_per_worker in jobs:
        step = build_step(
            count,
            demand=Demand(millis, 50),
            is_long_running=True,
            may_miss=1,
            max_per_worker=max_per_worker,
        )
        await cluster.submit(job_id, build_workflow(step))
        await asyncio.sleep(SETTLE_S)
    return cluster


def node_of(cluster: EdgeCluster, shard: int) -> EdgeNode:
    """Returns the process that owns a shard."""
    node = cluster.owner(shard=shard)
    assert node is not None
    return node


def kill_at_write(cluster: EdgeCluster, node: EdgeNode, fault: Fault) -> None:
    """Makes the write of a placement fail and kills a process at that moment."""
    other = node_of(cluster, OTHER)

    def kill(keys: list[str]) -> Fault | None:
        if not any(PLACEMENT in key for key in keys):
            return None
        other.store.choose_fault = lambda keys: None
        asyncio.get_running_loop().call_later(0.01, node.kill)
        return fault

    other.store.choose_fault = kill


def fill_workflow(count: int, millis: int) -> Workflow:
    """Returns a long-running job with one task on each of some workers."""
    demand = Demand(millis, 50)
    return build_workflow(
        build_step(count, demand=demand, is_long_running=True, may_miss=1, max_per_worker=1)
    )


def running_workers(cluster: EdgeCluster) -> list[str]:
    """Returns the workers on which the job's tasks run."""
    history = cluster.update_history()
    return [r.worker_id for r in history if r.task.startswith(JOB_ID) and r.ended_at is None]


class TaskDelegationTest(EdgeTestCase):
    """A task without room in its shard while another shard has room in pieces."""

    def run_scenario(
        self, scenario: Callable[[EdgeCluster], Awaitable[None]], other_millis: int = 2500
    ) -> None:
        """Runs a scenario in a cluster in which the task has just lost its worker."""

        async def main() -> None:
            cluster = await open_pieces(other_millis)
            await cluster.drain_worker(*running_workers(cluster))
            await scenario(cluster)
            await asyncio.sleep(SETTLE_S)
            self.check_single_execution(cluster)

        with logbook.TestHandler() as self.log:
            run_virtual(main())

    def logged(self, message: str) -> list[dict[str, object]]:
        """Returns the fields of all lines with a message."""
        return [record.extra for record in self.log.records if record.message == message]

    async def wait_running(self, cluster: EdgeCluster, timeout_s: float = MAX_ABSENCE_S) -> str:
        """Waits until the job's task runs again; returns its worker."""
        async with asyncio.timeout(timeout_s):
            while True:
                for worker_id in running_workers(cluster):
                    return worker_id
                await asyncio.sleep(0.02)

    async def check_runs_elsewhere(
        self, cluster: EdgeCluster, timeout_s: float = MAX_ABSENCE_S
    ) -> None:
        """Asserts that the task runs on a worker of the other shard, after a higher run number."""
        worker_id = await self.wait_running(cluster, timeout_s)
        self.assertEqual(int(worker_id[1:]) % 2, OTHER)
        await asyncio.sleep(SETTLE_S)
        runs = [run for run in cluster.update_history() if run.task.startswith(JOB_ID)]
        numbers = [run.run for run in runs]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertEqual(running_workers(cluster), [worker_id])

    async def cancel(self, cluster: EdgeCluster) -> list[OwnerResponse]:
        """Cancels the job like a client, until the response is definite; returns all of them."""
        responses: list[OwnerResponse] = []
        while not responses or isinstance(responses[-1], Undecided | NotAccepted):
            term = await cluster.wait_for_term(shard=HOME)
            responses.append(await term.request_handler.cancel(JOB_ID, REQUESTER))
            await asyncio.sleep(0.05)
        return responses

    async def check_ends(self, cluster: EdgeCluster) -> None:
        """Cancels the job and asserts that its task ends at once and never starts again."""
        self.assertEqual((await self.cancel(cluster))[-1], Cancelled())
        started = len(cluster.history)
        await asyncio.sleep(CANCEL_S)
        self.assertEqual(running_workers(cluster), [])
        await asyncio.sleep(MAX_ABSENCE_S)
        later = cluster.update_history()[started:]
        self.assertEqual([run for run in later if run.task.startswith(JOB_ID)], [])

    def test_task_runs_again_in_time_and_its_job_is_answered_by_its_own_shard(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster, MAX_ABSENCE_S - DRAIN_S)
            home = await cluster.wait_for_term(shard=HOME)
            handler = home.request_handler
            self.assertEqual(await handler.show(JOB_ID, REQUESTER), Found(JobState.RUNNING))
            self.assertEqual(await cluster.submit(JOB_ID, build_workflow()), Accepted())
            for shard in (HOME, OTHER):
                term = await cluster.wait_for_term(shard=shard)
                count = await term.request_handler.count_waiting("queue")
                self.assertEqual(count, WaitingCount(0))
            await self.check_ends(cluster)
            self.assertEqual(await handler.show(JOB_ID, REQUESTER), Found(JobState.CANCELLED))

        self.run_scenario(scenario)

    def test_home_owner_dies_after_the_write(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            home = node_of(cluster, HOME)
            kill_at_write(cluster, home, Fault.REPLY_LOST)
            await self.check_runs_elsewhere(cluster, RECOVERY_S)
            await cluster.wait_for_term(home.name, shard=HOME)
            await asyncio.sleep(SETTLE_S)
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_write_of_a_home_owner_that_died_has_no_effect_later(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            home, store = node_of(cluster, HOME), node_of(cluster, OTHER).store
            kill_at_write(cluster, home, Fault.LATE)
            await cluster.wait_for_term(home.name, shard=HOME)
            results = await store.release_delayed()
            self.assertTrue(results)
            self.assertFalse(any(result.unwrap().succeeded for result in results))
            await self.check_runs_elsewhere(cluster, RECOVERY_S)
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_other_owner_dies_before_or_after_its_write(self) -> None:
        async def scenario(cluster: EdgeCluster, fault: Fault) -> None:
            other = node_of(cluster, OTHER)
            kill_at_write(cluster, other, fault)
            await self.check_runs_elsewhere(cluster, RECOVERY_S)
            await self.check_ends(cluster)

        for fault in (Fault.LATE, Fault.REPLY_LOST):
            with self.subTest(fault=fault):
                self.run_scenario(lambda c, f=fault: scenario(c, f))  # type: ignore[misc]

    def test_lost_replies_are_settled_in_the_store(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            cluster.loses_placement_replies = True
            await self.check_runs_elsewhere(cluster)
            self.assertTrue(
                self.logged("outcome of a delegation is unknown; settling it in the store")
            )
            cluster.loses_placement_replies = False
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_write_that_is_applied_after_the_task_stayed_has_no_effect(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            store = node_of(cluster, OTHER).store
            store.choose_fault = lambda keys: (
                Fault.LATE if any(PLACEMENT in key for key in keys) else None
            )
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(running_workers(cluster), [])
            store.choose_fault = lambda keys: None
            results = await store.release_delayed()
            self.assertTrue(results)
            self.assertFalse(any(result.unwrap().succeeded for result in results))
            await self.check_runs_elsewhere(cluster)
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_outage_of_the_store_while_another_shard_is_asked(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            stores = [node.store for node in cluster.nodes_by_name.values()]

            def fail(keys: list[str]) -> Fault | None:
                if not any(PLACEMENT in key for key in keys):
                    return None
                for store in stores:
                    store.is_down = True
                return Fault.REPLY_LOST

            node_of(cluster, OTHER).store.choose_fault = fail
            await asyncio.sleep(DRAIN_S + 2.0)
            self.assertTrue(stores[0].is_down)
            for store in stores:
                store.is_down = False
                store.choose_fault = lambda keys: None
            await self.check_runs_elsewhere(cluster, RECOVERY_S)
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_next_owner_of_the_other_shard_keeps_the_task_running(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            node = node_of(cluster, OTHER)
            node.kill()
            await cluster.wait_for_term(node.name, shard=OTHER)
            await asyncio.sleep(RECOVERY_S)
            (worker_id,) = running_workers(cluster)
            await cluster.drain_worker(worker_id)
            await self.check_runs_elsewhere(cluster)
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_next_home_owner_starts_no_second_run(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            home = node_of(cluster, HOME)
            home.kill()
            term = await cluster.wait_for_term(home.name, shard=HOME)
            await term.request_handler.cancel(FILL_ID, REQUESTER)
            await asyncio.sleep(RECOVERY_S)
            await self.check_runs_elsewhere(cluster)
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_cancel_is_acknowledged_only_after_the_other_shard_has_recorded_it(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            node_of(cluster, OTHER).store.is_silent = True
            home = await cluster.wait_for_term(shard=HOME)
            response = await home.request_handler.cancel(JOB_ID, REQUESTER)
            self.assertEqual(response, Undecided("delegated_tasks"))
            for node in cluster.nodes_by_name.values():
                node.store.is_silent = False
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_cancel_while_another_shard_is_asked(self) -> None:
        async def scenario(cluster: EdgeCluster, loses_replies: bool) -> None:
            cluster.loses_placement_replies = loses_replies
            asked = asyncio.Event()

            def note(keys: list[str]) -> Fault | None:
                if any(PLACEMENT in key for key in keys):
                    asked.set()
                return None

            node_of(cluster, OTHER).store.choose_fault = note
            await asked.wait()
            asyncio.get_running_loop().call_later(
                1.0, setattr, cluster, "loses_placement_replies", False
            )
            await self.check_ends(cluster)

        for loses_replies in (False, True):
            with self.subTest(loses_replies=loses_replies):
                self.run_scenario(lambda c, x=loses_replies: scenario(c, x))  # type: ignore[misc]

    def test_home_owner_dies_after_it_recorded_a_cancel(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            home = node_of(cluster, HOME)
            term = await cluster.wait_for_term(shard=HOME)
            with mock.patch.object(TaskDelegator, "_end_tasks_of_ended_jobs"):
                await term.request_handler.cancel(JOB_ID, REQUESTER)
                self.assertEqual(len(running_workers(cluster)), 1)
                home.kill()
            await cluster.wait_for_term(home.name, shard=HOME)
            await asyncio.sleep(CANCEL_S)
            self.assertEqual(running_workers(cluster), [])
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    async def fill_other_shard(self, cluster: EdgeCluster) -> None:
        """Moves the pieces of room from the other shard to the home shard, and drains a worker."""
        await self.check_runs_elsewhere(cluster)
        await cluster.submit(OTHER_IDS[1], fill_workflow(2, 1500))
        home = await cluster.wait_for_term(shard=HOME)
        await home.request_handler.cancel(FILL_ID, REQUESTER)
        await cluster.submit(IDS[2], fill_workflow(2, 2500))
        await asyncio.sleep(SETTLE_S)
        await cluster.drain_worker(*running_workers(cluster))

    async def check_runs_at_home(
        self, cluster: EdgeCluster, timeout_s: float = MAX_ABSENCE_S - DRAIN_S
    ) -> None:
        """Asserts that the task was returned, and that its records in the other shard are gone."""
        worker_id = await self.wait_running(cluster, timeout_s)
        self.assertEqual(int(worker_id[1:]) % 2, HOME)
        await asyncio.sleep(SETTLE_S)
        runs = [run for run in cluster.update_history() if run.task.startswith(JOB_ID)]
        numbers = [run.run for run in runs]
        self.assertEqual(numbers, sorted(set(numbers)))
        for prefix in (job_prefix(OTHER), progress_prefix(OTHER)):
            entries = (await cluster.store.list(prefix)).unwrap().entries
            self.assertEqual([e.key for e in entries if JOB_ID in e.key], [])
        await self.check_ends(cluster)

    def test_delegated_task_returns_if_the_other_shard_has_no_room_for_it_any_more(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.fill_other_shard(cluster)
            await self.check_runs_at_home(cluster)

        self.run_scenario(scenario)

    def test_return_is_noticed_without_the_message_of_the_other_owner(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            with mock.patch.object(TaskDelegator, "read_again"):
                await self.fill_other_shard(cluster)
                await self.check_runs_at_home(cluster, RECOVERY_S)

        self.run_scenario(scenario)

    def test_return_under_faults(self) -> None:
        async def lose_reply(cluster: EdgeCluster) -> None:
            node_of(cluster, OTHER).store.fail_once(Fault.REPLY_LOST, PLACEMENT)

        async def kill_home(cluster: EdgeCluster) -> None:
            kill_at_write(cluster, node_of(cluster, HOME), Fault.REPLY_LOST)

        async def kill_other(cluster: EdgeCluster) -> None:
            kill_at_write(cluster, node_of(cluster, OTHER), Fault.REPLY_LOST)

        async def kill_other_before(cluster: EdgeCluster) -> None:
            kill_at_write(cluster, node_of(cluster, OTHER), Fault.LATE)

        async def scenario(
            cluster: EdgeCluster, inject: Callable[[EdgeCluster], Awaitable[None]]
        ) -> None:
            await self.fill_other_shard(cluster)
            await inject(cluster)
            stores = [node.store for node in cluster.nodes_by_name.values()]
            await self.wait_running(cluster, 2 * RECOVERY_S)
            for store in stores:
                results = await store.release_delayed()
                self.assertFalse(any(result.unwrap().succeeded for result in results))
            await self.check_runs_at_home(cluster)

        for inject in (lose_reply, kill_home, kill_other, kill_other_before):
            with self.subTest(fault=inject.__name__):
                self.run_scenario(lambda c, i=inject: scenario(c, i))  # type: ignore[misc]

    def test_cancel_during_a_return(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.fill_other_shard(cluster)
            returning = asyncio.Event()

            def note(keys: list[str]) -> Fault | None:
                if any(PLACEMENT in key for key in keys):
                    returning.set()
                    return Fault.REPLY_LOST
                return None

            node_of(cluster, OTHER).store.choose_fault = note
            await returning.wait()
            asyncio.get_running_loop().call_later(
                1.5, setattr, node_of(cluster, OTHER).store, "choose_fault", lambda keys: None
            )
            await self.check_ends(cluster)

        self.run_scenario(scenario)

    def test_task_that_has_never_run_gets_room_in_pieces_too(self) -> None:
        # Guards against a lasting task that waits for its first run beside room elsewhere.
        async def main() -> None:
            cluster = await open_pieces()
            await cluster.submit(OTHER_IDS[1], fill_workflow(3, 500))
            await asyncio.sleep(SETTLE_S)
            job_id = IDS[2]
            await cluster.submit(job_id, fill_workflow(1, 3200))
            await asyncio.sleep(SETTLE_S)
            job = cluster.find_job(job_id)
            assert job is not None
            self.assertIs(JobState.QUEUED, job.visible_state)
            other = await cluster.wait_for_term(shard=OTHER)
            response = await other.request_handler.cancel(OTHER_FILL_ID, REQUESTER)
            self.assertEqual(Cancelled(), response)
            await cluster.wait_for_state(job_id, "running", MAX_ABSENCE_S)
            await asyncio.sleep(SETTLE_S)
            runs = [r for r in cluster.update_history() if r.task.startswith(job_id)]
            self.assertEqual([None], [run.ended_at for run in runs])
            self.check_single_execution(cluster)

        run_virtual(main())

    async def offer_sibling(
        self, cluster: EdgeCluster, index: int, max_per_worker: int
    ) -> PlacementOutcome:
        """Asks the other shard to run one more task of the job's step."""
        home = await cluster.wait_for_term(shard=HOME)
        other = await cluster.wait_for_term(shard=OTHER)
        step = build_step(
            demand=Demand(500, 50), is_long_running=True, max_per_worker=max_per_worker
        )
        request = PlacementRequest(
            f"{JOB_ID}.0.0.{index}",
            "queue",
            build_workflow(step),
            "",
            HOME,
            home.shard_lease.token,
            1,
            DelegatedTask(1, "", 0),
        )
        return await other.request_handler.acceptor.accept(request)

    def test_tasks_of_a_step_with_a_limit_per_worker_run_up_to_the_limit(self) -> None:
        # Guards against a second task that no shard takes beside workers with room (review/15).
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            for index in (1, 2):
                self.assertEqual(await self.offer_sibling(cluster, index, 1), Placed())
            # Two of them may still wait for a start.
            self.assertEqual(await self.offer_sibling(cluster, 3, 1), Refused("siblings_here"))
            await asyncio.sleep(SETTLE_S)
            self.assertEqual(3, len(set(running_workers(cluster))))
            self.assertEqual(await self.offer_sibling(cluster, 3, 1), Refused("siblings_here"))
            self.assertEqual(await self.offer_sibling(cluster, 3, 0), Placed())

        self.run_scenario(scenario)

    def test_limit_per_worker_holds_among_delegated_tasks_after_a_takeover(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            self.assertEqual(await self.offer_sibling(cluster, 1, 1), Placed())
            await asyncio.sleep(SETTLE_S)
            owner = node_of(cluster, OTHER)
            owner.kill()
            await cluster.wait_for_term(owner.name, shard=OTHER)
            await asyncio.sleep(RECOVERY_S)
            self.assertEqual(await self.offer_sibling(cluster, 2, 1), Placed())
            await asyncio.sleep(SETTLE_S)
            self.assertEqual(3, len(set(running_workers(cluster))))
            self.assertEqual(await self.offer_sibling(cluster, 3, 1), Refused("siblings_here"))

        self.run_scenario(scenario)

    def test_records_of_a_task_are_removed_with_those_of_its_job(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            await self.check_ends(cluster)
            await asyncio.sleep(BOUNDS.status_s + 70.0)
            listing = (await cluster.store.list("pollengate/")).unwrap()
            keys = [entry.key for entry in listing.entries if JOB_ID in entry.key]
            self.assertEqual(keys, [])

        self.run_scenario(scenario)

    def test_job_fails_if_the_other_shard_gives_its_task_up(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await self.check_runs_elsewhere(cluster)
            other = await cluster.wait_for_term(shard=OTHER)
            other.job_table.fail(other.job_table.jobs_by_id[f"{JOB_ID}.0.0.0"], 0)
            await cluster.wait_for_state(JOB_ID, JobState.FAILED, timeout_s=15.0)

        self.run_scenario(scenario)

    def test_log_tells_that_other_shards_have_room_for_a_task_that_waits(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await asyncio.sleep(MAX_ABSENCE_S)

        for millis, shards in ((2500, 1), (3500, 0)):
            self.run_scenario(scenario, millis)
            waits = self.logged("long-running task waits to run again")
            self.assertEqual(waits[0]["shards_with_room"], shards)


if __name__ == "__main__":
    unittest.main()
