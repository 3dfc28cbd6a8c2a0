"""A cluster of gates and schedulers without sockets that records starts and patches."""

import asyncio
import dataclasses
import json

from pollengate.configuration import CONFIGURATION_KEY
from pollengate.membership import Member, Role
from pollengate.patches import OutstandingPatches
from pollengated.configuration_cache import ConfigurationCache
from pollengated.configuration_patches import ConfigurationPatcher, PatchRequest
from pollengated.configuration_refresher import ConfigurationRefresher
from pollengated.gate_admission import GateAdmission
from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.peer_request_handler import PeerRequestHandler

from tests.network import Network, NetworkPeers, NetworkStore

__all__ = ["Cluster", "Node", "AllowedStart"]

SAMPLE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AllowedStart:
    """A moment at which a scheduler was allowed to start tasks in its zone."""

    zone: str
    at: float


class Node:
    """A gate or scheduler, reduced to the parts that handle configuration and membership."""

    def __init__(self, network: Network, name: str, role: Role, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.role = role
        self.metrics = Metrics()
        self.store = NetworkStore(network, name)
        self.peers = NetworkPeers(network, name)
        self.configuration_cache = ConfigurationCache(self.store, self.metrics)
        self.registry = MemberRegistry(self.store, Member(name, role, zone, name))
        self.refresher = ConfigurationRefresher(
            self.configuration_cache,
            self.registry,
            self.peers,
            self.metrics,
            lambda: list(network.handlers_by_address),
        )
        self.admission = GateAdmission(self.registry, self.peers)
        self.outstanding = OutstandingPatches() if role is Role.GATE else None
        self.peer_handler = PeerRequestHandler(
            self.store, self.configuration_cache, self.registry, self.outstanding
        )
        self.tasks: list[asyncio.Task[None]] = []
        if self.outstanding is not None:
            self.patcher = ConfigurationPatcher(
                self.store,
                self.configuration_cache,
                self.registry,
                self.admission,
                self.outstanding,
            )


class Cluster:
    """Nodes on one network; records their starts, their versions and the accepted versions.

    Attributes:
        allowed_starts: each sample at which a scheduler was allowed to start tasks.
        versions_by_node: (time, version) whenever a node began to use another version.
        accepted_services: the services named in any accepted version.
        accepted: (time, version, zones in service) of each version written to the store.
    """

    def __init__(self, zones: int = 2, gates: int = 2, schedulers: int = 1, seed: int = 1) -> None:
        self.network = Network(seed)
        self.nodes_by_name: dict[str, Node] = {}
        self.allowed_starts: list[AllowedStart] = []
        self.versions_by_node: dict[str, list[tuple[float, int]]] = {}
        self.accepted: list[tuple[float, int, frozenset[str]]] = []
        self.accepted_services: set[str] = set()
        self._watch: asyncio.Task[None] | None = None
        self._shape = (zones, gates, schedulers)

    async def start(self) -> None:
        """Starts every node, then brings all zones into service with a first patch."""
        zones, gates, schedulers = self._shape
        self._watch = asyncio.create_task(self._record_accepted())
        for zone in range(zones):
            for number in range(gates):
                self.add(f"g{zone}{number}", Role.GATE, f"z{zone}")
            for number in range(schedulers):
                self.add(f"s{zone}{number}", Role.SCHEDULER, f"z{zone}")
        await asyncio.sleep(5)
        patch = {"zones": {f"z{zone}": {"in_service": True} for zone in range(zones)}}
        (await self.patch("g00", 0, patch)).unwrap()
        await asyncio.sleep(5)

    def add(self, name: str, role: Role, zone: str) -> Node:
        """Starts a node and attaches it to the network."""
        node = Node(self.network, name, role, zone)
        self.nodes_by_name[name] = node
        self.versions_by_node[name] = []
        self.network.handlers_by_address[name] = node.peer_handler
        loops = [node.registry.run(), node.refresher.run(), self._observe(node)]
        if role is Role.GATE:
            loops.append(node.admission.run())
        node.tasks = [asyncio.create_task(loop) for loop in loops]
        return node

    def kill(self, name: str) -> None:
        """Kills a node: its registration stays until its lease expires."""
        node = self.nodes_by_name.pop(name)
        del self.network.handlers_by_address[name]
        for task in node.tasks:
            task.cancel()

    def stop(self) -> None:
        """Kills every node and stops recording."""
        for name in list(self.nodes_by_name):
            self.kill(name)
        if self._watch is not None:
            self._watch.cancel()

    async def patch(self, gate: str, version: int, patch: dict, key: str = ""):  # type: ignore
        """Sends a patch to a gate."""
        return await self.nodes_by_name[gate].patcher.patch(PatchRequest(key, version, patch))

    def allowed_starts_between(self, zone: str, begin: float, end: float) -> int:
        """Returns the number of starts in a zone with begin <= time < end."""
        return sum(s.zone == zone and begin <= s.at < end for s in self.allowed_starts)

    async def _observe(self, node: Node) -> None:
        loop = asyncio.get_running_loop()
        seen = self.versions_by_node[node.name]
        while True:
            version = node.configuration_cache.current.version
            if not seen or seen[-1][1] != version:
                seen.append((loop.time(), version))
            is_frozen = node.name in self.network.frozen
            if node.role is Role.SCHEDULER and not is_frozen and self._may_start(node):
                self.allowed_starts.append(AllowedStart(node.zone, loop.time()))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _may_start(self, node: Node) -> bool:
        now = asyncio.get_running_loop().time()
        configuration_cache = node.configuration_cache
        return configuration_cache.freshness.is_fresh(
            now
        ) and configuration_cache.current.is_in_service(node.zone)

    async def _record_accepted(self) -> None:
        async for event in self.network.store.watch(CONFIGURATION_KEY, 0):
            if event.entry is None:
                continue
            stored = json.loads(event.entry.value)
            zones = stored["configuration"]["zones"].items()
            in_service = frozenset(name for name, zone in zones if zone["in_service"])
            now = asyncio.get_running_loop().time()
            self.accepted_services |= set(stored["configuration"]["services"])
            self.accepted.append((now, stored["version"], in_service))
