"""Tests of workers whose registrations come and go, on virtual time."""

import asyncio

from pollengate.store import Delete
from pollengate.workflow.job_service import Accepted
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

JOB_ID = "00000000000000aa"
# A task of a worker that is gone ends elsewhere this long after 6 s, in which its lease expires.
MAX_RECOVERY_S = 5.0


class RegistrationTest(EdgeTestCase):
    """Workers whose registration is missing for a time."""

    def test_idle_workers_that_register_again_get_tasks(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=1)
            await cluster.open()
            await asyncio.sleep(1.0)
            await cluster.store.commit((), (Delete("servers/w0"),))
            await asyncio.sleep(1.0)
            await cluster.register("w0")
            self.assertEqual(await cluster.submit(JOB_ID, build_workflow()), Accepted())
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)

        run_virtual(main())

    def test_draining_worker_that_is_cut_off_keeps_its_runs_until_its_lease_expires(self) -> None:
        """Such a worker loses its registration like one that has left, but runs on."""

        async def main() -> None:
            cluster = EdgeCluster(workers=2, duration_s=3.5)
            await cluster.open()
            await cluster.submit(JOB_ID, build_workflow())
            await asyncio.sleep(0.3)
            (record,) = cluster.history
            await cluster.register(record.worker_id, "draining")
            await asyncio.sleep(0.3)
            await cluster.store.commit((), (Delete(f"servers/{record.worker_id}"),))
            cluster.workers_by_id[record.worker_id].is_unreachable = True
            await asyncio.sleep(6.0)
            self.check_no_overlap(cluster)
            self.assertEqual("done", record.end_kind)
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED, MAX_RECOVERY_S)

        run_virtual(main())

    def test_runs_of_a_recorded_worker_without_registration_outlast_a_lost_reply(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=2, duration_s=float("inf"))
            await cluster.open()
            workflow = build_workflow(build_step(4, is_long_running=True))
            await cluster.submit(JOB_ID, workflow)
            await asyncio.sleep(2.0)
            await cluster.store.commit((), (Delete("servers/w0"),))
            node = cluster.serving_node()
            node.kill()
            await cluster.wait_for_term(other_than=node.name)
            await asyncio.sleep(9.0)
            worker = cluster.workers_by_id["w0"]
            worker.is_unreachable = True
            await asyncio.sleep(1.5)
            worker.is_unreachable = False
            await asyncio.sleep(2.0)
            history = cluster.update_history()
            self.assertEqual(len(history), 4)
            self.check_single_execution(cluster)

        run_virtual(main())
