"""The size two years out that the capacity page answers for."""

import dataclasses

__all__ = ["LIMITS", "TARGET", "Limits", "Target"]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The expected size.

    Attributes:
        zones: availability zones.
        regions: groups of zones.
        workers: in all zones.
        service_tasks: latency-critical tasks that run at a time.
        batch_tasks: batch tasks that run at a time.
        starts_per_s: task starts at the peak, in all zones.
        jobs_per_day: batch jobs.
        changes_per_day: accepted patches.
        entry_vms_per_zone: VMs with one gate and one scheduler process each.
        shards_per_zone: a value of the configuration.
        queued_tasks_per_zone: tasks that wait at the peak.
        replacements_per_day: VMs restarted or replaced.
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
        """Returns the number of shards."""
        return self.zones * self.shards_per_zone

    @property
    def workers_per_shard(self) -> float:
        """Returns the workers of one shard."""
        return self.workers / self.shards

    @property
    def starts_per_shard_s(self) -> float:
        """Returns the starts of one shard at the peak."""
        return self.starts_per_s / self.shards

    @property
    def tasks_per_worker(self) -> float:
        """Returns the tasks that run on one worker."""
        return (self.service_tasks + self.batch_tasks) / self.workers

    @property
    def entry_vms(self) -> int:
        """Returns the entry VMs of all zones."""
        return self.zones * self.entry_vms_per_zone

    @property
    def changes_per_s(self) -> float:
        """Returns the accepted patches a second, on average."""
        return self.changes_per_day / 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a node and the store may be asked for.

    Attributes:
        node_core_share: processor time of a node for control, as a share of a core.
        node_memory_mb: memory of a node for control.
        node_bytes_per_s: traffic of a node for control.
        store_writes_per_s: the lower end of "several hundred".
        store_reads_per_s: reads, waiting watches counted.
        value_bytes: largest value of the store.
    """

    node_core_share: float = 0.012
    node_memory_mb: float = 128.0
    node_bytes_per_s: float = 10_000.0
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2_000.0
    value_bytes: int = 1_000_000


TARGET = Target()
LIMITS = Limits()
