"""Tests of the gate, which forwards clients' requests to the owners of shards."""

import asyncio
import dataclasses
import json
import unittest
from collections.abc import Callable, Sequence
from typing import Any

import logbook
from pollengate.memory_store import MemoryStore
from pollengate.store import Entry, Put
from pollengate.workflow.job_service import (
    Accepted,
    Found,
    JobResponse,
    NoSuchJob,
    NotAccepted,
    Undecided,
    remaining_outage_s,
)
from pollengate.workflow.keys import job_key, owner_key, progress_key
from pollengate.workflow.progress import JobState
from pollengate.workflow.records import encode_job, encode_progress
from pollengate_net.calls import CallFailure
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.gate_job_service import NO_OWNER_TIMEOUT_S, RESPONSE_TIMEOUT_S, GateJobService
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.owner_probe import UNREACHABLE_AFTER_S, OwnerProbe
from pollengated.edge.rpc import HEARTBEAT_INTERVAL_S, EdgeClient, NotOwner
from result import Err, Ok, Result

from tests.utils import run_virtual
from tests.workflow_builders import build_deployment, build_job, build_workflow

JOB_ID = "00000000000000aa"
QUEUE = build_deployment().queues[0]
NO_REPLY = CallFailure(True, "timeout")
NOT_SENT = CallFailure(False, "refused")
ScriptedReply = JobResponse | NotOwner | CallFailure


class ScriptedClient(EdgeClient):
    """Returns scripted replies in order; repeats the last one."""

    def __init__(self, *replies: ScriptedReply) -> None:
        super().__init__()
        self._replies = list(replies)
        self.called_addresses: list[str] = []
        self.sends_heartbeats = True

    async def submit(self, address: str, *_: Any) -> Result[JobResponse | NotOwner, CallFailure]:
        """Returns the next scripted reply."""
        return await self._next(address)

    async def show(self, address: str, *_: Any) -> Result[JobResponse | NotOwner, CallFailure]:
        """Returns the next scripted reply."""
        return await self._next(address)

    async def follow_heartbeats(
        self, address: str, on_heartbeat: Callable[[Sequence[int]], None]
    ) -> CallFailure:
        """Sends heartbeats of shard 0 while `sends_heartbeats` is True."""
        while True:
            if self.sends_heartbeats:
                on_heartbeat((0,))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _next(self, address: str) -> Result[JobResponse | NotOwner, CallFailure]:
        self.called_addresses.append(address)
        reply = self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]
        await asyncio.sleep(0.9 if reply is NO_REPLY else 0.002)
        return Err(reply) if isinstance(reply, CallFailure) else Ok(reply)


