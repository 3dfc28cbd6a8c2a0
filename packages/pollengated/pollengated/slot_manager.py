"""Renews a gate's grants of backend servers' slots in each zone that it sends requests to."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from pollengate.slots import GateSlots, SlotReply, SlotRequest, slot_reserve, spread_evenly
from pollengate_net.calls import CallFailure
from result import Err, Result

from pollengated.logs import Log
from pollengated.owner_directory import OwnerDirectory
from pollengated.vm_directory import VmDirectory

__all__ = ["SlotManager", "SlotRequester"]

RENEW_INTERVAL_S = 0.2
# The owner of this shard grants the slots of its zone.
GRANTING_SHARD = 0
DEMAND_DECAY_FACTOR = 0.9
# A gate that has just started reports ready after this time even if it got no slots.
FIRST_SLOTS_TIMEOUT_S = 10.0
# Time after the last demand for slots of another zone until the gate stops renewing them.
REMOTE_ZONE_IDLE_S = 5.0


class SlotRequester(Protocol):
    """Client of the processes that grant slots."""

    async def request_slots(
        self, address: str, request: SlotRequest, zone: str, epoch: int
    ) -> Result[SlotReply, CallFailure]:
        """Requests slots of `zone` from its owner at `address`, which rejects another epoch."""
        ...


class SlotManager:
    """The gate's slots in every zone.

    Attributes:
        is_configured: returns whether the named service is configured.
        on_granted: called after each reply to a renewal.
        count_waiting: returns how many requests for the named service wait for a slot.
    """

    def __init__(
        self,
        gate_id: str,
        zone: str,
        directory: OwnerDirectory,
        vms: VmDirectory,
        requester: SlotRequester,
    ) -> None:
        self.on_granted: Callable[[], None] = lambda: None
        self.count_waiting: Callable[[str], int] = lambda _: 0
        self.is_configured: Callable[[str], bool] = lambda _: True
        self._gate_id = gate_id
        self._zone = zone
        self._directory = directory
        self._vms = vms
        self._requester = requester
        self._slots_by_zone: dict[str, GateSlots] = {zone: GateSlots(gate_id)}
        self._remote_use_until_by_zone: dict[str, float] = {}
        self._demand_by_service: dict[tuple[str, str], float] = {}
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._started_at: float | None = None
        self._has_had_slots = False
        self._log = Log("slots")

    def slots(self, zone: str) -> GateSlots:
        """Returns the gate's slots in a zone, creating an empty entry if there is none."""
        slots = self._slots_by_zone.get(zone)
        if slots is None:
            slots = self._slots_by_zone[zone] = GateSlots(self._gate_id)
        return slots

    def not_ready_reason(self) -> str:
        """Returns why a gate that has just started is not ready, empty if it is ready.

        A gate that got no slots within `FIRST_SLOTS_TIMEOUT_S` is ready nevertheless, because it
        can use slots of other zones.
        """
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
        backends = self._vms.backends_in(self._zone)
        slots = self.slots(self._zone)
        self._has_had_slots |= any(slots.get_or_create(vm.vm_id).free(now) for vm in backends)
        if self._has_had_slots or now > self._started_at + FIRST_SLOTS_TIMEOUT_S:
            return ""
        is_needed = any(self.is_configured(vm.service) for vm in backends)
        return "no slots yet" if is_needed else ""

    def request_remote_slots(self, zone: str) -> None:
        """Requests slots in another zone now and for the next `REMOTE_ZONE_IDLE_S` seconds."""
        now = asyncio.get_running_loop().time()
        is_new = self._remote_use_until_by_zone.get(zone, 0.0) < now
        self._remote_use_until_by_zone[zone] = now + REMOTE_ZONE_IDLE_S
        if is_new:
            self._wake.set()

    async def run(self) -> None:
        """Renews the grants of all zones in use until cancelled."""
        while True:
            await asyncio.gather(*(self.renew(zone) for zone in self._zones_in_use()))
            self._wake.clear()
            try:
                async with asyncio.timeout(RENEW_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def renew(self, zone: str) -> bool:
        """Renews the grants of a zone once; returns whether its owner replied."""
        owner = self._directory.find(zone, GRANTING_SHARD)
        if owner is None:
            return False
        slots = self.slots(zone)
        now = asyncio.get_running_loop().time()
        request = slots.next_request({} if self._is_stopping else self._wanted_slots(zone), now)
        reply = await self._requester.request_slots(owner.address, request, zone, owner.epoch)
        if isinstance(reply, Err):
            self._log.warning(
                "slot grants not renewed; the current ones stay in use until they expire",
                zone=zone,
                detail=reply.err_value.detail,
            )
            return False
        if slots.apply_reply(reply.ok_value):
            self._wake.set()
        self.on_granted()
        return True

    async def release_all(self) -> None:
        """Releases all slots that no request uses."""
        self._is_stopping = True
        await asyncio.gather(*(self.renew(zone) for zone in self._slots_by_zone))

    def _wanted_slots(self, zone: str) -> dict[str, int]:
        slots = self.slots(zone)
        ids_by_service: dict[str, list[str]] = {}
        for vm in self._vms.backends_in(zone):
            ids_by_service.setdefault(vm.service, []).append(vm.vm_id)
        slots_by_backend: dict[str, int] = {}
        for service, backend_ids in ids_by_service.items():
            in_use_count = sum(slots.get_or_create(backend_id).in_use for backend_id in backend_ids)
            demand = in_use_count + self.count_waiting(service) + slot_reserve(in_use_count)
            key = (zone, service)
            # The demand decreases slowly, so that slots do not oscillate between gates.
            decayed_demand = DEMAND_DECAY_FACTOR * self._demand_by_service.get(key, 0.0)
            self._demand_by_service[key] = max(float(demand), decayed_demand)
            slots_by_backend |= spread_evenly(math.ceil(self._demand_by_service[key]), backend_ids)
        return slots_by_backend

    def _zones_in_use(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        return [
            zone
            for zone, slots in self._slots_by_zone.items()
            if zone == self._zone
            or self._remote_use_until_by_zone.get(zone, 0.0) > now
            or any(one.in_use for one in slots.slots_by_backend.values())
        ]
