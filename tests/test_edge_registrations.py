"""Tests of workers whose registrations come and go, on virtual time."""

import asyncio
import unittest

from pollengate.store import Delete
from pollengate.workflow.job_service import Accepted
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster
from tests.utils import run_virtual
from tests.workflow_builders import build_workflow

JOB_ID = "00000000000000aa"


class RegistrationTest(unittest.TestCase):
    """A worker that is registered again gets tasks again."""

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
