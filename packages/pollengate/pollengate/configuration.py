"""The operators' configuration and its numbered versions."""

import dataclasses

__all__ = [
    "CONFIGURATION_KEY",
    "Configuration",
    "Limits",
    "Policy",
    "Quota",
    "Service",
    "Zone",
]

CONFIGURATION_KEY = "/pollengate/configuration"


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone.

    Attributes:
        in_service: whether tasks may start there.
        drain_grace_s: how long running tasks may take to leave once it is out.
        shards: number of shards that the zone's workers are split into.
    """

    in_service: bool = True
    drain_grace_s: float = 60.0
    shards: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A latency-critical service.

    Attributes:
        slots: requests that one backend server runs at a time.
        connections: connections that one backend server accepts.
        default_timeout_ms: deadline of a request that names none.
        priority: higher is admitted first.
    """

    slots: int = 8
    connections: int = 64
    default_timeout_ms: int = 2000
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What a team's batch tasks may use at a time; 0 accelerators means none."""

    cores: int
    memory_mb: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Policy limits for every zone.

    Attributes:
        max_tasks_per_job: length of the longest task array.
        max_queued_tasks: tasks of one shard that wait for a worker.
    """

    max_tasks_per_job: int = 10_000
    max_queued_tasks: int = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Weights and limits of placement, throttling and eviction.

    Attributes:
        service_classes: task classes of latency-critical services.
        service_harm_weight: weight of slowing down services in the choice of a worker.
        batch_harm_weight: weight of slowing down batch tasks.
        load_weight: weight of a worker's load.
        max_service_slowdown: expected slowdown of a service up to which batch tasks are placed
            beside it; None for no limit.
        throttle_above: measured slowdown of a service at which batch tasks are throttled.
        release_below: measured slowdown of services at which a throttle is lifted.
        evict_on_harm: whether a throttled task that still does harm is moved.
        eviction_interval_s: seconds between evictions of one task.
        worker_eviction_interval_s: seconds between evictions on one worker.
        evictions_per_minute: evictions a minute in one shard.
    """

    service_classes: tuple[str, ...] = ()
    service_harm_weight: float = 8.0
    batch_harm_weight: float = 8.0
    load_weight: float = 0.1
    max_service_slowdown: float | None = None
    throttle_above: float = 1.4
    release_below: float = 1.15
    evict_on_harm: bool = True
    eviction_interval_s: float = 600.0
    worker_eviction_interval_s: float = 60.0
    evictions_per_minute: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: grows by one with each accepted patch; 0 before the first.
        zones_by_name: availability zones.
        services_by_name: services that gates answer for.
        quotas_by_team: batch quotas; a team without one has no limit of its own.
        limits: policy limits.
        policy: weights of placement, throttling and eviction.
    """

    version: int
    zones_by_name: dict[str, Zone]
    services_by_name: dict[str, Service]
    quotas_by_team: dict[str, Quota]
    limits: Limits
    policy: Policy = Policy()

    def is_in_service(self, zone: str) -> bool:
        """Tells whether tasks may start in a zone; an unknown zone is out of service."""
        known = self.zones_by_name.get(zone)
        return known is not None and known.in_service