class GateHarness:
    """The job service of a process while another process owns the shard.

    Args:
        replies: scripted replies of the owner.
        has_owner: whether the directory knows an owner.
    """

    def __init__(self, *replies: ScriptedReply, has_owner: bool = True) -> None:
        clocks = Clocks.of_loop()
        self.store = MemoryStore()
        self.client = ScriptedClient(*replies)
        self.directory = NodeDirectory(self.store, clocks)
        if has_owner:
            value = NodeRecord("n1", "n1:1", "x").encode()
            entry = Entry(owner_key(0), value, 5, 5, 6)
            self.directory.cache.replace_if_newer([entry], 5)
        owned_shards = OwnedShards(clocks)
        self.probe = OwnerProbe(1, owned_shards, self.directory, self.client, clocks)
        self.view = OperatorView(self.store, clocks)
        self.metrics = EdgeMetrics()
        self.job_service = GateJobService(
            1,
            owned_shards,
            self.view,
            self.directory,
            self.client,
            self.probe,
            self.store,
            clocks,
            self.metrics,
        )

    def configure(self, version: int, **fields: Any) -> None:
        """Applies a configuration."""
        value = json.dumps({"version": version} | fields).encode()
        self.view.cache.replace_if_newer([Entry("op/config", value, version, 1)], version)

    async def submit(self) -> tuple[JobResponse, float]:
        """Submits a job; returns the response and the seconds that it took."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        response = await self.job_service.submit(QUEUE, JOB_ID, build_workflow(), "")
        return response, loop.time() - began_at


class SubmitTest(unittest.TestCase):
    """Tests of the responses to a submission if the owner fails."""

    def submit(self, *replies: ScriptedReply, has_owner: bool = True) -> tuple[JobResponse, float]:
        """Submits a job through a gate whose owner gives the scripted replies."""

        async def main() -> tuple[JobResponse, float]:
            return await GateHarness(*replies, has_owner=has_owner).submit()

        return run_virtual(main())

    def test_request_without_reply_is_sent_to_the_next_owner(self) -> None:
        response, took_s = self.submit(NO_REPLY, NotOwner(), Accepted())
        self.assertIsInstance(response, Accepted)
        self.assertLess(took_s, RESPONSE_TIMEOUT_S)

    def test_job_that_an_owner_may_have_accepted_is_not_rejected(self) -> None:
        response, _ = self.submit(NO_REPLY, NOT_SENT)
        self.assertIsInstance(response, Undecided)

    def test_rejection_after_an_undecided_reply_leaves_the_job_undecided(self) -> None:
        response, _ = self.submit(Undecided("store"), NotAccepted("store_unavailable", 1.0))
        self.assertIsInstance(response, Undecided)

    def test_job_is_rejected_soon_if_there_is_no_owner(self) -> None:
        for replies in ((NOT_SENT,), (NotOwner(),)):
            response, took_s = self.submit(*replies)
            self.assertIsInstance(response, NotAccepted)
            self.assertLess(took_s, NO_OWNER_TIMEOUT_S + 0.2)
        response, _ = self.submit(Accepted(), has_owner=False)
        self.assertIsInstance(response, NotAccepted)

    def test_request_for_an_unreachable_owner_is_rejected_without_being_sent(self) -> None:
        async def main() -> None:
            gate = GateHarness(Accepted())
            gate.client.sends_heartbeats = False
            probe_task = asyncio.create_task(gate.probe.run())
            await asyncio.sleep(UNREACHABLE_AFTER_S + 1.0)
            self.assertFalse(gate.probe.are_all_reachable())
            response, took_s = await gate.submit()
            outage_s = remaining_outage_s(gate.probe.failing_s(0))
            self.assertGreaterEqual(outage_s, 1.0)
            self.assertEqual(response, NotAccepted("owner_unreachable", outage_s))
            self.assertEqual(took_s, 0.0)
            self.assertEqual(gate.client.called_addresses, [])
            gate.client.sends_heartbeats = True
            await asyncio.sleep(1.0)
            self.assertIsInstance((await gate.submit())[0], Accepted)
            probe_task.cancel()

        run_virtual(main())


class ShowTest(unittest.TestCase):
    """Tests of the state of a job while its shard has no reachable owner."""

    def test_state_is_read_from_the_records_if_the_owner_does_not_reply(self) -> None:
        async def main() -> None:
            gate = GateHarness(NOT_SENT)
            self.assertIsInstance(await gate.job_service.show(QUEUE, JOB_ID, ""), NoSuchJob)
            job = build_job(JOB_ID)
            await gate.store.commit((), (Put(job_key(0, JOB_ID), encode_job(job)),))
            self.assertEqual(await gate.job_service.show(QUEUE, JOB_ID, ""), Found(JobState.QUEUED))
            job.state = JobState.COMPLETED
            await gate.store.commit((), (Put(progress_key(0, JOB_ID), encode_progress(job)),))
            self.assertEqual(
                await gate.job_service.show(QUEUE, JOB_ID, ""), Found(JobState.COMPLETED)
            )

        run_virtual(main())

    def test_stored_job_of_another_account_is_unknown(self) -> None:
        """Guards against showing it to others while its shard has no owner."""

        async def main() -> None:
            gate = GateHarness(NOT_SENT)
            gate.configure(1, tenants=[])
            job = build_job(JOB_ID)
            job.account = "a"
            await gate.store.commit((), (Put(job_key(0, JOB_ID), encode_job(job)),))
            for _ in range(2):
                shown = [
                    await gate.job_service.show(QUEUE, JOB_ID, name) for name in ("b", "", "a")
                ]
                self.assertEqual(shown, [NoSuchJob(), NoSuchJob(), Found(JobState.QUEUED)])
                await gate.store.commit((), (Put(progress_key(0, JOB_ID), encode_progress(job)),))

        run_virtual(main())


class AuthenticateTest(unittest.TestCase):
    """Keys of client accounts."""

    def test_keys_are_those_of_the_newest_configuration(self) -> None:
        """Guards against a key that outlives its withdrawal, and keys in logs or metrics."""

        async def main() -> None:
            gate = GateHarness()
            public = dataclasses.replace(QUEUE, is_public=True)
            for version, keys, accounts in (
                (1, None, ["", "", ""]),
                (2, ["key-old", "key-both"], ["a", "a", None]),
                (3, ["key-both", "key-new"], [None, "a", "a"]),
                (4, ["", "key-old"], [None, "a", "a"]),  # malformed: version 3 stays in force
                (5, [], [None, None, None]),
            ):
                tenants = None if keys is None else [{"name": "a", "apiKeys": keys}]
                gate.configure(version, tenants=tenants)
                for key, account in zip(("old", "both", "new"), accounts, strict=True):
                    found = gate.job_service.authenticate(QUEUE, f"key-{key}".encode())
                    self.assertEqual(found.unwrap_or(None), account)
                self.assertEqual(gate.job_service.authenticate(QUEUE, b"").is_ok(), keys is None)
                self.assertEqual(gate.job_service.authenticate(public, b""), Ok(""))
            metrics = gate.metrics.export().decode()
            self.assertIn('pollengate_edge_refused_keys_total{reason="unknown"} 6.0', metrics)
            self.assertNotIn("key-", metrics)

        with logbook.TestHandler() as log:
            run_virtual(main())
        refusals = [record.extra for record in log.records if record.message == "key refused"]
        # One line a second for each reason.
        self.assertEqual([line["reason"] for line in refusals], ["unknown", "missing"])
        self.assertNotIn("key-", str([record.to_dict() for record in log.records]))
