"""Tests of takeovers in which recorded workers do not reply, on virtual time."""

import asyncio
from unittest import mock

import logbook
from pollengate.store import Delete
from pollengate.workflow.keys import owner_key
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster, EdgeNode, EdgeTestCase
from tests.faulty_store import Fault
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

JOB_ID = "00000000000000aa"
SETTLE_S = 2.0
# Longer than the owner's lease and all leases that it has given.
ALL_EXPIRED_S = 12.0
SHORT_S = 1.0
# Time after which an owner has noticed and recorded that a worker is silent.
NOTICED_S = 3.0
# A job without a run for longer than this, beside free room, counts as lost.
MAX_PAUSE_S = 3.0
HANDOVER_REPLIES_LOST_S = 3.0


class TakeoverTestCase(EdgeTestCase):
    """Base class with the faults of the scenarios."""

    async def lose_worker(self, cluster: EdgeCluster, worker_id: str) -> None:
        """Crashes a worker that never returns."""
        worker = cluster.workers_by_id[worker_id]
        worker.crash()
        worker.is_unreachable = True
        await cluster.store.commit((), (Delete(f"servers/{worker_id}"),))

    def records(self, handler: logbook.TestHandler, message: str) -> list[dict[str, object]]:
        """Returns the fields of the log records with a message."""
        return [dict(record.extra) for record in handler.records if record.message == message]


class TakeoverLogTest(TakeoverTestCase):
    """What operators see of a takeover."""

    def test_log_names_the_silent_workers_of_a_takeover_and_its_end(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=4, duration_s=float("inf"))
            await cluster.open(nodes=3)
            await cluster.submit(JOB_ID, build_workflow(build_step(4, is_long_running=True)))
            await asyncio.sleep(SETTLE_S)
            handler = logbook.TestHandler()
            with handler.applicationbound():
                cluster.serving_node().kill()
                await self.lose_worker(cluster, "w1")
                await asyncio.sleep(ALL_EXPIRED_S)
            (awaited,) = self.records(
                handler, "workers of an earlier owner have not replied; restored tasks wait"
            )
            self.assertEqual(
                (awaited["workers"], awaited["silent"], awaited["tasks"]), ("w1", 1, 1)
            )
            (settled,) = self.records(handler, "takeover is settled")
            self.assertEqual((settled["by"], settled["silent"]), ("expiry", 1))

        run_virtual(main())

    def test_takeover_without_silent_workers_is_settled_by_their_reports(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=4)
            await cluster.open()
            handler = logbook.TestHandler()
            with handler.applicationbound():
                cluster.serving_node().kill()
                await asyncio.sleep(ALL_EXPIRED_S)
            (settled,) = self.records(handler, "takeover is settled")
            self.assertEqual(settled["by"], "reports")

        run_virtual(main())


class SilentWorkerTest(TakeoverTestCase):
    """Tasks that can't be on a silent worker, after a takeover."""

    async def open_loaded(self) -> EdgeCluster:
        """Returns a cluster whose four workers have ten seconds of short tasks."""
        cluster = EdgeCluster(workers=4, duration_s=SHORT_S)
        await cluster.open(nodes=3)
        await cluster.submit(JOB_ID, build_workflow(build_step(160)))
        await asyncio.sleep(SETTLE_S)
        return cluster

    async def check_starts_go_on(self, cluster: EdgeCluster, other_than: str = "") -> None:
        """Asserts that tasks start soon after the next takeover, and none of them twice."""
        term = await cluster.wait_for_term(other_than)
        taken_at = asyncio.get_running_loop().time()
        await asyncio.sleep(MAX_PAUSE_S)
        started = [run for run in cluster.history if run.began_at > taken_at]
        self.assertGreater(len(started), 9)
        self.assertTrue(term.is_serving)
        cluster.workers_by_id["w1"].is_unreachable = False
        await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
        self.check_no_overlap(cluster)

    def test_worker_that_was_silent_before_its_owner_died_holds_its_own_tasks_only(self) -> None:
        async def main() -> None:
            cluster = await self.open_loaded()
            cluster.workers_by_id["w1"].is_unreachable = True
            await asyncio.sleep(NOTICED_S)
            node = cluster.serving_node()
            node.kill()
            await self.check_starts_go_on(cluster, node.name)

        run_virtual(main())

    def test_worker_that_was_silent_before_a_term_failed_holds_its_own_tasks_only(self) -> None:
        async def main() -> None:
            cluster = await self.open_loaded()
            cluster.workers_by_id["w1"].is_unreachable = True
            await asyncio.sleep(NOTICED_S)
            with mock.patch.object(Planner, "plan", side_effect=ArithmeticError):
                await asyncio.sleep(0.1)
            await self.check_starts_go_on(cluster)

        run_virtual(main())

    def test_worker_that_a_successor_does_not_reach_after_a_handover_holds_its_tasks_only(
        self,
    ) -> None:
        async def main() -> None:
            cluster = await self.open_loaded()
            node = cluster.serving_node()
            for other in cluster.nodes_by_name.values():
                if other is not node:
                    other.workers.unreachable_worker_ids = {"w1"}
            await node.membership.announce_leaving()
            await node.elector.hand_over()
            await self.check_starts_go_on(cluster)

        run_virtual(main())


