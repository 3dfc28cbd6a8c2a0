"""Tests of requests for placed jobs between processes, and of the room in heartbeats."""

import asyncio
import dataclasses
import unittest
from typing import Any
from unittest import mock

from grpclib.testing import ChannelFor
from pollengate.memory_store import MemoryStore
from pollengate.store import CommitResult, Entry, Put
from pollengate.workflow.job_placement import StoredPlacement, encode_placement
from pollengate.workflow.job_service import (
    Cancelled,
    Found,
    NoSuchJob,
    OwnerResponse,
    PlacedElsewhere,
    Undecided,
)
from pollengate.workflow.keys import job_key, owner_key, placement_key, shard_of_job
from pollengate.workflow.progress import JobState
from pollengate.workflow.records import encode_job
from pollengate.workflow.shard_room import RoomSummary
from pollengate_net.calls import CallFailure
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.explain_service import EdgeExplainService
from pollengated.edge.gate_job_service import GateJobService
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.other_shards import (
    DelegatedTask,
    Placed,
    PlacementRequest,
    PlacementUnknown,
    Refused,
)
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.edge.placement_context import present_entries
from pollengated.edge.remote_shards import RemoteShards
from pollengated.edge.rpc import EdgeClient, EdgeService
from result import Err, Ok, Result

from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_deployment, build_job, build_workflow

SHARDS = 2
JOB_ID = next(f"{n:016x}" for n in range(99) if shard_of_job(f"{n:016x}", SHARDS) == 0)
QUEUE = build_deployment().queues[0]
REQUEST = PlacementRequest(JOB_ID, "queue", build_workflow(), "", 0, 7, 1)


class PlacingClient(EdgeClient):
    """Owner 0 names shard 1 for every job, owner 1 has the job."""

    def __init__(self) -> None:
        super().__init__()
        self.called: list[tuple[str, int]] = []

    async def show(self, address: str, shard: int, *_: Any) -> Result[OwnerResponse, CallFailure]:
        """Returns the job's state."""
        return self._respond(address, shard, Found(JobState.RUNNING))

    async def cancel(self, address: str, shard: int, *_: Any) -> Result[OwnerResponse, CallFailure]:
        """Cancels the job."""
        return self._respond(address, shard, Cancelled())

    def _respond(
        self, address: str, shard: int, response: OwnerResponse
    ) -> Result[OwnerResponse, CallFailure]:
        self.called.append((address, shard))
        return Ok(PlacedElsewhere(1) if shard == 0 else response)


