"""Tests of the client accounts of jobs at the owner of their shard, on virtual time."""

import asyncio
import unittest
from unittest import mock

from grpclib.testing import ChannelFor
from pollengate.accounts.job_access import Requester
from pollengate.workflow.job_service import (
    RETRY_AFTER_S,
    Accepted,
    Cancelled,
    Found,
    NoSuchJob,
    NotAccepted,
)
from pollengated.edge.rpc import EdgeClient, EdgeService
from pollengated.edge.shard_term import ShardTerm

from tests.edge_cluster import EdgeCluster
from tests.utils import run_virtual
from tests.workflow_builders import build_workflow

JOB_ID = "00000000000000aa"
OPEN_ID = "00000000000000bb"
OWN, OTHER, PUBLIC = Requester("queue", "a"), Requester("queue", "b"), Requester("public", "")


class JobAccountTest(unittest.TestCase):
    """Which jobs a client may show and cancel."""

    async def check_access(self, term: ShardTerm) -> None:
        """Checks who has access to a job of account `a` and to one without an account."""
        handler = term.request_handler
        self.assertIsInstance(await handler.show(JOB_ID, OWN), Found)
        self.assertIsInstance(await handler.show(OPEN_ID, OTHER), Found)
        for job_id, requester in ((JOB_ID, OTHER), (JOB_ID, PUBLIC), (OPEN_ID, PUBLIC)):
            self.assertEqual(await handler.show(job_id, requester), NoSuchJob())
            self.assertEqual(await handler.cancel(job_id, requester), NoSuchJob())

    def test_job_of_another_account_is_unknown(self) -> None:
        """Guards against access by others, also before the record is durable and after takeover."""

        async def main() -> None:
            cluster = EdgeCluster(duration_s=1000.0)
            await cluster.open()
            await cluster.configure(2, tenants=[])
            await cluster.submit(OPEN_ID, build_workflow())
            term, node = await cluster.wait_for_term(), cluster.serving_node()
            submission = asyncio.create_task(cluster.submit(JOB_ID, build_workflow(), account="a"))
            await asyncio.sleep(0.0)
            self.assertNotIn(JOB_ID, term.job_table.jobs_by_id)
            await self.check_access(term)
            # Guards against an acceptance of work that is never stored, as the id is another's.
            in_use = NotAccepted("id_in_use", RETRY_AFTER_S)
            self.assertEqual(await cluster.submit(JOB_ID, build_workflow(), account="b"), in_use)
            self.assertEqual(await submission, Accepted())
            self.assertEqual(await cluster.submit(JOB_ID, build_workflow(), account="b"), in_use)
            self.assertEqual(
                await cluster.submit(JOB_ID, build_workflow(), account="a"), Accepted()
            )
            await self.check_access(term)
            node.kill()
            term = await cluster.wait_for_term(other_than=node.name)
            await asyncio.sleep(5.0)
            await self.check_access(term)
            self.assertEqual(await term.request_handler.cancel(JOB_ID, OWN), Cancelled())
            # `asyncio.wait_for` of Python 3.11 ignores a cancellation while a poll returns.
            await asyncio.sleep(1.0)

        run_virtual(main())

    def test_owner_gets_the_account_of_a_forwarded_request(self) -> None:
        """Guards against an account that is lost between gate and owner."""

        async def main() -> None:
            term, workflow, client = mock.Mock(), build_workflow(), EdgeClient()
            handler = term.request_handler = mock.AsyncMock()
            handler.submit.return_value = handler.show.return_value = Accepted()
            handler.cancel.return_value = Accepted()
            owned_shards = mock.Mock(**{"serving_term.return_value": term})
            async with ChannelFor([EdgeService(owned_shards, mock.Mock())]) as channel:
                with mock.patch.object(client, "_channel", return_value=channel):
                    await client.submit("n:1", 0, "queue", JOB_ID, workflow, "a", 7)
                    await client.show("n:1", 0, JOB_ID, OWN)
                    await client.cancel("n:1", 0, JOB_ID, OWN)
            handler.submit.assert_awaited_once_with("queue", JOB_ID, workflow, "a", 7)
            handler.show.assert_awaited_once_with(JOB_ID, OWN)
            handler.cancel.assert_awaited_once_with(JOB_ID, OWN)

        run_virtual(main())
