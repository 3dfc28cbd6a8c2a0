"""Peer leases, which replace the store's leases while the store can't be reached.

The holder relies on a basis: a store revision that it has read. It may act on that basis while
it has a grant of every other process that was registered at the basis. A grant says that nothing
newer than the basis was in effect when the grant was requested, and it counts from that time.
The holder may not know a process that is about to supersede the basis. That process therefore first
fences the holder: it makes one of the granting processes refuse further grants.
"""

import dataclasses
from collections.abc import Iterable

__all__ = ["PeerLeaseHolder", "PeerLeaseGrantor"]


class PeerLeaseHolder:
    """Collects the grants of the processes registered at a basis."""

    def __init__(self) -> None:
        self.basis = 0
        self._requested_at_by_id: dict[str, float | None] = {}

    @property
    def grantor_ids(self) -> tuple[str, ...]:
        """Ids of the processes whose grants are required."""
        return tuple(self._requested_at_by_id)

    def rely_on(self, basis: int, grantor_ids: Iterable[str]) -> None:
        """Replaces the basis by a newer one; grants of processes that are in both are kept.

        Args:
            basis: the store revision that was read; ignored if older than the present basis.
            grantor_ids: ids of the processes registered at that revision.
        """
        if basis < self.basis:
            return
        self.basis = basis
        self._requested_at_by_id = {i: self._requested_at_by_id.get(i) for i in grantor_ids}

    def record_grant(self, grantor_id: str, requested_at: float) -> None:
        """Records a grant, which counts from loop time `requested_at`, not from the reply."""
        if grantor_id not in self._requested_at_by_id:
            return
        previous = self._requested_at_by_id[grantor_id]
        if previous is None or requested_at > previous:
            self._requested_at_by_id[grantor_id] = requested_at

    def granted_since(self) -> float | None:
        """Returns when the oldest of the grants was requested.

        Returns None if a grant is missing or no grant is required.
        """
        since: float | None = None
        for requested_at in self._requested_at_by_id.values():
            if requested_at is None:
                return None
            since = requested_at if since is None else min(since, requested_at)
        return since


@dataclasses.dataclass(slots=True)
class PeerLeaseGrantor:
    """Grants peer leases, except to requesters with a basis that is too old.

    Attributes:
        duration_s: duration of a grant, including the margin for clock drift.
        min_basis: requesters with a lower basis are refused.
        granted_until: loop time by which all grants given so far have expired.
    """

    duration_s: float
    min_basis: int = 0
    granted_until: float = 0.0

    def grant(self, basis: int, now: float) -> bool:
        """Grants a lease to a requester with the given basis; returns False if refused."""
        if basis < self.min_basis:
            return False
        self.granted_until = max(self.granted_until, now + self.duration_s)
        return True

    def fence(self, below: int, now: float) -> float:
        """Refuses grants to requesters with a basis lower than `below` from now on.

        Returns:
            Seconds until all grants given so far have expired.
        """
        self.min_basis = max(self.min_basis, below)
        return max(0.0, self.granted_until - now)
