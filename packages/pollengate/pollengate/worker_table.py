"""Workers of one shard: their attachment, leases and availability for placement."""

from collections.abc import Iterable

from pollengate.jobs import Resources
from pollengate.placement import Placement
from pollengate.virtual_machines import VirtualMachine, VmState
from pollengate.worker import Heartbeat
from pollengate.worker_entry import WORKER_LEASE_S, StopOrder, WorkerEntry, WorkerState

__all__ = ["WorkerTable"]


class WorkerTable:
    """Table of a shard's workers; it informs placement which of them may start tasks.

    Attributes:
        by_id: entries of the workers.
        detached: ids of the workers that must be attached.
        unrecorded: ids of the attached workers that the ledger does not name yet.
        with_pending_stops: ids of the workers that have pending stop orders.
    """

    def __init__(self, placement: Placement) -> None:
        self.by_id: dict[str, WorkerEntry] = {}
        self.detached: dict[str, None] = {}
        self.unrecorded: dict[str, None] = {}
        self.with_pending_stops: dict[str, None] = {}
        self._placement = placement
        self._unlisted: set[str] = set()
        self._next_scan_at = 0.0

    def add(self, vm: VirtualMachine, previous_leases_expire_at: float) -> WorkerEntry:
        """Returns the entry of a worker, a new one if it has none.

        Args:
            vm: the worker's VM.
            previous_leases_expire_at: loop time by which all leases given by an earlier owner
                have expired.
        """
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
        """Applies a VM listing; an empty one changes nothing.

        Returns:
            Entries of the workers that are leaving.
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
        """Returns a new, unique session number for the next attach call to a worker."""
        entry = self.by_id[worker_id]
        entry.session += 1
        return entry.session

    def attach(self, entry: WorkerEntry, now: float) -> None:
        """Marks a worker as attached after it has reported all its tasks."""
        entry.transition("attached")
        self.detached.pop(entry.vm.vm_id, None)
        entry.last_heartbeat_number = -1
        entry.has_lease = False
        self._extend_lease(entry, now)
        if not entry.is_recorded:
            self.unrecorded[entry.vm.vm_id] = None

    def detach(self, entry: WorkerEntry, event: str) -> None:
        """Marks a worker as detached; it must be attached again before it may start tasks.

        Args:
            entry: the worker.
            event: the event of `charts/worker.yaml` that detaches it.
        """
        entry.transition(event)
        entry.has_lease = False
        self.detached[entry.vm.vm_id] = None
        self.unrecorded.pop(entry.vm.vm_id, None)
        self.update_schedulable(entry)

    def renew(self, heartbeat: Heartbeat, now: float) -> bool:
        """Renews a worker's lease.

        Returns:
            False if the worker is not attached or the heartbeat belongs to another session or is
            no newer than the last one.
        """
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
        """Marks workers that the ledger now names as possible holders of leases."""
        for worker_id in worker_ids:
            self.unrecorded.pop(worker_id, None)
            entry = self.by_id.get(worker_id)
            if entry is not None:
                entry.is_recorded = True
                self.update_schedulable(entry)

    def vms_to_record(self) -> list[VirtualMachine]:
        """Returns the VMs of all workers, since each of them may hold a lease."""
        return [entry.vm for entry in self.by_id.values()]

    def find_expired(self, now: float) -> list[WorkerEntry]:
        """Returns the workers whose leases have expired on every clock.

        The table is scanned only once a lease can have expired.
        """
        if now < self._next_scan_at:
            return []
        self._next_scan_at = now + WORKER_LEASE_S
        expired = []
        for entry in self.by_id.values():
            if now < entry.lease_expires_at:
                self._next_scan_at = min(self._next_scan_at, entry.lease_expires_at)
            else:
                expired.append(entry)
        return expired

    def forget_unlisted(self, entry: WorkerEntry) -> None:
        """Removes an expired worker without tasks if the VM listing no longer names it."""
        worker_id = entry.vm.vm_id
        if worker_id not in self._unlisted or entry.task_ids:
            return
        self._unlisted.discard(worker_id)
        del self.by_id[worker_id]
        for worker_ids in (self.detached, self.unrecorded, self.with_pending_stops):
            worker_ids.pop(worker_id, None)

    def add_stop_order(self, task_id: str, worker_id: str, order: StopOrder) -> None:
        """Adds a stop order for a worker."""
        self.by_id[worker_id].stops_by_task[task_id] = order
        self.with_pending_stops[worker_id] = None

    def add_task(self, task_id: str, worker_id: str) -> None:
        """Records that a task runs or may run on a worker."""
        self.by_id[worker_id].task_ids.add(task_id)

    def remove_task(self, task_id: str, worker_id: str) -> None:
        """Records that a task has certainly left a worker, and removes its stop order."""
        entry = self.by_id.get(worker_id)
        if entry is None:
            return
        entry.task_ids.discard(task_id)
        if entry.stops_by_task.pop(task_id, None) is not None and not entry.stops_by_task:
            self.with_pending_stops.pop(worker_id, None)

    def update_schedulable(self, entry: WorkerEntry) -> None:
        """Makes a worker schedulable or unschedulable in the placement, as its state requires."""
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
        self._next_scan_at = min(self._next_scan_at, entry.lease_expires_at)


def _capacity(vm: VirtualMachine) -> Resources:
    return Resources(vm.cores, vm.memory_mb, vm.accelerators)
