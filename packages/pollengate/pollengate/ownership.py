"""Ownership of a shard: which process may start tasks and renew worker leases there."""

import dataclasses
import enum
import json

from pollengate.charts import load_chart
from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.store import Entry

__all__ = [
    "LEASE_MARGIN_S",
    "OWNERS_PREFIX",
    "OWNER_LEASE_S",
    "Owner",
    "Ownership",
    "OwnershipState",
    "epoch_key",
    "decode_owner",
    "owner_key",
    "encode_owner",
]

OWNERS_PREFIX = "/pollengate/owners/"
OWNER_LEASE_S = 3
# Covers the delay between a check of a lease and the effect, in addition to clock drift.
LEASE_MARGIN_S = 0.3

_CHART = load_chart("ownership")


def owner_key(zone: str, shard: int) -> str:
    """Returns the store key that names the owner of a shard; it is bound to the owner's lease."""
    return f"{OWNERS_PREFIX}{zone}/{shard}"


def epoch_key(zone: str, shard: int) -> str:
    """Returns the store key that each new owner of a shard writes when it takes the shard."""
    return f"/pollengate/epochs/{zone}/{shard}"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard, as recorded in the store.

    Attributes:
        zone: the zone of the shard.
        shard: number of the shard within the zone.
        process_id: id of the owning process.
        address: `ip:port` at which gates and workers reach the owner.
        epoch: store revision at which the owner took the shard; later owners have higher ones.
    """

    zone: str
    shard: int
    process_id: str
    address: str
    epoch: int


def decode_owner(entry: Entry) -> Owner:
    """Decodes the entry of an owner key."""
    zone, shard = entry.key.removeprefix(OWNERS_PREFIX).split("/")
    document = json.loads(entry.value)
    process_id, address = document["process_id"], document["address"]
    return Owner(zone, int(shard), process_id, address, entry.revision)


def encode_owner(process_id: str, address: str) -> bytes:
    """Encodes the value of an owner key."""
    return json.dumps({"process_id": process_id, "address": address}).encode()


class OwnershipState(enum.StrEnum):
    """State of one shard's ownership in this process; the states of `charts/ownership.yaml`."""

    STANDBY = "standby"
    RECOVERING = "recovering"
    SERVING = "serving"
    HANDING_OVER = "handing_over"


class Ownership:
    """One shard's ownership as this process knows it, with the time until which it is valid.

    Attributes:
        zone: the zone of the shard.
        shard: number of the shard within the zone.
        epoch: store revision at which this process took the shard, 0 if it does not own it.
        state: state of the ownership.
    """

    def __init__(self, zone: str, shard: int) -> None:
        self.zone = zone
        self.shard = shard
        self.epoch = 0
        self.state = OwnershipState.STANDBY
        self._valid_until = 0.0

    def acquire(self, epoch: int, requested_at: float, ttl_s: float) -> None:
        """Records that this process has taken the shard.

        Args:
            epoch: store revision of the owner key.
            requested_at: loop time, in seconds, just before the lease was requested.
            ttl_s: duration of the lease.
        """
        self._transition("taken")
        self.epoch = epoch
        self._valid_until = _lease_valid_until(requested_at, ttl_s)

    def renew(self, requested_at: float, ttl_s: float) -> None:
        """Records a renewal of the lease by `ttl_s` seconds, counted from `requested_at`."""
        self.extend(_lease_valid_until(requested_at, ttl_s))

    def extend(self, until: float) -> None:
        """Extends the validity to loop time `until`; never shortens it, no effect after `drop`."""
        if self.epoch > 0:
            self._valid_until = max(self._valid_until, until)

    def mark_recovered(self) -> None:
        """Records that the state of the shard is rebuilt, so that calls may be answered."""
        self._transition("recovered")

    def stop(self) -> None:
        """Records that the shard is being handed over; no task may be started from now on."""
        self._transition("stop_requested")

    def drop(self) -> None:
        """Ends the ownership in this process."""
        self._transition("dropped")
        self.epoch = 0
        self._valid_until = 0.0

    def is_valid(self, now: float) -> bool:
        """Whether the ownership is valid at loop time `now`, so that effects are allowed."""
        return self.epoch > 0 and now < self._valid_until

    def is_serving(self, now: float) -> bool:
        """Whether calls may be answered and tasks started at loop time `now`."""
        return self.state is OwnershipState.SERVING and self.is_valid(now)

    def _transition(self, event: str) -> None:
        self.state = OwnershipState(_CHART.next_state(self.state, event))


def _lease_valid_until(requested_at: float, ttl_s: float) -> float:
    return requested_at + ttl_s * (1 - MAX_CLOCK_DRIFT_RATIO) - LEASE_MARGIN_S