class PlacedJobRequestTest(unittest.TestCase):
    """Requests of clients at a process that owns no shard."""

    def setUp(self) -> None:
        self.store = MemoryStore()
        self.client = PlacingClient()

    def create_gate(self, *owned_by: str) -> GateJobService:
        """Returns a gate that knows the owners of the shards."""
        clocks = Clocks.of_loop()
        directory = NodeDirectory(self.store, clocks)
        entries = [
            Entry(owner_key(shard), NodeRecord(node, f"{node}:1", "x").encode(), 5, 5, 6)
            for shard, node in enumerate(owned_by)
        ]
        directory.cache.replace_if_newer(entries, 5)
        owned = OwnedShards(clocks)
        probe = OwnerProbe(SHARDS, owned, directory, self.client, clocks)
        view = OperatorView(self.store, clocks)
        view.cache.replace_if_newer([Entry("op/config", b'{"version":1}', 1, 1)], 1)
        arguments = (owned, view, directory, self.client, probe, self.store, clocks, EdgeMetrics())
        return GateJobService(SHARDS, *arguments)

    def test_gate_follows_a_job_to_the_owner_that_has_it(self) -> None:
        async def main() -> None:
            gate = self.create_gate("n0", "n1")
            self.assertEqual(await gate.show(QUEUE, JOB_ID, ""), Found(JobState.RUNNING))
            self.assertEqual(await gate.cancel(QUEUE, JOB_ID, ""), Cancelled())
            self.assertEqual(self.client.called, [("n0:1", 0), ("n1:1", 1)] * 2)

        run_virtual(main())

    def test_accepted_job_is_never_unknown_while_no_shard_has_an_owner(self) -> None:
        async def main() -> None:
            gate = self.create_gate()
            self.assertEqual(await gate.show(QUEUE, JOB_ID, ""), NoSuchJob())
            for shard, shown in ((0, NoSuchJob()), (1, Found(JobState.QUEUED))):
                put = Put(placement_key(0, JOB_ID), encode_placement(StoredPlacement(shard)))
                record = Put(job_key(1, JOB_ID), encode_job(build_job(JOB_ID)))
                await self.store.commit((), (put, record))
                self.assertEqual(await gate.show(QUEUE, JOB_ID, ""), shown)

        run_virtual(main())

    def test_explanation_names_the_owner_of_the_shard_that_has_the_job(self) -> None:
        """Guards against an operator who is sent from one owner to the other and back."""
        home, other = mock.Mock(shard=0), mock.Mock(shard=1)
        home.explainer.explain_job.return_value = None
        home.request_handler.placer.find.return_value = StoredPlacement(1)
        other.explainer.worker_ages.return_value = ()
        view, directory = mock.Mock(), mock.Mock()
        view.cache.age_s.return_value = 0.1
        directory.owner.return_value.record.node = "n1"
        for terms, owner in (({0: home}, "n1"), ({1: other}, "n2"), ({0: home, 1: other}, "n2")):
            owned = mock.Mock(**{"served_shards.return_value": list(terms)})
            owned.serving_term.side_effect = terms.get
            service = EdgeExplainService("n2", owned, view, directory, Clocks(lambda: 0.0, int))
            service.shards = SHARDS
            explained = service.explain_job(JOB_ID)
            found = explained.ok_value if explained.is_ok() else explained.err_value
            self.assertEqual((found.shard, found.owner), (1, owner))


class ConflictTest(unittest.TestCase):
    """Entries in the response of a store to a transaction whose conditions did not hold."""

    def test_absent_key_that_the_store_lists_is_no_placement(self) -> None:
        owner = Entry(owner_key(0), b"x", 5, 5, 6)
        absent = [Entry("a", b"", 0, 0), Entry("b", b"", 7, 0), Entry("c", b"x", 0, 0)]
        conflict = CommitResult(False, 0, (owner, *absent))
        self.assertEqual(present_entries(conflict), {owner.key: owner})