class ReleasedShardTest(TakeoverTestCase):
    """Owners that release their shard, and whose store or network fails at that moment."""

    def test_handover_whose_replies_are_lost_does_not_prolong_leases_for_a_second_run(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=2, duration_s=float("inf"))
            await cluster.open()
            await cluster.submit(JOB_ID, build_workflow(build_step(2, is_long_running=True)))
            await asyncio.sleep(SETTLE_S)
            node = cluster.serving_node()
            other = next(n for n in cluster.nodes_by_name.values() if n is not node)
            other.workers.unreachable_worker_ids = {"w0"}
            node.workers.unreachable_worker_ids = {"w1"}
            await node.membership.announce_leaving()
            node.store.choose_fault = lambda keys: (
                Fault.REPLY_LOST if owner_key(0) in keys else None
            )
            heal = (setattr, node.store, "choose_fault", lambda keys: None)
            asyncio.get_running_loop().call_later(HANDOVER_REPLIES_LOST_S, *heal)
            await node.elector.hand_over()
            await asyncio.sleep(ALL_EXPIRED_S)
            self.check_no_overlap(cluster)
            self.assertEqual(len(cluster.history), 3)  # the task on w0 runs again on w1

        run_virtual(main())


class UnconfirmedOwnerTest(TakeoverTestCase):
    """Owners that do not know whether there is a later one."""

    def test_owner_without_the_store_starts_no_task_whose_end_a_later_owner_noted(self) -> None:
        for cut_after_s in (2.0, 2.4, 2.8):
            with self.subTest(cut_after_s=cut_after_s):
                run_virtual(self.check_second_cut(cut_after_s))

    async def check_second_cut(self, cut_after_s: float) -> None:
        """Cuts an owner off with the worker of its task, and then its successor with the others."""
        cluster = EdgeCluster(workers=3, duration_s=2.0)
        await cluster.open(nodes=3)
        await cluster.submit(JOB_ID, build_workflow(build_step(1)))
        await asyncio.sleep(SHORT_S)
        (run,) = cluster.update_history()
        first = cluster.serving_node()
        self.cut(cluster, first, {run.worker_id})
        await cluster.wait_for_term(other_than=first.name)
        second = next(
            node
            for node in cluster.nodes_by_name.values()
            if node is not first and node.elector.term
        )
        await asyncio.sleep(cut_after_s)
        self.cut(cluster, second, set(cluster.workers_by_id) - {run.worker_id})
        await asyncio.sleep(ALL_EXPIRED_S)
        for node in cluster.nodes_by_name.values():
            node.store.is_silent = False
            node.workers.unreachable_worker_ids = set()
        await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
        self.check_no_overlap(cluster)
        noted = [end for worker in cluster.workers_by_id.values() for end in worker.noted_ends]
        last_noted_at = max(end.began_at for end in noted)
        self.assertEqual([r for r in cluster.update_history() if r.began_at > last_noted_at], [])

    def cut(self, cluster: EdgeCluster, node: EdgeNode, inside: set[str]) -> None:
        """Cuts a process and some workers off from the store and all others."""
        node.store.is_silent = True
        for other in cluster.nodes_by_name.values():
            outside = set(cluster.workers_by_id) - inside
            if other is node:
                other.workers.unreachable_worker_ids = outside
            elif not other.store.is_silent:
                other.workers.unreachable_worker_ids = set(inside)
