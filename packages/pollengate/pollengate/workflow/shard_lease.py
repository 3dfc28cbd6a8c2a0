"""The lease under which the owner of a shard may give orders to workers."""

from collections.abc import Mapping

from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.workflow.leases import ORDER_TRANSIT_S, PreviousLeases

__all__ = [
    "OUTAGE_GRACE_S",
    "OWNER_LEASE_S",
    "ShardLease",
    "previous_lease_expiry",
    "previous_leases",
]

# Long enough for a few slow renewals; also the time after which a dead owner is replaced.
OWNER_LEASE_S = 2.5
# An owner that cannot reach the store keeps its runs for this long after its lease. This is safe
# because workers reject the token of an earlier owner as soon as its successor has contacted them,
# and its orders extend no lease beyond `ShardLease.leases_end_by`. It starts none, as a worker that
# has crashed since knows no token.
OUTAGE_GRACE_S = 2.0
# Allowance for the drift of clocks by 2 %, over the owner's lease and the age of a worker's newest
# reply.
DRIFT_MARGIN_S = 0.3


class ShardLease:
    """The owner's store lease and grace period, in which it may give orders other than starts.

    Attributes:
        token: fencing token, the store revision when ownership was taken; rises with each owner.
        term_number: number of the ownership term, higher than that of each earlier one; 0 if
            earlier versions of the process counted the terms, by their commits.
    """

    def __init__(self, token: int, requested_at: float, term_number: int = 0) -> None:
        self.token = token
        self.term_number = term_number
        self._requested_at = requested_at
        self._released_at: float | None = None
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Whether the shard has, or may already have, another owner."""
        return self._is_lost

    def record_renewal(self, requested_at: float) -> None:
        """Records a successful renewal that was requested at `requested_at`."""
        self._requested_at = max(self._requested_at, requested_at)

    def begin_release(self, now: float) -> None:
        """Records that the shard may have a successor from `now` on, by an order to the store."""
        if self._released_at is None:
            self._released_at = now

    def withdraw_release(self) -> None:
        """Records that no order to release the shard has had, or can have, an effect."""
        self._released_at = None

    def leases_end_by(self, worker_lease_s: float) -> float:
        """Returns the clock time beyond which orders must not extend a worker's lease.

        A successor waits for a worker's lease from its takeover, which is not possible before the
        store's lease has expired or the owner has released the shard.

        Args:
            worker_lease_s: length of worker leases.
        """
        owned_until = self._requested_at + OWNER_LEASE_S
        if self._released_at is not None:
            owned_until = min(owned_until, self._released_at)
        return owned_until + worker_lease_s

    def mark_lost(self) -> None:
        """Marks the lease as lost, since the store or a worker knows another owner or none."""
        self._is_lost = True

    def is_valid(self, now: float) -> bool:
        """Returns True if orders may be given at `now`, under the lease or in the grace period."""
        return not self._is_lost and now < self._requested_at + OWNER_LEASE_S + OUTAGE_GRACE_S

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the last successful renewal was requested."""
        return now - self._requested_at

    def is_confirmed(self, now: float) -> bool:
        """Returns True if the shard certainly has no later owner at `now`."""
        if self._is_lost or self._released_at is not None:
            return False
        return now < self._requested_at + OWNER_LEASE_S


def previous_lease_expiry(taken_at: float, worker_lease_s: float) -> float:
    """Returns the clock time by which all worker leases of earlier owners have expired.

    Args:
        taken_at: clock time at which the store gave ownership to the successor.
        worker_lease_s: length of worker leases.
    """
    return taken_at + DRIFT_MARGIN_S + worker_lease_s / (1 - MAX_CLOCK_DRIFT_RATIO)


def previous_leases(
    taken_at: float,
    worker_lease_s: float,
    max_worker_lease_s: float,
    registration_timeout_s: float,
    settled_born_by_id: Mapping[str, int],
) -> PreviousLeases:
    """Returns when the worker leases of earlier owners have expired.

    An earlier owner may renew leases until its grace period ends. A worker that is not registered
    has been silent, and got no order, for as long as its registration outlasts it.

    Args:
        taken_at: clock time at which the store gave ownership to the successor.
        worker_lease_s: length of worker leases.
        max_worker_lease_s: longest lease that a worker accepts.
        registration_timeout_s: shortest time after which a silent worker is no longer registered.
        settled_born_by_id: see `PreviousLeases`.
    """
    settled_at = previous_lease_expiry(taken_at, worker_lease_s)
    longest_at = previous_lease_expiry(taken_at + ORDER_TRANSIT_S, max_worker_lease_s)
    return PreviousLeases(
        settled_at,
        max(settled_at, longest_at - registration_timeout_s),
        longest_at + OUTAGE_GRACE_S,
        settled_born_by_id,
    )
