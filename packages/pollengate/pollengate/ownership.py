"""Ownership of a shard: who may start tasks and renew leases there."""

import dataclasses

__all__ = ["Owner", "Ownership", "epoch_key", "owner_key", "OWNERS_PREFIX", "OWNER_LEASE_S"]

OWNERS_PREFIX = "/pollengate/owners/"
OWNER_LEASE_S = 3
CLOCK_MARGIN_S = 0.3


def owner_key(zone: str, shard: int) -> str:
    """Returns the store key that the owner of a shard holds by a lease."""
    return f"{OWNERS_PREFIX}{zone}/{shard}"


def epoch_key(zone: str, shard: int) -> str:
    """Returns the store key that each owner of a shard writes when it takes it."""
    return f"/pollengate/epochs/{zone}/{shard}"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard as the store names it.

    Attributes:
        zone: the zone of the shard.
        shard: its number within the zone.
        process_id: the owner.
        address: `ip:port` that gates and workers call.
        epoch: store revision at which it took the shard; later owners have higher ones.
    """

    zone: str
    shard: int
    process_id: str
    address: str
    epoch: int


class Ownership:
    """What this process may believe about its ownership of one shard."""

    def __init__(self, zone: str, shard: int) -> None:
        self.zone = zone
        self.shard = shard
        self.epoch = 0
        self._held_until = 0.0

    def take(self, epoch: int, asked_at: float, ttl_s: float) -> None:
        """Records that the shard was taken.

        Args:
            epoch: store revision of the owner key.
            asked_at: loop time just before the lease was asked for.
            ttl_s: length of the lease.
        """
        self.epoch = epoch
        self._held_until = asked_at + ttl_s - CLOCK_MARGIN_S

    def renew(self, asked_at: float, ttl_s: float) -> None:
        """Records a renewal, counted from when it was asked for."""
        self._held_until = max(self._held_until, asked_at + ttl_s - CLOCK_MARGIN_S)

    def drop(self) -> None:
        """Forgets the shard."""
        self.epoch = 0
        self._held_until = 0.0

    def is_held(self, now: float) -> bool:
        """Tells whether an effect may follow at loop time `now`."""
        return self.epoch > 0 and now < self._held_until
