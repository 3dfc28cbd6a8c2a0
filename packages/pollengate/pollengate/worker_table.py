"""The workers of one shard: who is attached, recorded, offered and lapsed."""

from collections.abc import Iterable

from pollengate.jobs import Resources
from pollengate.placement import Placement
from pollengate.virtual_machines import VirtualMachine, VmState
from pollengate.worker import Heartbeat
from pollengate.worker_entry import WORKER_LEASE_S, StopOrder, WorkerEntry, WorkerState

__all__ = ["WorkerTable"]


class WorkerTable:
    """Keeps one book per worker and offers those to placement that may start tasks.

    Attributes:
        by_id: the books.
        detached: workers that have to be attached.
        unrecorded: attached workers that the ledger does not name yet.
        with_pending_stops: workers that still have attempts to stop.
    """

    def __init__(self, placement: Placement) -> None:
        self.by_id: dict[str, WorkerEntry] = {}
        self.detached: dict[str, None] = {}
        self.unrecorded: dict[str, None] = {}
        self.with_pending_stops: dict[str, None] = {}
        self._placement = placement
        self._unlisted: set[str] = set()
        self._next_scan = 0.0

    def add(self, vm: VirtualMachine, previous_leases_expire_at: float) -> WorkerEntry:
        """Returns the book of a worker, a new one if it has none."""
        entry = self.by_id.get(vm.vm_id)
        if entry is None:
            entry = WorkerEntry(vm, previous_leases_expire_at)
            self.by_id[vm.vm_id] = entry
            self.detached[vm.vm_id] = None
            self._placement.add_worker(vm.vm_id, vm.rack, _capacity(vm))
            self._placement.remove_worker(vm.vm_id)
        return entry

    def apply_vm_listing(
        self, machines: Iterable[VirtualMachine], previous_leases_expire_at: float
    ) -> list[WorkerEntry]:
        """Takes in a VM listing; an empty one changes nothing.

        Returns:
            Books of the workers that are leaving.
        """
        listed = {vm.vm_id: vm for vm in machines}
        for vm in listed.values():
            entry = self.add(vm, previous_leases_expire_at)
            entry.vm = vm
            self.update_schedulable(entry)
        if listed:
            self._unlisted = self.by_id.keys() - listed.keys()
            for worker_id in self._unlisted:
                self.update_schedulable(self.by_id[worker_id])
        return [entry for entry in self.by_id.values() if entry.vm.state is VmState.LEAVING]

    def next_session(self, worker_id: str) -> int:
        """Returns the session of the next attach call to a worker; none is used twice."""
        entry = self.by_id[worker_id]
        entry.session += 1
        return entry.session

    def attach(self, entry: WorkerEntry, now: float) -> None:
        """Takes note that a worker reported all that runs on it."""
        entry.transition("attached")
        self.detached.pop(entry.vm.vm_id, None)
        entry.last_heartbeat_number = -1
        entry.has_lease = False
        self._extend_lease(entry, now)
        if not entry.is_recorded:
            self.unrecorded[entry.vm.vm_id] = None

    def detach(self, entry: WorkerEntry, event: str) -> None:
        """Takes note that a worker has to be attached again before it starts anything."""
        entry.transition(event)
        entry.has_lease = False
        self.detached[entry.vm.vm_id] = None
        self.unrecorded.pop(entry.vm.vm_id, None)
        self.update_schedulable(entry)

    def renew(self, heartbeat: Heartbeat, now: float) -> bool:
        """Renews a lease; False for a heartbeat of another session, or an older one."""
        entry = self.by_id.get(heartbeat.worker_id)
        if entry is None or entry.state is not WorkerState.ATTACHED:
            return False
        if heartbeat.session != entry.session or heartbeat.number <= entry.last_heartbeat_number:
            return False
        entry.transition("renewed")
        entry.last_heartbeat_number = heartbeat.number
        entry.has_lease = True
        self._extend_lease(entry, now)
        self.update_schedulable(entry)
        return True

    def mark_recorded(self, worker_ids: Iterable[str]) -> None:
        """Takes note that the ledger names workers as possible holders of leases."""
        for worker_id in worker_ids:
            self.unrecorded.pop(worker_id, None)
            entry = self.by_id.get(worker_id)
            if entry is not None:
                entry.is_recorded = True
                self.update_schedulable(entry)

    def machines_to_record(self) -> list[VirtualMachine]:
        """Returns every worker that may hold a lease."""
        return [entry.vm for entry in self.by_id.values()]

    def pop_expired(self, now: float) -> list[WorkerEntry]:
        """Returns the workers whose leases have lapsed on every clock."""
        if now < self._next_scan:
            return []
        self._next_scan = now + WORKER_LEASE_S
        expired = []
        for entry in self.by_id.values():
            if now < entry.lease_expires_at:
                self._next_scan = min(self._next_scan, entry.lease_expires_at)
            else:
                expired.append(entry)
        return expired

    def forget_unlisted(self, entry: WorkerEntry) -> None:
        """Drops the book of a lapsed worker that the VM list no longer names."""
        worker_id = entry.vm.vm_id
        if worker_id not in self._unlisted or entry.task_ids:
            return
        self._unlisted.discard(worker_id)
        del self.by_id[worker_id]
        for names in (self.detached, self.unrecorded, self.with_pending_stops):
            names.pop(worker_id, None)

    def add_stop_order(self, task_id: str, worker_id: str, order: StopOrder) -> None:
        """Remembers an attempt that a worker has to stop."""
        self.by_id[worker_id].stops_by_task[task_id] = order
        self.with_pending_stops[worker_id] = None

    def add_task(self, task_id: str, worker_id: str) -> None:
        """Takes note that a task runs on a worker or may run there."""
        self.by_id[worker_id].task_ids.add(task_id)

    def remove_task(self, task_id: str, worker_id: str) -> None:
        """Takes note that a task has surely left a worker."""
        entry = self.by_id.get(worker_id)
        if entry is None:
            return
        entry.task_ids.discard(task_id)
        if entry.stops_by_task.pop(task_id, None) is not None and not entry.stops_by_task:
            self.with_pending_stops.pop(worker_id, None)

    def update_schedulable(self, entry: WorkerEntry) -> None:
        """Offers a worker to placement or withdraws it."""
        worker_id = entry.vm.vm_id
        should_schedule = entry.may_start and worker_id not in self._unlisted
        if should_schedule == entry.is_schedulable:
            return
        entry.is_schedulable = should_schedule
        if should_schedule:
            self._placement.add_worker(worker_id, entry.vm.rack, _capacity(entry.vm))
        else:
            self._placement.remove_worker(worker_id)

    def _extend_lease(self, entry: WorkerEntry, now: float) -> None:
        entry.extend_lease(now)
        self._next_scan = min(self._next_scan, entry.lease_expires_at)


def _capacity(vm: VirtualMachine) -> Resources:
    return Resources(vm.cores, vm.memory_mb, vm.accelerators)
