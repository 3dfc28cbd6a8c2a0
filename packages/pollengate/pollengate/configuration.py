"""The operators' configuration and its numbered versions."""

import dataclasses

__all__ = [
    "CONFIGURATION_KEY",
    "Configuration",
    "Limits",
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
class Configuration:
    """One version of the configuration.

    Attributes:
        version: grows by one with each accepted patch; 0 before the first.
        zones_by_name: availability zones.
        services_by_name: services that gates answer for.
        quotas_by_team: batch quotas; a team without one has no limit of its own.
        limits: policy limits.
    """

    version: int
    zones_by_name: dict[str, Zone]
    services_by_name: dict[str, Service]
    quotas_by_team: dict[str, Quota]
    limits: Limits

    def is_in_service(self, zone: str) -> bool:
        """Tells whether tasks may start in a zone; an unknown zone is out of service."""
        known = self.zones_by_name.get(zone)
        return known is not None and known.in_service
