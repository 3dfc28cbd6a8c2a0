"""Promises that stand in for the store while it can't be reached.

An asker relies on a basis: a store revision that it has read. It may go on while every other
process registered at its basis has promised, counted from when it asked, that nothing has
overtaken that basis. A process that is about to overtake it, and that the asker may not know,
first makes one of those processes withhold further promises.
"""

import dataclasses
from collections.abc import Iterable

__all__ = ["PeerLeaseHolder", "PeerLeaseGrantor"]


class PeerLeaseHolder:
    """Collects the promises of every process registered at a basis."""

    def __init__(self) -> None:
        self.basis = 0
        self._requested_at_by_id: dict[str, float | None] = {}

    @property
    def grantor_ids(self) -> tuple[str, ...]:
        """Returns the processes that have to promise."""
        return tuple(self._requested_at_by_id)

    def rely_on(self, basis: int, grantor_ids: Iterable[str]) -> None:
        """Starts to rely on a newly read basis; promises already held stay.

        Args:
            basis: the store revision that was read.
            grantor_ids: the processes registered at that revision.
        """
        if basis < self.basis:
            return
        self.basis = basis
        self._requested_at_by_id = {i: self._requested_at_by_id.get(i) for i in grantor_ids}

    def record_grant(self, grantor_id: str, requested_at: float) -> None:
        """Records a promise; it counts from when it was asked for, not answered."""
        if grantor_id not in self._requested_at_by_id:
            return
        previous = self._requested_at_by_id[grantor_id]
        if previous is None or requested_at > previous:
            self._requested_at_by_id[grantor_id] = requested_at

    def granted_since(self) -> float | None:
        """Returns the loop time since which all promises hold, None if one is missing.

        No process to ask is no promise.
        """
        since: float | None = None
        for requested_at in self._requested_at_by_id.values():
            if requested_at is None:
                return None
            since = requested_at if since is None else min(since, requested_at)
        return since


@dataclasses.dataclass(slots=True)
class PeerLeaseGrantor:
    """Gives promises and withholds them from askers with an old basis.

    Attributes:
        duration_s: how long a promise lasts, the margin for drifting clocks included.
        min_basis: askers with a lower basis get no promise.
        granted_until: loop time by which every promise given has lapsed.
    """

    duration_s: float
    min_basis: int = 0
    granted_until: float = 0.0

    def grant(self, basis: int, now: float) -> bool:
        """Answers an asker; returns whether the promise is given."""
        if basis < self.min_basis:
            return False
        self.granted_until = max(self.granted_until, now + self.duration_s)
        return True

    def fence(self, below: int, now: float) -> float:
        """Gives no further promise to askers with a basis below `below`.

        Returns:
            Seconds until every promise given so far has lapsed.
        """
        self.min_basis = max(self.min_basis, below)
        return max(0.0, self.granted_until - now)
