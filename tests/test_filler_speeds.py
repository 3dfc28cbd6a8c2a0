"""Tests that a filler does not stand still at a speed that its owner does not know of."""

import asyncio

from pollengate.interference.speeds import SpeedChange
from pollengate.workflow.clients import OrderFailure, OrderRejection, ThrottleOrder
from pollengate.workflow.model import Demand, Workflow
from pollengate_standins.lease_worker import StartRecord
from result import Err, Result

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

JOB = f"{0xF1:016x}"
# The successor of a lost owner takes over within 8 s and may wait for 7.9 s.
TAKEOVER_S = 16.0
WORK_S = 6.0


def one_filler() -> Workflow:
    """Returns a job of one filler, beside which nothing serves."""
    return build_workflow(build_step(is_filler=True, demand=Demand(1000, 100), image="f"))


class FillerSpeedTest(EdgeTestCase):
    """One filler on one worker, which is paced down to a standstill."""

    async def start_filler(self) -> tuple[EdgeCluster, StartRecord]:
        """Returns a cluster and its run, after the first second of its work."""
        cluster = EdgeCluster(workers=1, duration_s=WORK_S)
        await cluster.open()
        await cluster.submit(JOB, one_filler())
        await asyncio.sleep(1.0)
        (run,) = cluster.history
        return cluster, run

    def test_filler_that_an_earlier_owner_paced_down_runs_on(self) -> None:
        # Guards against a job that stands still for good after a takeover.
        async def main() -> None:
            cluster, run = await self.start_filler()
            cluster.workers_by_id["w0"].throttle(ThrottleOrder(run.task, run.run, 0, 99))
            cluster.serving_node().kill()
            await cluster.wait_for_state(JOB, "completed", TAKEOVER_S + WORK_S)

        run_virtual(main())

    def test_speed_is_sent_again_after_an_order_without_a_reply(self) -> None:
        # Guards against an order that took effect although its reply was lost.
        async def main() -> None:
            cluster, run = await self.start_filler()
            client = cluster.serving_node().workers
            send = client.throttle

            async def lose_reply(
                address: str, worker_id: str, order: ThrottleOrder
            ) -> Result[int, OrderFailure]:
                await send(address, worker_id, order)
                client.throttle = send  # type: ignore[method-assign]
                return Err(OrderFailure(OrderRejection.NO_ANSWER, "timeout"))

            client.throttle = lose_reply  # type: ignore[method-assign]
            term = await cluster.wait_for_term()
            (progress,) = term.fleet.workers_by_id["w0"].fillers
            controller = term._controllers_by_id["w0"]  # noqa: SLF001
            await controller.throttle(SpeedChange(progress, 0))
            self.assertEqual(run.speed, 0.0)
            await cluster.wait_for_state(JOB, "completed", 2 * WORK_S)

        run_virtual(main())

    def test_speed_is_sent_again_to_a_filler_that_makes_no_progress(self) -> None:
        # Guards against an order to stand still that a worker carries out late.
        async def main() -> None:
            cluster, run = await self.start_filler()
            cluster.workers_by_id["w0"].throttle(ThrottleOrder(run.task, run.run, 0, 1))
            await cluster.wait_for_state(JOB, "completed", 2 * WORK_S)

        run_virtual(main())
