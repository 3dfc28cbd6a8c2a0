"""Ownership of a shard: who may start tasks and renew leases there."""

import dataclasses
import enum
import json

from pollengate.charts import load_chart
from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.store import Entry

__all__ = [
    "CLOCK_MARGIN_S",
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
# Added to the drift, for the time between a decision and its effect.
CLOCK_MARGIN_S = 0.3

_CHART = load_chart("ownership")


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


def decode_owner(entry: Entry) -> Owner:
    """Decodes an owner key."""
    zone, shard = entry.key.removeprefix(OWNERS_PREFIX).split("/")
    document = json.loads(entry.value)
    process_id, address = document["process_id"], document["address"]
    return Owner(zone, int(shard), process_id, address, entry.revision)


def encode_owner(process_id: str, address: str) -> bytes:
    """Encodes the value of an owner key."""
    return json.dumps({"process_id": process_id, "address": address}).encode()


class OwnershipState(enum.StrEnum):
    """How far this process is with one shard; the states of `charts/ownership.yaml`."""

    STANDBY = "standby"
    RECOVERING = "recovering"
    SERVING = "serving"
    HANDING_OVER = "handing_over"


class Ownership:
    """What this process may believe about its ownership of one shard.

    Attributes:
        zone: the zone of the shard.
        shard: its number within the zone.
        epoch: store revision at which this process took the shard, 0 when it does not own it.
        state: how far this process is with the shard.
    """

    def __init__(self, zone: str, shard: int) -> None:
        self.zone = zone
        self.shard = shard
        self.epoch = 0
        self.state = OwnershipState.STANDBY
        self._valid_until = 0.0

    def acquire(self, epoch: int, requested_at: float, ttl_s: float) -> None:
        """Records that the shard was taken.

        Args:
            epoch: store revision of the owner key.
            requested_at: loop time just before the lease was asked for.
            ttl_s: length of the lease.
        """
        self._transition("taken")
        self.epoch = epoch
        self._valid_until = _lease_end(requested_at, ttl_s)

    def renew(self, requested_at: float, ttl_s: float) -> None:
        """Records a renewal, counted from when it was asked for."""
        self.extend(_lease_end(requested_at, ttl_s))

    def extend(self, until: float) -> None:
        """Lengthens the belief; one that has ended stays ended until the shard is taken."""
        if self.epoch > 0:
            self._valid_until = max(self._valid_until, until)

    def recovered(self) -> None:
        """Records that the books are rebuilt and calls may be answered from them."""
        self._transition("recovered")

    def stop(self) -> None:
        """Records that the shard is being handed over; nothing new may start."""
        self._transition("stop_requested")

    def drop(self) -> None:
        """Forgets the shard."""
        self._transition("dropped")
        self.epoch = 0
        self._valid_until = 0.0

    def is_held(self, now: float) -> bool:
        """Tells whether an effect may follow at loop time `now`."""
        return self.epoch > 0 and now < self._valid_until

    def is_serving(self, now: float) -> bool:
        """Tells whether calls may be answered and tasks started at loop time `now`."""
        return self.state is OwnershipState.SERVING and self.is_held(now)

    def _transition(self, event: str) -> None:
        self.state = OwnershipState(_CHART.next_state(self.state, event))


def _lease_end(requested_at: float, ttl_s: float) -> float:
    return requested_at + ttl_s * (1 - MAX_CLOCK_DRIFT_RATIO) - CLOCK_MARGIN_S
