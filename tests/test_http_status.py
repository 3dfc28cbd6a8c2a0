"""Tests of the status of the whole system."""

import types
import unittest
from typing import Any

from pollengate.configuration import Configuration, Limits, Zone
from pollengate.ownership import Owner
from pollengate.refusals import Reason
from pollengate_cli.views import status_from_document
from pollengate_net.calls import CallFailure
from pollengate_net.messages import scheduler_pb2 as pb
from pollengated.http_server import create_app
from pollengated.http_status import status_router
from pollengated.metrics import Metrics
from result import Err, Ok

from tests.utils import build_settings, request_app

ZONES = {"a": Zone(in_service=False), "b": Zone()}


class SchedulersFake:
    """Answers for the schedulers whose address it knows."""

    def __init__(self, **replies: pb.StatusReply) -> None:
        self._replies = replies

    async def status(self, address: str) -> Any:
        if address in self._replies:
            return Ok(self._replies[address])
        return Err(CallFailure(True, "TimeoutError"))


class HttpStatusTest(unittest.TestCase):
    """Drives the route without sockets."""

    def status(self) -> dict[str, Any]:
        worker = pb.WorkerStatus(worker_id="w0", state="live", cores_free=4, tasks=2)
        shard = pb.ShardStatus(
            zone="a", shard=0, epoch=2**40, queued=5, running=2, workers=[worker]
        )
        reply = pb.StatusReply(process_id="s-a", zone="a", configuration_version=7, shards=[shard])
        owners = [Owner("a", 0, "s-a", "good", 2**40), Owner("b", 0, "s-b", "gone", 3)]
        follower = types.SimpleNamespace(current=Configuration(8, ZONES, {}, {}, Limits()))
        directory = types.SimpleNamespace(all=lambda: owners)
        metrics = Metrics()
        metrics.count_refusal(Reason.NO_OWNER)
        router = status_router(
            "gate-1", "a", follower, directory, SchedulersFake(good=reply), metrics  # type: ignore[arg-type]
        )
        answer = request_app(create_app([router], build_settings(), metrics), "GET", "/status")
        self.assertEqual(200, answer.status_code, answer.text)
        document: dict[str, Any] = answer.json()
        return document

    def test_zones_have_what_their_owners_report(self) -> None:
        a, b = self.status()["zones"]
        self.assertEqual(
            {
                "name": "a",
                "in_service": False,
                "owners": 1,
                "workers": 1,
                "queued": 5,
                "running": 2,
            },
            a,
        )
        self.assertEqual(("b", True, 0), (b["name"], b["in_service"], b["owners"]))

    def test_each_process_has_its_configuration_version(self) -> None:
        versions = {p["process_id"]: p["configuration_version"] for p in self.status()["processes"]}
        self.assertEqual({"gate-1": 8, "s-a": 7, "s-b": None}, versions)

    def test_scheduler_that_does_not_answer_is_named_with_the_error(self) -> None:
        errors = {p["process_id"]: p["error"] for p in self.status()["processes"]}
        self.assertEqual("TimeoutError", errors["s-b"])

    def test_refusals_are_counted(self) -> None:
        self.assertEqual({"no_owner": 1}, self.status()["refusals_by_reason"])

    def test_command_line_decodes_all_of_it(self) -> None:
        status = status_from_document(self.status())
        self.assertEqual(2**40, status.processes[1].shards[0].epoch)
        self.assertEqual("w0", status.processes[1].shards[0].workers[0].worker_id)
