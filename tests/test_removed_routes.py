"""Tests that an accepted job goes on after its route was removed from the configuration."""

import asyncio
from unittest import mock

from pollengate.workflow.job_service import Accepted, NoSuchQueue, NotAccepted
from pollengate.workflow.records import decode_job, encode_job, restore
from pollengated.edge.job_placer import PendingPlacement

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_deployment,
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
    start_all,
)

JOB_ID = "00000000000000c3"
TWO_STEPS = build_workflow(build_step(2), build_step(after=(0,)))


class RemovedRouteTest(EdgeTestCase):
    """A job of two steps whose route is removed while the first one runs."""

    def test_job_ends_after_its_route_was_removed(self) -> None:
        # Guards against accepted jobs that stand still for ever.
        run_virtual(self._check(with_takeover=False))

    def test_job_ends_after_its_route_was_removed_and_its_owner_is_gone(self) -> None:
        run_virtual(self._check(with_takeover=True))

    async def _check(self, with_takeover: bool) -> None:
        cluster = EdgeCluster(workers=2, duration_s=2.0)
        await cluster.open(nodes=2)
        self.assertIsInstance(await cluster.submit(JOB_ID, TWO_STEPS), Accepted)
        await cluster.wait_for_state(JOB_ID, "running")
        await cluster.configure(2, routes=[])
        await asyncio.sleep(1.0)
        if with_takeover:
            cluster.serving_node().kill()
        await cluster.wait_for_state(JOB_ID, "completed", timeout_s=30.0)
        self.check_single_execution(cluster)

    def test_job_of_a_queue_that_its_owner_does_not_know_is_not_accepted(self) -> None:
        """Guards against an accepted job that never runs, as its owner has no such queue."""
        run_virtual(self._check_unknown_queue())

    async def _check_unknown_queue(self) -> None:
        cluster = EdgeCluster(workers=2, duration_s=2.0)
        await cluster.open(nodes=1)
        term = await cluster.wait_for_term()
        submit = term.request_handler.submit
        workflow = build_workflow()
        known_version = term.job_table.deployment.version
        # By a route that a newer configuration of the owner has removed.
        await cluster.configure(known_version + 2, routes=[])
        await asyncio.sleep(1.0)
        self.assertEqual(NoSuchQueue(), await submit("queue", JOB_ID, workflow, "", known_version))
        # By a route that the owner does not know yet, or of a caller that names no version.
        for version in (known_version + 2, known_version + 3, 0):
            refusal = await submit("queue", JOB_ID, workflow, "", version)
            self.assertIsInstance(refusal, NotAccepted)
        await cluster.configure(known_version + 3)
        await asyncio.sleep(1.0)
        self.assertEqual(Accepted(), await submit("queue", JOB_ID, workflow, "", known_version + 3))
        await cluster.wait_for_state(JOB_ID, "completed", timeout_s=30.0)

    def test_job_is_not_accepted_if_its_queue_is_removed_while_other_shards_are_asked(self) -> None:
        run_virtual(self._check_removed_meanwhile())

    async def _check_removed_meanwhile(self) -> None:
        cluster = EdgeCluster(workers=2, duration_s=2.0)
        await cluster.open(nodes=1)
        term = await cluster.wait_for_term()
        handler = term.request_handler
        version = term.job_table.deployment.version
        pending = PendingPlacement(build_job(JOB_ID))

        async def remove_queue(*_: object) -> None:
            await cluster.configure(version + 1, routes=[])
            await asyncio.sleep(1.0)

        with (
            mock.patch.object(handler.placer, "begin", return_value=pending),
            mock.patch.object(handler, "_wait_placed", side_effect=remove_queue),
        ):
            response = await handler.submit("queue", JOB_ID, build_workflow(), "", version)
        self.assertEqual(NoSuchQueue(), response)

    def test_newest_configuration_of_a_removed_queue_is_kept(self) -> None:
        job_table = build_job_table(build_lease_worker(), max_attempts=2)
        job = build_job("aa")
        job_table.add(job, 0.0, 0)
        job_table.deployment = build_deployment(2, max_attempts=3)
        job_table.deployment = type(job_table.deployment)(3)
        (run,) = start_all(job_table)
        queue = job_table.queue_of(run.task.step)
        assert queue is not None
        self.assertEqual(queue.max_attempts, 3)
        restored = restore(decode_job(encode_job(job)).unwrap(), None, 0.0).unwrap()
        assert restored.queue is not None
        self.assertEqual(
            (restored.queue.service, restored.queue.max_attempts, restored.queue.target_ms),
            (queue.service, queue.max_attempts, queue.target_ms),
        )
