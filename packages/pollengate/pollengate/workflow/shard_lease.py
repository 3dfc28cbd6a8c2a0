"""How long the owner of a shard may give orders."""

from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO

__all__ = ["OUTAGE_GRACE_S", "OWNER_LEASE_S", "ShardLease", "previous_lease_expiry"]

# Outlasts a few slow renewals; a dead owner is replaced after as long.
OWNER_LEASE_S = 2.5
# Beyond its lease an owner goes on while the store is away from it, since workers refuse orders
# with the token of a past owner as soon as a successor has reached them.
OUTAGE_GRACE_S = 2.0
# Allowance for orders on their way when the right ends.
ORDER_MARGIN_S = 0.3


class ShardLease:
    """The right to give orders, by the store's lease.

    Attributes:
        token: the store revision at which ownership was taken; rises from owner to owner.
    """

    def __init__(self, token: int, requested_at: float) -> None:
        self.token = token
        self._requested_at = requested_at
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Tells whether a successor is known or possible for certain."""
        return self._is_lost

    def record_renewal(self, requested_at: float) -> None:
        """Takes in a renewal that was asked for at `requested_at`."""
        self._requested_at = max(self._requested_at, requested_at)

    def mark_lost(self) -> None:
        """Takes in that the store or a worker knows a successor, or no owner."""
        self._is_lost = True

    def is_valid(self, now: float) -> bool:
        """Tells whether orders may be given."""
        return not self._is_lost and now < self._requested_at + OWNER_LEASE_S + OUTAGE_GRACE_S

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the newest renewal that the store answered was asked for."""
        return now - self._requested_at

    def is_confirmed(self, now: float) -> bool:
        """Tells whether the store's lease certainly lasts."""
        return not self._is_lost and now < self._requested_at + OWNER_LEASE_S


def previous_lease_expiry(taken_at: float, worker_lease_s: float) -> float:
    """Returns when the leases that an earlier owner gave to workers have all lapsed.

    Args:
        taken_at: clock time at which the store gave ownership to the successor.
        worker_lease_s: length of the leases given to workers.
    """
    return taken_at + OUTAGE_GRACE_S + ORDER_MARGIN_S + worker_lease_s / (1 - MAX_CLOCK_DRIFT_RATIO)
