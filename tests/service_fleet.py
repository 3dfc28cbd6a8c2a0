"""Gates, slot grantors and backend servers of several zones, in memory on the loop's clock."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any

from pollengate.backend_client import BackendResponse
from pollengate.configuration import Configuration, Limits, Service
from pollengate.memory_backend import MemoryBackend, MemoryBackendClient
from pollengate.memory_store import MemoryStore
from pollengate.ownership import Owner
from pollengate.refusals import Refusal
from pollengate.slots import SlotGrantor, SlotReply, SlotRequest
from pollengate.virtual_machines import VirtualMachine, VmKind, VmState
from pollengate_net.calls import CallFailure
from pollengated.configuration_cache import ConfigurationCache
from pollengated.metrics import Metrics
from pollengated.owner_directory import OwnerDirectory
from pollengated.service_proxy import ServiceProxy, ServiceRequest
from pollengated.slot_manager import SlotManager
from pollengated.vm_directory import VmDirectory
from result import Err, Ok, Result

__all__ = ["SERVICE", "FleetGate", "ServiceFleet", "build_request", "exponential"]

SERVICE = "scoring"
HOP_LATENCY_S = 0.001
_request_numbers = itertools.count(1)


def exponential(mean_s: float, seed: int) -> Callable[[], float]:
    """Returns a function that draws exponentially distributed times, in seconds."""
    generator = random.Random(seed)
    return lambda: generator.expovariate(1 / mean_s)


async def _never() -> None:
    await asyncio.get_running_loop().create_future()


def build_request(
    is_idempotent: bool = True,
    timeout_ms: int | None = None,
    wait_for_disconnect: Callable[[], Awaitable[None]] = _never,
) -> ServiceRequest:
    """Returns a request with a new id."""
    return ServiceRequest(
        request_id=f"r{next(_request_numbers)}",
        service=SERVICE,
        method=b"GET" if is_idempotent else b"POST",
        target=b"/services/scoring/standings",
        headers=(),
        body=b"",
        timeout_ms=timeout_ms,
        is_idempotent=is_idempotent,
        wait_for_disconnect=wait_for_disconnect,
    )


class FleetGate:
    """One gate; if `is_cut` is True, its slot requests get no reply."""

    def __init__(self, fleet: "ServiceFleet", gate_id: str, zone: str) -> None:
        self.fleet = fleet
        self.is_cut = False
        self.metrics = Metrics()
        configuration_cache = ConfigurationCache(MemoryStore(), self.metrics)
        configuration_cache.current = fleet.configuration
        self.configuration_cache = configuration_cache
        self.slot_manager = SlotManager(gate_id, zone, fleet.directory, fleet.vms, self)
        client = MemoryBackendClient(fleet.backends_by_address, HOP_LATENCY_S)
        self.proxy = ServiceProxy(
            zone, configuration_cache, fleet.vms, self.slot_manager, client, self.metrics
        )
        self.renewing = asyncio.create_task(self.slot_manager.run())

    async def request_slots(
        self, address: str, request: SlotRequest, zone: str, epoch: int
    ) -> Result[SlotReply, CallFailure]:
        """Delivers a slot request to the zone's grantor and returns the reply."""
        await asyncio.sleep(HOP_LATENCY_S)
        grantor = self.fleet.grantors_by_zone.get(zone)
        if grantor is None or self.is_cut:
            await asyncio.sleep(0.5)
            return Err(CallFailure(True, "no answer"))
        now = asyncio.get_running_loop().time()
        slots = {vm.vm_id: self.fleet.slots for vm in self.fleet.vms.backends_in(zone)}
        reply = grantor.handle(request, slots, now)
        await asyncio.sleep(HOP_LATENCY_S)
        return Ok(reply)

    async def send(self, **fields: Any) -> Result[BackendResponse, Refusal]:
        """Sends one request, built from the arguments of `build_request`."""
        return await self.proxy.send(build_request(**fields))

    def kill(self) -> None:
        """Kills the gate; its slots are not returned."""
        self.renewing.cancel()


class ServiceFleet:
    """Gates with the slot grantors, backend servers and directories that they use."""

    def __init__(
        self,
        backends_per_zone: int = 10,
        gates_per_zone: int = 3,
        zones: tuple[str, ...] = ("a",),
        slots: int = 8,
    ) -> None:
        self.slots = slots
        service = Service(slots=slots)
        self.configuration = Configuration(1, {}, {SERVICE: service}, {}, Limits())
        self.machines_by_id: dict[str, VirtualMachine] = {}
        self.backends_by_address: dict[str, MemoryBackend] = {}
        self.grantors_by_zone: dict[str, SlotGrantor] = {}
        self.vms = VmDirectory(None)  # type: ignore[arg-type]
        self.directory = OwnerDirectory(MemoryStore())
        self._gates_per_zone = gates_per_zone
        self._zones = zones
        for zone, number in itertools.product(zones, range(backends_per_zone)):
            self._add_backend(zone, f"{zone}{number}")
        self.list_machines()
        self.gates: list[FleetGate] = []

    async def start(self, settle_s: float = 2.0) -> None:
        """Starts the grantors and gates, and waits `settle_s` for slots to be granted."""
        now = asyncio.get_running_loop().time()
        for zone in self._zones:
            self.grantors_by_zone[zone] = SlotGrantor(now, is_first=True)
            self.directory._owners_by_shard[zone, 0] = Owner(zone, 0, f"s-{zone}", zone, 1)
        for zone, number in itertools.product(self._zones, range(self._gates_per_zone)):
            self.gates.append(FleetGate(self, f"gate-{zone}{number}", zone))
        await asyncio.sleep(settle_s)

    async def stop(self) -> None:
        """Kills every gate."""
        for gate in self.gates:
            gate.kill()
        await asyncio.sleep(0)

    def list_machines(self) -> None:
        """Makes the VM directory list the current machines."""
        self.vms._machines = tuple(self.machines_by_id.values())
        self.vms._index_backends()

    def backend(self, backend_id: str) -> MemoryBackend:
        """Returns a backend server by its VM id."""
        return self.backends_by_address[self.machines_by_id[backend_id].address]

    def executions(self) -> dict[str, int]:
        """Returns how often the backend servers executed each request, by request id."""
        total: dict[str, int] = {}
        for backend in self.backends_by_address.values():
            for request_id, count in backend.executions_by_id.items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def refused(self) -> int:
        """Returns how many requests reached a backend server that had no free slot."""
        return sum(backend.refused for backend in self.backends_by_address.values())

    def _add_backend(self, zone: str, vm_id: str) -> None:
        address = f"{vm_id}:80"
        self.machines_by_id[vm_id] = VirtualMachine(
            vm_id, zone, f"{zone}-r0", VmKind.BACKEND, VmState.LIVE, address, SERVICE
        )
        self.backends_by_address[address] = MemoryBackend(
            self.slots, exponential(0.02, len(self.backends_by_address))
        )