class OwnerCallTest(unittest.TestCase):
    """Calls between owners over gRPC."""

    def test_room_and_jobs_reach_the_other_owner(self) -> None:
        summaries = {"service": RoomSummary((0, 3, 1))}
        term = mock.Mock()
        term.request_handler.offered_room.return_value = summaries
        outcomes = [Placed(), Refused("no_room")]
        term.request_handler.acceptor.accept = mock.AsyncMock(side_effect=outcomes)

        async def main() -> None:
            clocks = Clocks.of_loop()
            owned = OwnedShards(clocks)
            owned.electors_by_shard = {1: mock.Mock(term=term)}
            client, store = EdgeClient(), MemoryStore()
            directory = NodeDirectory(store, clocks)
            record = NodeRecord("n1", "n1:1", "x").encode()
            directory.cache.replace_if_newer([Entry(owner_key(1), record, 5, 5, 6)], 5)
            own = OwnedShards(clocks)
            probe = OwnerProbe(SHARDS, own, directory, client, clocks)
            others = RemoteShards(own, directory, probe, client, clocks)
            self.assertEqual(await others.place(0, REQUEST), Refused("no_owner"))
            async with ChannelFor([EdgeService(owned, OperatorView(store, clocks))]) as channel:
                with mock.patch.object(client, "_channel", return_value=channel):
                    following = asyncio.create_task(client.follow_heartbeats("n1:1", list))
                    await asyncio.sleep(0.1)
                    self.assertEqual(
                        others.summaries_by_shard("service"), {1: summaries["service"]}
                    )
                    self.assertEqual(others.summaries_by_shard("other"), {})
                    self.assertEqual([await others.place(1, REQUEST) for _ in outcomes], outcomes)
                    following.cancel()
            self.assertEqual(term.request_handler.acceptor.accept.await_args.args, (REQUEST,))
            self.assertEqual(others.summaries_by_shard("service"), {1: summaries["service"]})
            await asyncio.sleep(2.0)
            self.assertEqual(others.summaries_by_shard("service"), {})

        run_virtual(main())

    def test_delegated_task_its_end_and_its_return_reach_the_other_owner(self) -> None:
        task = f"{JOB_ID}.0.0.0"
        request = dataclasses.replace(REQUEST, job_id=task, task=DelegatedTask(7, "abc", 9))
        handler = mock.Mock()
        handler.acceptor.accept = mock.AsyncMock(return_value=Placed())
        handler.show = mock.AsyncMock(return_value=Found(JobState.RUNNING))
        handler.cancel = mock.AsyncMock(return_value=Cancelled())
        owned = mock.Mock(**{"serving_term.return_value": mock.Mock(request_handler=handler)})

        async def main() -> None:
            clocks = Clocks.of_loop()
            client, own, store = EdgeClient(), OwnedShards(clocks), MemoryStore()
            directory = NodeDirectory(store, clocks)
            others = RemoteShards(own, directory, mock.Mock(), client, clocks)
            self.assertEqual(await others.cancel(1, task, REQUESTER), Undecided("no_owner"))
            record = NodeRecord("n1", "n1:1", "x").encode()
            directory.cache.replace_if_newer([Entry(owner_key(1), record, 5, 5, 6)], 5)
            async with ChannelFor([EdgeService(owned, mock.Mock())]) as channel:
                with mock.patch.object(client, "_channel", return_value=channel):
                    self.assertEqual(await others.place(1, request), Placed())
                    shown = await others.show(1, task, REQUESTER)
                    self.assertEqual(shown, Found(JobState.RUNNING))
                    self.assertEqual(await others.cancel(1, task, REQUESTER), Cancelled())
                    await others.notify_returned(1, task)
                    owned.serving_term.return_value = None
                    response = await others.cancel(1, task, REQUESTER)
                    self.assertEqual(response, Undecided("not_owner"))
            handler.acceptor.accept.assert_awaited_once_with(request)
            handler.cancel.assert_awaited_once_with(task, REQUESTER)
            handler.delegator.read_again.assert_called_once_with(task)
            call = mock.AsyncMock(return_value=Err(CallFailure(True, "reset")))
            with mock.patch.object(client, "_call", call):
                self.assertEqual(await others.cancel(1, task, REQUESTER), Undecided("reset"))

        run_virtual(main())

    def test_failed_call_does_not_count_as_a_refusal(self) -> None:
        async def main() -> None:
            client = EdgeClient()
            for failure in (CallFailure(True, "reset"), CallFailure(False, "host unreachable")):
                call = mock.AsyncMock(return_value=Err(failure))
                with mock.patch.object(client, "_call", call):
                    outcome = await client.place("n1:1", 1, REQUEST)
                self.assertEqual(outcome, PlacementUnknown(failure.detail))

        run_virtual(main())

    def test_placement_of_a_job_is_named_to_other_processes(self) -> None:
        term = mock.Mock()
        term.request_handler.show = mock.AsyncMock(return_value=PlacedElsewhere(1))
        owned = mock.Mock(**{"serving_term.return_value": term})

        async def main() -> None:
            client = EdgeClient()
            async with ChannelFor([EdgeService(owned, mock.Mock())]) as channel:
                with mock.patch.object(client, "_channel", return_value=channel):
                    shown = await client.show("n0:1", 0, JOB_ID, REQUESTER)
            self.assertEqual(shown, Ok(PlacedElsewhere(1)))

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
