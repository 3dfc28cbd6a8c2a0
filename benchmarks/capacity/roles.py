"""Computes the cost of each role at the target size from the measurements."""

import dataclasses

from benchmarks.capacity.measurements import Measurements
from benchmarks.capacity.sizes import Target

__all__ = ["RoleCost", "StoreTotals", "role_costs", "store_totals", "vm_list_bytes_per_s"]

HEARTBEATS_PER_S = 2.0
# One VM in the JSON of the platform's VM list.
VM_ENTRY_BYTES = 220
VM_LIST_READS_PER_S = 2.0
# A conditional request and its 304 response, which has no body.
NOT_MODIFIED_BYTES = 400
OWNER_ENTRY_BYTES = 140
PEER_MESSAGE_BYTES = 60
STORE_CALL_BYTES = 600
# Compressed, with 160 teams, 10 zones and 400 services (see benchmarks/patches.py).
CONFIGURATION_BYTES = 3_208


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCost:
    """The control overhead of one process or one worker.

    Attributes:
        name: name of the role.
        state: the data that it keeps.
        calls_per_s: calls per second, received and sent.
        bytes_per_s: bytes per second, received and sent, without those of the VM list.
        core_share: processor time as a share of one core; None if not measured.
        memory_mb: resident memory in MB; None if not measured or not used by this system.
        mitigation: the mechanism that limits the cost.
    """

    name: str
    state: str
    calls_per_s: float
    bytes_per_s: float
    core_share: float | None
    memory_mb: float | None
    mitigation: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTotals:
    """The load of the whole system on the store, in calls per second.

    Attributes:
        reads_by_source: reads and open watches.
        writes_by_source: writes and lease renewals.
    """

    reads_by_source: dict[str, float]
    writes_by_source: dict[str, float]

    @property
    def reads(self) -> float:
        """Reads and open watches of all sources."""
        return sum(self.reads_by_source.values())

    @property
    def writes(self) -> float:
        """Writes and lease renewals of all sources."""
        return sum(self.writes_by_source.values())


def heartbeat_bytes(m: Measurements, tasks: float) -> float:
    """Returns the bytes of one heartbeat of a worker with `tasks` tasks, and of its reply."""
    return m.framing.slope + m.messages["heartbeat"].at(tasks) + m.messages["start"].at(0) + 12


def start_bytes(m: Measurements) -> float:
    """Returns the bytes of a start order for one task, and of its reply."""
    sizes = m.messages["start"].slope + m.messages["start answer"].slope
    return m.framing.slope + sizes


def role_costs(m: Measurements, target: Target) -> list[RoleCost]:
    """Returns the cost of each role at the target size."""
    return [
        _worker(m, target),
        _owner(m, target),
        _standby(m, target),
        _gate(m, target),
        _exchange(m, target),
        _operators(m, target),
    ]


def store_totals(m: Measurements, target: Target) -> StoreTotals:
    """Returns the load on the store at the target size."""
    processes = 2 * target.entry_vms
    standbys = target.shards * (target.entry_vms_per_zone - 1)
    configuration = m.store.reads_by_process.at(target.entry_vms_per_zone) * target.zones / 5
    return StoreTotals(
        reads_by_source={
            "configuration, one reader a zone": configuration,
            "owner directories of gates": m.store.directory_reads * target.entry_vms,
            "owned shards": m.store.shard_reads * target.shards,
            "standbys": m.store.standby_reads * standbys,
            "waiting watches, one a shard and scheduler": float(
                target.shards * target.entry_vms_per_zone
            ),
            "submissions": target.jobs_per_day / 86_400,
        },
        writes_by_source={
            "ledgers of owned shards": m.store.shard_writes_by_start.at(target.starts_per_shard_s)
            * target.shards,
            "owner leases": m.store.shard_lease_calls * target.shards,
            "member leases": m.store.lease_calls_by_process.at(processes),
            "patches": m.store.writes_per_patch * target.changes_per_s,
            "submissions": target.jobs_per_day / 86_400,
        },
    )


