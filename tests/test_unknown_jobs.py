"""Tests of runs whose job the owner does not have, on virtual time."""

import asyncio

from pollengate.store import Put
from pollengate.workflow.clients import EndedRun, EndKind, Report
from pollengate.workflow.job_service import Accepted
from pollengate.workflow.keys import job_key
from pollengate.workflow.progress import JobState
from pollengate.workflow.reports import EndEffect, ReportReconciler

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
)

JOB_ID = "00000000000000aa"


class UnknownJobTest(EdgeTestCase):
    """A client submits a job again that the successor of its owner could not load."""

    def test_task_is_not_started_again_after_its_end_was_acknowledged_without_its_job(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(duration_s=1.0)
            await cluster.open()
            workflow = build_workflow(build_step(4), build_step(1, after=(0,)))
            await cluster.submit(JOB_ID, workflow)
            await asyncio.sleep(0.3)
            node = cluster.serving_node()
            node.kill()
            await cluster.store.commit(
                (), (Put(job_key(0, JOB_ID), b"written by another version"),)
            )
            await cluster.wait_for_term(other_than=node.name)
            await asyncio.sleep(1.0)
            self.assertEqual(sum(len(w.noted_ends) for w in cluster.workers_by_id.values()), 4)
            self.assertIsInstance(await cluster.submit(JOB_ID, workflow), Accepted)
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_end_of_a_job_that_ended_under_an_earlier_owner_is_not_one_of_an_unknown_job(
        self,
    ) -> None:
        job_table = build_job_table(build_lease_worker("w0"), term=1)
        job = build_job("aa", build_step())
        job.state = JobState.COMPLETED
        job_table.add(job, 0.0, 0)
        reconciler = ReportReconciler(job_table, job_table.fleet.workers_by_id["w0"])
        ended = EndedRun(1, "aa.0.0.0", 1, EndKind.DONE, "")
        (applied,) = reconciler.apply(Report(10, 1, (), (ended,)), 0.0, 0.1, 0)
        self.assertIs(applied.effect, EndEffect.JOB_ENDED)
