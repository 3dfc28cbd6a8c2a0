"""Routing: admits the requests of one service and chooses a backend server for each."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok, Result

from pollengate.admission import QueueBudget, ServiceQueue, Waiter, queue_full_refusal
from pollengate.backend_health import ServiceHealth
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.slots import GateSlots
from pollengate.virtual_machines import VirtualMachine

__all__ = ["ServiceRouter"]

# Size of the random sample that is tried before all backend servers of the gate's zone.
SAMPLED_BACKENDS = 8
# Number of requests at the head of a queue that are considered for a free slot.
MAX_HEAD_REQUESTS = 8
RETRY_AFTER_S = 1.0
# How long a request that may leave its zone waits for a slot.
SPILLOVER_WAIT_S = 0.5
MAX_SPILLOVER_REQUESTS = 128
# How long no further request may leave its zone after one has found no slot in any zone.
SPILLOVER_PAUSE_S = 1.0

ListBackends = Callable[[], list[VirtualMachine]]
FindSlots = Callable[[str], GateSlots]


class ServiceRouter:
    """Admits the requests of one service and assigns slots to them.

    Slots of other zones are used only by requests that would miss their deadline in the gate's
    own zone or can't get a slot there at all.

    Attributes:
        queue: requests that may only use slots of the gate's zone.
        spillover: requests that may use slots of every zone.
        health: health of the service's backend servers.
    """

    def __init__(
        self,
        zone: str,
        list_backends: ListBackends,
        find_slots: FindSlots,
        budget: QueueBudget,
        queues: list[ServiceQueue],
        generator: random.Random,
    ) -> None:
        """Creates the router.

        Args:
            zone: the gate's zone.
            list_backends: returns the service's live backend servers in all zones.
            find_slots: returns the gate's slots in a zone.
            budget: limit over all queues of the gate.
            queues: all queues of the gate; the two of this service are appended.
            generator: a seeded generator.
        """
        self.queue = ServiceQueue()
        self.spillover = ServiceQueue()
        self.health = ServiceHealth()
        self._zone = zone
        self._list_backends = list_backends
        self._find_slots = find_slots
        self._budget = budget
        self._queues = queues
        self._generator = generator
        self._spillover_paused_until = 0.0
        queues.extend((self.queue, self.spillover))

    def offer(self, waiter: Waiter) -> Result[VirtualMachine, Refusal] | None:
        """Assigns a slot to a request, refuses it or queues it.

        The caller must free an assigned slot with `release`.

        Returns:
            The backend server, the refusal, or None if the request is queued; `wait` then
            returns its result.
        """
        refusal = self._admit(waiter)
        if refusal is not None:
            return Err(refusal)
        self.assign_free_slots()
        return waiter.slot.result() if waiter.slot.done() else None

    async def wait(self, waiter: Waiter) -> Result[VirtualMachine, Refusal]:
        """Waits until a queued request gets a slot or is refused.

        If the call is cancelled, the request is removed from the queue, and a slot that it has
        already got is released.
        """
        end = waiter.deadline - self.queue.times.mean_s
        if waiter.may_use_other_zones:
            end = min(end, asyncio.get_running_loop().time() + SPILLOVER_WAIT_S)
        timer = asyncio.get_running_loop().call_at(end, self._time_out, waiter)
        try:
            return await asyncio.shield(waiter.slot)
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise
        finally:
            timer.cancel()

    def release(self, vm: VirtualMachine) -> None:
        """Frees a slot and assigns it to a queued request."""
        self._find_slots(vm.zone).release(vm.vm_id)
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assigns free slots to queued requests."""
        now = asyncio.get_running_loop().time()
        for queue in (self.queue, self.spillover):
            while self._assign_one_slot(queue, now):
                pass

    def _assign_one_slot(self, queue: ServiceQueue, now: float) -> bool:
        # A retried request may have no backend server left that it has not tried, while the
        # requests behind it still do.
        for waiter in queue.head(MAX_HEAD_REQUESTS):
            vm = self._choose_backend(waiter, now)
            if vm is not None:
                queue.remove(waiter)
                self._assign_slot(waiter, vm, now)
                return True
            if not waiter.tried_backends:
                return False
        return False

    def slots(self, now: float) -> int:
        """Returns the number of usable slots of the gate's zone, occupied ones included."""
        total = 0
        for vm in self._local_backends():
            if self.health.may_use(vm.vm_id, now, False):
                slots = self._find_slots(vm.zone).get_or_create(vm.vm_id)
                if now < slots.expires_at:
                    total += max(slots.in_use, min(slots.held, slots.target))
        return total

    def _admit(self, waiter: Waiter) -> Refusal | None:
        now = asyncio.get_running_loop().time()
        backends = self._list_backends()
        if not backends:
            detail = "the service has no live backend server"
            return Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND, detail, RETRY_AFTER_S)
        check = self.queue.check(waiter.deadline, self.slots(now), now)
        queue = self.queue
        if isinstance(check, Err):
            if not self._may_spill_over(waiter, backends, now):
                return check.err_value
            queue, waiter.may_use_other_zones = self.spillover, True
        if not self._budget.make_room(queue, self._queues):
            return queue_full_refusal()
        queue.push(waiter)
        return None

    def _may_spill_over(self, waiter: Waiter, backends: list[VirtualMachine], now: float) -> bool:
        has_remote = any(vm.zone != self._zone for vm in backends)
        is_open = (
            now >= self._spillover_paused_until and len(self.spillover) < MAX_SPILLOVER_REQUESTS
        )
        return has_remote and is_open and self.queue.can_meet_deadline(waiter.deadline, now)

    def _time_out(self, waiter: Waiter) -> None:
        if waiter.may_use_other_zones:
            now = asyncio.get_running_loop().time()
            self._spillover_paused_until = now + SPILLOVER_PAUSE_S
        self.queue.remove(waiter)
        self.spillover.remove(waiter)
        detail = "no slot of the service's backend servers became free in time"
        waiter.resolve(Err(Refusal(Outcome.NOT_RUN, Reason.NO_SLOT, detail, RETRY_AFTER_S)))

    def _cancel_wait(self, waiter: Waiter) -> None:
        self.queue.remove(waiter)
        self.spillover.remove(waiter)
        if waiter.slot.done() and isinstance(waiter.slot.result(), Ok):
            self.release(waiter.slot.result().unwrap())

    def _assign_slot(self, waiter: Waiter, vm: VirtualMachine, now: float) -> None:
        self._find_slots(vm.zone).occupy(vm.vm_id)
        self.health.begin_probe(vm.vm_id, now)
        waiter.resolve(Ok(vm))

    def _local_backends(self) -> list[VirtualMachine]:
        return [vm for vm in self._list_backends() if vm.zone == self._zone]

    def _choose_backend(self, waiter: Waiter, now: float) -> VirtualMachine | None:
        local = self._local_backends()
        if len(local) > SAMPLED_BACKENDS:
            sample = self._generator.sample(local, SAMPLED_BACKENDS)
            found = self._cheapest_backend(sample, waiter, now)
            if found is not None:
                return found
        found = self._cheapest_backend(local, waiter, now)
        if found is None and waiter.may_use_other_zones:
            remote = [vm for vm in self._list_backends() if vm.zone != self._zone]
            found = self._cheapest_backend(remote, waiter, now)
        return found

    def _cheapest_backend(
        self, backends: list[VirtualMachine], waiter: Waiter, now: float
    ) -> VirtualMachine | None:
        best, lowest = None, (float("inf"), 0.0)
        for vm in backends:
            slots = self._find_slots(vm.zone).get_or_create(vm.vm_id)
            if vm.vm_id in waiter.tried_backends or slots.free(now) == 0:
                continue
            if not self.health.may_use(vm.vm_id, now, waiter.is_idempotent):
                continue
            load = (slots.in_use + 1) * self.health.expected_s(vm.vm_id)
            cost = (load, self._generator.random())
            if cost < lowest:
                best, lowest = vm, cost
        return best
