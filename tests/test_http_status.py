"""Tests of the status of the whole system."""

import types
import unittest
from typing import Any

from pollengate.configuration import Configuration, Limits, Zone
from pollengate.membership import Member, MemberList, Role
from pollengate.ownership import Owner
from pollengate.peer import PeerFailure, StoredConfiguration
from pollengate.refusals import Reason
from pollengate_cli.views import status_from_document
from pollengate_net.calls import CallFailure
from pollengate_net.messages import scheduler_pb2 as pb
from pollengated.http_server import create_app
from pollengated.http_status import status_router
from pollengated.metrics import Metrics
from pollengated.status_collector import StatusCollector
from result import Err, Ok

from tests.utils import build_settings, request_app

ZONES = {"a": Zone(in_service=False), "b": Zone()}


class SchedulerClientFake:
    """Replies for the schedulers at the given addresses; others time out."""

    def __init__(self, **replies: pb.StatusReply) -> None:
        self._replies = replies

    async def status(self, address: str) -> Any:
        if address in self._replies:
            return Ok(self._replies[address])
        return Err(CallFailure(True, "TimeoutError"))


class PeerClientFake:
    """Returns the configuration of the gates at the given addresses; others refuse."""

    def __init__(self, **stored: StoredConfiguration) -> None:
        self._stored = stored

    async def get_configuration(self, address: str) -> Any:
        if address in self._stored:
            return Ok(self._stored[address])
        return Err(PeerFailure("ConnectionRefusedError"))


OWN = Member("gate-1", Role.GATE, "a", "own")
MEMBERS = (
    OWN,
    Member("gate-2", Role.GATE, "b", "same"),
    Member("gate-3", Role.GATE, "b", "behind"),
    Member("gate-4", Role.GATE, "b", "closed"),
    Member("gate-5", Role.GATE, "b", "fresh"),
    Member("s-a", Role.SCHEDULER, "a", "good"),
    Member("s-standby", Role.SCHEDULER, "a", "standby"),
)


class HttpStatusTest(unittest.TestCase):
    """Calls the route without sockets."""

    def status(self) -> dict[str, Any]:
        worker = pb.WorkerStatus(worker_id="w0", state="live", cores_free=4, tasks=2)
        shard = pb.ShardStatus(
            zone="a", shard=0, epoch=2**40, queued=5, running=2, workers=[worker]
        )
        owner = pb.StatusReply(process_id="s-a", zone="a", configuration_version=7, shards=[shard])
        standby = pb.StatusReply(process_id="s-standby", zone="a", configuration_version=8)
        owners = [Owner("a", 0, "s-a", "good", 2**40), Owner("b", 0, "s-b", "gone", 3)]
        configuration = Configuration(8, ZONES, {}, {}, Limits())
        peers = PeerClientFake(
            same=StoredConfiguration(90, b"not read"),
            behind=StoredConfiguration(70, b'{"version": 6, "configuration": {}}'),
            fresh=StoredConfiguration(),
        )
        metrics = Metrics()
        metrics.count_refusal(Reason.NO_OWNER)
        collector = StatusCollector(
            types.SimpleNamespace(member=OWN, members=MemberList(5, MEMBERS)),  # type: ignore[arg-type]
            types.SimpleNamespace(current=configuration, revision=90),  # type: ignore[arg-type]
            types.SimpleNamespace(all=lambda: owners),  # type: ignore[arg-type]
            SchedulerClientFake(good=owner, standby=standby),  # type: ignore[arg-type]
            peers,  # type: ignore[arg-type]
            metrics,
        )
        app = create_app([status_router(collector)], build_settings(), metrics)
        response = request_app(app, "GET", "/status")
        self.assertEqual(200, response.status_code, response.text)
        document: dict[str, Any] = response.json()
        return document

    def test_zones_sum_up_the_reports_of_their_owners(self) -> None:
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
        gates = {"gate-1": 8, "gate-2": 8, "gate-3": 6, "gate-4": None, "gate-5": 0}
        self.assertEqual(gates | {"s-a": 7, "s-standby": 8, "s-b": None}, versions)

    def test_unreachable_process_is_listed_with_the_error(self) -> None:
        errors = {p["process_id"]: p["error"] for p in self.status()["processes"] if p["error"]}
        self.assertEqual({"s-b": "TimeoutError", "gate-4": "ConnectionRefusedError"}, errors)

    def test_refusals_are_counted(self) -> None:
        self.assertEqual({"no_owner": 1}, self.status()["refusals_by_reason"])

    def test_command_line_decodes_the_document(self) -> None:
        status = status_from_document(self.status())
        [owner] = [process for process in status.processes if process.shards]
        self.assertEqual(2**40, owner.shards[0].epoch)
        self.assertEqual("w0", owner.shards[0].workers[0].worker_id)
