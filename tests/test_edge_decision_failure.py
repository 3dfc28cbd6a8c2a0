"""Tests that a decision that cannot be made does not end an ownership term, on virtual time."""

import asyncio
from typing import Any
from unittest import mock

from pollengate.interference.latency_model import LatencyModel
from pollengate.interference.rebalancing import Rebalancer
from pollengate.interference.speeds import SpeedController
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand
from pollengate.workflow.placement import Placer
from pollengate.workflow.policy import InterferencePolicy, SchedulingPolicy
from pollengate.workflow.progress import JobState
from pollengate.workflow.shard_room import ShardRoom
from pollengated.edge.advice_requester import AdviceRequester
from pollengated.edge.shared_interference import SharedInterference
from pollengated.edge.start_policy import StartPolicy
from pollengated.edge.task_delegator import TaskDelegator
from pollengated.edge.task_returner import TaskReturner
from pollengated.edge.worker_transfers import WorkerTransfers

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow, fail_for

SERVING_ID = "00000000000000aa"
FILLER_ID = "00000000000000bb"
STEADY_S = 5.0
# An accepted job that runs nowhere for longer than this beside workers with room counts as lost.
MAX_IDLE_S = 3.0
WATCHED_S = 12.0


class PauseInReportsTest(EdgeTestCase):
    """A serving task and fillers; the latencies of the serving task pause for some seconds."""

    async def open_cluster(self) -> EdgeCluster:
        """Returns a cluster in which all latencies have changed steadily for some seconds."""
        cluster = EdgeCluster()
        self.frozen_at: float | None = None
        for worker in cluster.workers_by_id.values():
            worker.duration_of = lambda task: float("inf") if SERVING_ID in task else 1.0
            worker.measurement_of = self.measure
        await cluster.open()
        serving = build_step(
            is_long_running=True, may_miss=1, image="web", target_ms=100, demand=Demand(2000, 100)
        )
        await cluster.submit(SERVING_ID, build_workflow(serving))
        filler = build_step(200, is_filler=True, image="batch", demand=Demand(1000, 100))
        await cluster.submit(FILLER_ID, build_workflow(filler))
        await asyncio.sleep(STEADY_S)
        return cluster

    def measure(self, task: str) -> float:
        """Returns the latency of the serving task in milliseconds, or the use of a filler."""
        if SERVING_ID not in task:
            return 900.0
        now = asyncio.get_running_loop().time()
        return 40.0 + (now if self.frozen_at is None else self.frozen_at) % 7

    async def watch(self, cluster: EdgeCluster) -> float:
        """Returns the longest time in which no filler ran."""
        longest_s, idle_s = 0.0, 0.0
        for _ in range(round(WATCHED_S / 0.1)):
            await asyncio.sleep(0.1)
            history = cluster.update_history()
            is_running = any(r.ended_at is None for r in history if FILLER_ID in r.task)
            idle_s = 0.0 if is_running else idle_s + 0.1
            longest_s = max(longest_s, idle_s)
        return longest_s

    async def check_after_pause(self, cluster: EdgeCluster, term: object) -> None:
        """Asserts that the owner stays and the fillers go on while one worker is silent."""
        cluster.workers_by_id["w2"].is_unreachable = True
        longest_s = await self.watch(cluster)
        with self.subTest("the term goes on"):
            self.assertIs(cluster.term(), term)
        with self.subTest("accepted jobs go on"):
            self.assertLessEqual(longest_s, MAX_IDLE_S)

    def test_owner_stays_after_latencies_that_did_not_change_for_some_seconds(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            term = await cluster.wait_for_term()
            self.frozen_at = asyncio.get_running_loop().time()
            await asyncio.sleep(6.0)
            self.frozen_at = None
            await self.check_after_pause(cluster, term)

        run_virtual(main())

    def test_owner_stays_after_a_worker_was_cut_off_for_less_than_its_lease(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            term = await cluster.wait_for_term()
            history = cluster.update_history()
            worker_id = next(r.worker_id for r in history if SERVING_ID in r.task)
            worker = cluster.workers_by_id[worker_id]
            worker.is_unreachable = True
            await asyncio.sleep(4.0)
            worker.is_unreachable = False
            await asyncio.sleep(0.5)
            await self.check_after_pause(cluster, term)

        run_virtual(main())

    def test_owner_stays_after_a_pause_of_the_store_that_kept_it_from_renewing(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            term = await cluster.wait_for_term()
            await cluster.pause_store(7.0)
            await cluster.wait_for_term()
            await asyncio.sleep(0.5)
            await self.check_after_pause(cluster, term)

        run_virtual(main())


class FailedDecisionTest(EdgeTestCase):
    """An internal error in one decision; the owner goes on with all others."""

    def failures(self, cluster: EdgeCluster) -> dict[str, float]:
        """Returns the number of failed decisions of all processes, by kind."""
        found: dict[str, float] = {}
        for node in cluster.nodes_by_name.values():
            for metric in node.metrics.failed_decisions.collect():
                for sample in metric.samples:
                    kind = sample.labels["decision"]
                    found[kind] = found.get(kind, 0.0) + sample.value
        return found

    def failed_terms(self, cluster: EdgeCluster) -> float:
        """Returns the number of terms of all processes that ended by an error."""
        return sum(
            sample.value
            for node in cluster.nodes_by_name.values()
            for metric in node.metrics.failed_terms.collect()
            for sample in metric.samples
        )

    def test_error_in_the_placement_of_one_job_does_not_keep_others_from_starting(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open()
            term = await cluster.wait_for_term()
            with mock.patch.object(Placer, "choose", fail_for(SERVING_ID, Placer.choose)):
                await cluster.submit(SERVING_ID, build_workflow())
                for number in range(10):
                    job_id = f"{number:016x}"
                    await cluster.submit(job_id, build_workflow())
                    await cluster.wait_for_state(job_id, JobState.COMPLETED, MAX_IDLE_S)
                self.assertGreater(self.failures(cluster)["start"], 1)
            await cluster.wait_for_state(SERVING_ID, JobState.COMPLETED, MAX_IDLE_S)
            self.assertIs(cluster.term(), term)
            self.assertEqual(self.failed_terms(cluster), 0)

        run_virtual(main())

    def test_errors_in_what_follows_a_report_or_time_do_not_end_the_term(self) -> None:
        decisions: dict[str, tuple[type[Any], str]] = {
            "learn_latencies": (LatencyModel, "observe"),
            "adjust_speeds": (SpeedController, "adjust"),
            "move_slow_fillers": (SpeedController, "runs_to_relocate"),
            "rebalance": (Rebalancer, "choose"),
            "transfer_workers": (WorkerTransfers, "update"),
            "update_start_policy": (StartPolicy, "update"),
            "delegate_tasks": (TaskDelegator, "update"),
            "return_tasks": (TaskReturner, "update"),
        }
        for kind, (owner, method) in decisions.items():
            with self.subTest(kind):

                async def main(kind: str = kind, owner: Any = owner, method: str = method) -> None:
                    cluster = EdgeCluster()
                    await cluster.open()
                    term = await cluster.wait_for_term()
                    with mock.patch.object(owner, method, side_effect=ArithmeticError):
                        await cluster.submit(FILLER_ID, build_workflow(build_step(20)))
                        await cluster.wait_for_state(FILLER_ID, JobState.COMPLETED)
                        self.assertGreater(self.failures(cluster)[kind], 0)
                    self.assertIs(cluster.term(), term)

                run_virtual(main())

    def test_error_in_the_room_of_a_shard_does_not_end_the_heartbeats_of_its_process(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open()
            term = await cluster.wait_for_term()
            now = asyncio.get_running_loop().time()
            with mock.patch.object(ShardRoom, "summaries_by_service", side_effect=ArithmeticError):
                self.assertEqual(term.request_handler.offered_room(now), {})
            self.assertEqual(self.failures(cluster)["offer_room"], 1)

        run_virtual(main())

    def test_errors_in_loops_that_only_help_decisions_do_not_end_the_term(self) -> None:
        loops: tuple[tuple[type[Any], str], ...] = (
            (SharedInterference, "update"),
            (AdviceRequester, "_waiting_steps"),
        )
        for owner, method in loops:
            with self.subTest(owner.__name__):

                async def main(owner: Any = owner, method: str = method) -> None:
                    cluster = EdgeCluster(shards=2)
                    cluster.policy = SchedulingPolicy(interference=InterferencePolicy(True))
                    cluster.advice = mock.AsyncMock()
                    with mock.patch.object(owner, method, side_effect=ArithmeticError):
                        await cluster.open()
                        term = await cluster.wait_for_term()
                        await asyncio.sleep(5.0)
                    self.assertIs(cluster.term(), term)
                    nodes = cluster.nodes_by_name.values()
                    failures = [m for n in nodes for m in n.metrics.loop_failures.collect()]
                    self.assertTrue(any(metric.samples for metric in failures))

                run_virtual(main())

    def test_error_in_a_change_of_the_job_table_ends_the_term(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open()
            term = await cluster.wait_for_term()
            with mock.patch.object(JobTable, "add_run", side_effect=ArithmeticError):
                await cluster.submit(FILLER_ID, build_workflow())
                await asyncio.sleep(0.1)
                self.assertFalse(term.is_serving)
                self.assertEqual(self.failed_terms(cluster), 1)
            await cluster.wait_for_state(FILLER_ID, JobState.COMPLETED)

        run_virtual(main())
