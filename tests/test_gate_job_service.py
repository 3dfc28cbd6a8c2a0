"""Tests of a gate between clients and the owners of shards."""

import asyncio
import unittest
from typing import Any

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
from pollengated.edge.rpc import EdgeClient, NotOwner
from result import Err, Ok, Result

from tests.utils import run_virtual
from tests.workflow_builders import build_deployment, build_job, build_workflow

JOB = "00000000000000aa"
QUEUE = build_deployment().queues[0]
NO_REPLY = CallFailure(True, "timeout")
NOT_SENT = CallFailure(False, "refused")
Answer = JobResponse | NotOwner | CallFailure


class ScriptedClient(EdgeClient):
    """Answers submissions and questions from a script, the last answer for ever."""

    def __init__(self, *answers: Answer) -> None:
        super().__init__()
        self._answers = list(answers)
        self.called_addresses: list[str] = []
        self.answers_pings = True

    async def submit(self, address: str, *_: Any) -> Result[JobResponse | NotOwner, CallFailure]:
        """Answers."""
        return await self._next(address)

    async def show(self, address: str, *_: Any) -> Result[JobResponse | NotOwner, CallFailure]:
        """Answers."""
        return await self._next(address)

    async def ping(self, address: str, shard: int, timeout_s: float) -> bool:
        """Answers at once or not at all."""
        if not self.answers_pings:
            await asyncio.sleep(timeout_s)
        return self.answers_pings

    async def _next(self, address: str) -> Result[JobResponse | NotOwner, CallFailure]:
        self.called_addresses.append(address)
        answer = self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]
        await asyncio.sleep(0.9 if answer is NO_REPLY else 0.002)
        return Err(answer) if isinstance(answer, CallFailure) else Ok(answer)


class GateHarness:
    """A desk with an owner on another VM."""

    def __init__(self, *answers: Answer, has_owner: bool = True) -> None:
        clocks = Clocks.of_loop()
        self.store = MemoryStore()
        self.client = ScriptedClient(*answers)
        self.directory = NodeDirectory(self.store, clocks)
        if has_owner:
            value = NodeRecord("n1", "n1:1", "x").encode()
            entry = Entry(owner_key(0), value, 5, 5, 6)
            self.directory.cache.entries_by_key[owner_key(0)] = entry
        owned_shards = OwnedShards(clocks)
        self.probe = OwnerProbe(1, owned_shards, self.directory, self.client, clocks)
        self.job_service = GateJobService(
            1,
            owned_shards,
            OperatorView(self.store, clocks),
            self.directory,
            self.client,
            self.probe,
            self.store,
            clocks,
            EdgeMetrics(),
        )

    async def submit(self) -> tuple[JobResponse, float]:
        """Submits a job; returns the answer and how long it took."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await self.job_service.submit(QUEUE, JOB, build_workflow())
        return answer, loop.time() - began_at


class SubmitTest(unittest.TestCase):
    """What a client is told when owners fail."""

    def submit(self, *answers: Answer, has_owner: bool = True) -> tuple[JobResponse, float]:
        """Submits at a gate whose owner answers as told."""

        async def main() -> tuple[JobResponse, float]:
            return await GateHarness(*answers, has_owner=has_owner).submit()

        return run_virtual(main())

    def test_request_without_reply_is_sent_to_the_next_owner(self) -> None:
        answer, took_s = self.submit(NO_REPLY, NotOwner(), Accepted())
        self.assertIsInstance(answer, Accepted)
        self.assertLess(took_s, RESPONSE_TIMEOUT_S)

    def test_refusal_is_never_given_once_an_owner_may_have_the_job(self) -> None:
        answer, _ = self.submit(NO_REPLY, NOT_SENT)
        self.assertIsInstance(answer, Undecided)

    def test_refusal_after_an_open_request_is_no_refusal(self) -> None:
        answer, _ = self.submit(Undecided("store"), NotAccepted("store_unavailable", 1.0))
        self.assertIsInstance(answer, Undecided)

    def test_without_an_owner_the_job_is_refused_soon(self) -> None:
        for answers in ((NOT_SENT,), (NotOwner(),)):
            answer, took_s = self.submit(*answers)
            self.assertIsInstance(answer, NotAccepted)
            self.assertLess(took_s, NO_OWNER_TIMEOUT_S + 0.2)
        answer, _ = self.submit(Accepted(), has_owner=False)
        self.assertIsInstance(answer, NotAccepted)

    def test_unreachable_owner_gets_no_request(self) -> None:
        async def main() -> None:
            gate = GateHarness(Accepted())
            gate.client.answers_pings = False
            probing = asyncio.create_task(gate.probe.run())
            await asyncio.sleep(UNREACHABLE_AFTER_S + 1.0)
            self.assertFalse(gate.probe.are_all_reachable())
            answer, took_s = await gate.submit()
            outage_s = remaining_outage_s(gate.probe.failing_s(0))
            self.assertGreaterEqual(outage_s, 1.0)
            self.assertEqual(answer, NotAccepted("owner_unreachable", outage_s))
            self.assertEqual(took_s, 0.0)
            self.assertEqual(gate.client.called_addresses, [])
            gate.client.answers_pings = True
            await asyncio.sleep(1.0)
            self.assertIsInstance((await gate.submit())[0], Accepted)
            probing.cancel()

        run_virtual(main())


class ShowTest(unittest.TestCase):
    """States of jobs while the owner is away."""

    def test_records_answer_in_the_owners_place(self) -> None:
        async def main() -> None:
            gate = GateHarness(NOT_SENT)
            self.assertIsInstance(await gate.job_service.show(QUEUE, JOB), NoSuchJob)
            job = build_job(JOB)
            await gate.store.commit((), (Put(job_key(0, JOB), encode_job(job)),))
            self.assertEqual(await gate.job_service.show(QUEUE, JOB), Found(JobState.QUEUED))
            job.state = JobState.COMPLETED
            await gate.store.commit((), (Put(progress_key(0, JOB), encode_progress(job)),))
            self.assertEqual(await gate.job_service.show(QUEUE, JOB), Found(JobState.COMPLETED))

        run_virtual(main())
