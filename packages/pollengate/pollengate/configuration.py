"""The configuration that operators change at run time, in numbered versions."""

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
        in_service: whether tasks may start in the zone.
        drain_grace_s: time that running tasks have to end once the zone is out of service.
        shards: number of shards into which the zone's workers are divided.
    """

    in_service: bool = True
    drain_grace_s: float = 60.0
    shards: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A latency-critical service.

    Attributes:
        slots: concurrent requests per backend server.
        connections: connections that one backend server accepts.
        default_timeout_ms: timeout of requests that specify none.
        priority: requests with a higher value are admitted first.
    """

    slots: int = 8
    connections: int = 64
    default_timeout_ms: int = 2000
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Resources that a team's batch tasks may use at the same time.

    With 0 accelerators the team may use none.
    """

    cores: int
    memory_mb: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits that apply in every zone.

    Attributes:
        max_tasks_per_job: maximum length of a task array.
        max_queued_tasks: maximum number of tasks of a shard that wait for a worker.
    """

    max_tasks_per_job: int = 10_000
    max_queued_tasks: int = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Weights and limits of placement, throttling and eviction.

    Attributes:
        service_classes: task classes of latency-critical services.
        service_harm_weight: weight of the expected slowdown of services in the choice of a worker.
        batch_harm_weight: weight of the expected slowdown of batch tasks in that choice.
        load_weight: weight of a worker's load in that choice.
        max_service_slowdown: expected slowdown of a service up to which batch tasks are placed on
            the same worker; None for no limit.
        throttle_above: measured slowdown of a service above which batch tasks are throttled.
        release_below: measured slowdown of services below which a throttle is lifted.
        evict_on_harm: whether a task that still interferes while throttled is evicted.
        eviction_interval_s: minimum time between evictions of the same task.
        worker_eviction_interval_s: minimum time between evictions on the same worker.
        evictions_per_minute: maximum rate of evictions in one shard.
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
        version: number of patches accepted so far, 0 before the first patch.
        zones_by_name: availability zones.
        services_by_name: services whose requests gates accept.
        quotas_by_team: batch quotas; a team without a quota has no limit of its own.
        limits: limits that apply in every zone.
        policy: weights of placement, throttling and eviction.
    """

    version: int
    zones_by_name: dict[str, Zone]
    services_by_name: dict[str, Service]
    quotas_by_team: dict[str, Quota]
    limits: Limits
    policy: Policy = Policy()

    def is_in_service(self, zone: str) -> bool:
        """Whether tasks may start in a zone; False for an unknown zone."""
        known = self.zones_by_name.get(zone)
        return known is not None and known.in_service
