"""The system size in two years, and the limits that the capacity page compares it with."""

import dataclasses

__all__ = ["LIMITS", "TARGET", "Limits", "Target"]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The expected size of the system.

    Attributes:
        zones: availability zones.
        regions: groups of zones.
        workers: workers of all zones.
        service_tasks: latency-critical tasks that run at the same time.
        batch_tasks: batch tasks that run at the same time.
        starts_per_s: task starts per second at the peak, in all zones.
        jobs_per_day: batch jobs submitted per day.
        changes_per_day: configuration patches accepted per day.
        entry_vms_per_zone: VMs that run one gate and one scheduler process each.
        shards_per_zone: configured number of shards of each zone.
        queued_tasks_per_zone: queued tasks at the peak.
        replacements_per_day: VMs restarted or replaced per day.
    """

    zones: int = 10
    regions: int = 5
    workers: int = 3_300
    service_tasks: int = 12_000
    batch_tasks: int = 30_000
    starts_per_s: int = 860
    jobs_per_day: int = 22_000
    changes_per_day: int = 15_000
    entry_vms_per_zone: int = 8
    shards_per_zone: int = 4
    queued_tasks_per_zone: int = 10_000
    replacements_per_day: int = 1_100

    @property
    def shards(self) -> int:
        """Shards of all zones."""
        return self.zones * self.shards_per_zone

    @property
    def workers_per_shard(self) -> float:
        """Workers of one shard."""
        return self.workers / self.shards

    @property
    def starts_per_shard_s(self) -> float:
        """Task starts per second of one shard at the peak."""
        return self.starts_per_s / self.shards

    @property
    def tasks_per_worker(self) -> float:
        """Tasks that run on one worker at the same time."""
        return (self.service_tasks + self.batch_tasks) / self.workers

    @property
    def entry_vms(self) -> int:
        """Entry VMs of all zones."""
        return self.zones * self.entry_vms_per_zone

    @property
    def changes_per_s(self) -> float:
        """Configuration patches accepted per second, on average."""
        return self.changes_per_day / 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Upper limits of the control overhead of a node and of the load on the store.

    Attributes:
        node_core_share: processor time for control on a node, as a share of one core.
        node_memory_mb: memory for control on a node, in MB.
        node_bytes_per_s: control traffic of a node, in bytes per second.
        store_writes_per_s: store writes per second, lease renewals included; the lower end of
            "several hundred".
        store_reads_per_s: store reads per second; an open watch counts as one.
        value_bytes: largest value that the store accepts, in bytes.
    """

    node_core_share: float = 0.012
    node_memory_mb: float = 128.0
    node_bytes_per_s: float = 10_000.0
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2_000.0
    value_bytes: int = 1_000_000


TARGET = Target()
LIMITS = Limits()