def vm_list_bytes_per_s(target: Target) -> float:
    """Returns the bytes per second that one process reads of the platform's VM list.

    After each change the process reads the whole list; otherwise the response has no body.
    """
    # A replacement changes the list twice: the VM is leaving, then its successor takes its place.
    changes_per_s = 2 * target.replacements_per_day / 86_400
    whole = target.workers * VM_ENTRY_BYTES * changes_per_s
    return whole + VM_LIST_READS_PER_S * NOT_MODIFIED_BYTES


def _worker(m: Measurements, target: Target) -> RoleCost:
    starts = target.starts_per_s / target.workers
    sent = HEARTBEATS_PER_S * heartbeat_bytes(m, target.tasks_per_worker)
    return RoleCost(
        "worker (our calls)",
        "its tasks and unacknowledged reports",
        HEARTBEATS_PER_S + starts,
        sent + starts * start_bytes(m),
        m.processor.owner_by_worker.slope + starts * m.processor.owner_by_start.slope,
        None,
        "one heartbeat for all tasks; starts of one tick in one call",
    )


def _owner(m: Measurements, target: Target) -> RoleCost:
    workers, starts = target.workers_per_shard, target.starts_per_shard_s
    tasks = workers * target.tasks_per_worker
    queued = target.queued_tasks_per_zone / target.shards_per_zone
    heartbeat_traffic = workers * HEARTBEATS_PER_S * heartbeat_bytes(m, target.tasks_per_worker)
    ledger = m.store.shard_bytes_by_start.at(starts)
    state_bytes = m.memory.by_worker.slope * workers + m.memory.by_running.slope * tasks
    state_bytes += m.memory.by_queued.slope * queued
    return RoleCost(
        f"owner of a shard, 1 of {target.shards_per_zone} a zone",
        f"books of {workers:.0f} workers, {tasks:.0f} running and {queued:.0f} queued tasks",
        workers * HEARTBEATS_PER_S + starts + 4,
        heartbeat_traffic + starts * start_bytes(m) + ledger,
        m.processor.owner_by_worker.at(workers) + starts * m.processor.owner_by_start.slope,
        m.processor.owner_memory_mb + state_bytes / 1e6,
        "shards by a hash of the worker; group commit; books in memory only",
    )


def _standby(m: Measurements, target: Target) -> RoleCost:
    calls = target.shards_per_zone * (m.store.standby_reads + 1) + 2
    return RoleCost(
        "standby scheduler",
        "the configuration and the members of its zone",
        calls,
        calls * (PEER_MESSAGE_BYTES + m.framing.slope),
        m.processor.standby,
        m.processor.owner_memory_mb,
        "reads one key a shard; a watch for releases",
    )


def _gate(m: Measurements, target: Target) -> RoleCost:
    peers = m.store.peer_calls_by_process.at(2 * target.entry_vms_per_zone)
    owners = m.store.directory_reads * (target.shards * OWNER_ENTRY_BYTES + STORE_CALL_BYTES)
    return RoleCost(
        "gate, without requests",
        "the configuration, owners, grants of slots",
        peers + m.store.directory_reads + VM_LIST_READS_PER_S + 5,
        owners + peers * (PEER_MESSAGE_BYTES + m.framing.slope),
        m.processor.gate,
        m.processor.gate_memory_mb,
        "one reader of the configuration a zone; grants of slots for 8 s",
    )


def _exchange(m: Measurements, target: Target) -> RoleCost:
    calls = m.store.outage_peer_calls_by_pair.at(target.zones**2)
    # Measured with 4 gates per zone; the number of calls is proportional to the gates.
    calls *= target.entry_vms_per_zone / 4
    return RoleCost(
        "cross-zone exchange, all zones, only while the store is down",
        "promises of every gate, for 2 s at a time",
        calls,
        calls * (PEER_MESSAGE_BYTES + m.framing.slope),
        None,
        None,
        "no exchange between zones while the store answers",
    )


def _operators(m: Measurements, target: Target) -> RoleCost:
    patches = target.changes_per_s
    return RoleCost(
        "operators: patches, a process's share",
        f"a configuration of {CONFIGURATION_BYTES:,} bytes, compressed",
        patches * (m.store.writes_per_patch + 1),
        patches * CONFIGURATION_BYTES,
        None,
        None,
        "one read of a new version a zone, passed on compressed",
    )
