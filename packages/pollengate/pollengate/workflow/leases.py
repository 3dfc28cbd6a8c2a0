"""The lease of all runs on a worker, by the worker's clock and by the owner's clock."""

import dataclasses
import math
from collections.abc import Mapping

from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO

__all__ = [
    "ORDER_TRANSIT_S",
    "WORKER_LEASE_S",
    "PreviousLeases",
    "WorkerLease",
    "longest_lease_expiry",
]

# Long enough to survive a change of owner if the old owner is cut off during an outage of the
# store: the rest of the outage, a full owner lease that the store grants after it (2.5 s), the
# takeover and the first renewal by the new owner.
WORKER_LEASE_S = 5.5
# An order that was sent may reach its worker within this time, also a worker that has started again
# meanwhile.
ORDER_TRANSIT_S = 1.0


def longest_lease_expiry(sent_at: float, max_length_s: float) -> float:
    """Returns the clock time by which any lease has expired that an order of `sent_at` gave.

    Args:
        sent_at: clock time at which it was sent.
        max_length_s: longest lease that a worker accepts.
    """
    return sent_at + (ORDER_TRANSIT_S + max_length_s) / (1 - MAX_CLOCK_DRIFT_RATIO)


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousLeases:
    """When the leases have expired that earlier owners of a shard gave.

    An order extends a lease up to a time on the clock of one incarnation of the worker. If the next
    incarnation carries it out, that lease may be as long as the worker accepts.

    Attributes:
        settled_expire_at: clock time for workers of which all leases are known to end by their own
            clock.
        silent_expire_at: clock time for workers that were silent for so long before the takeover
            that they are no longer registered.
        longest_expire_at: clock time for workers that may have started again since.
        settled_born_by_id: the incarnations of which that is known: their start in Unix
            milliseconds, by worker id.
    """

    settled_expire_at: float
    silent_expire_at: float
    longest_expire_at: float
    settled_born_by_id: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def is_settled(self, worker_id: str, born_ms: int) -> bool:
        """Whether all leases of an incarnation are known to end by its own clock."""
        return born_ms != 0 and self.settled_born_by_id.get(worker_id) == born_ms

    def expire_at(self, worker_id: str, born_ms: int, is_registered: bool) -> float:
        """Returns the clock time by which the leases of a worker have expired.

        Args:
            worker_id: the worker.
            born_ms: its newest known incarnation, 0 if none is known.
            is_registered: whether it is registered.
        """
        if self.is_settled(worker_id, born_ms):
            return self.settled_expire_at
        return self.longest_expire_at if born_ms or is_registered else self.silent_expire_at


class WorkerLease:
    """Tracks a worker's clock and the longest lease that the worker may have received.

    Args:
        length_s: how long each order extends the lease.
        previous_leases_expire_at: clock time by which all leases of earlier owners have expired.
        max_length_s: longest lease that a worker accepts, `length_s` by default.

    Attributes:
        length_s: the same.
    """

    def __init__(
        self,
        length_s: float,
        previous_leases_expire_at: float,
        max_length_s: float | None = None,
    ) -> None:
        self.length_s = length_s
        self._max_length_s = max_length_s or length_s
        self._previous_expire_at = previous_leases_expire_at
        # Leases of orders that were meant for an earlier incarnation.
        self._misdirected_expire_at = 0.0
        self._may_be_misdirected = False
        self._until_ms: int | None = None
        self._clock_ms: int | None = None
        self._replied_at = 0.0

    @property
    def replied_at(self) -> float:
        """Clock time of the worker's newest reply."""
        return self._replied_at

    def read_late_s(self, worker_clock_ms: int, received_at: float) -> float:
        """Returns by how much later than the reply before a reply was read than the worker sent it.

        Args:
            worker_clock_ms: the worker's clock in the reply.
            received_at: clock time at which it was read.
        """
        if self._clock_ms is None:
            return 0.0
        return max(0.0, received_at - self._replied_at - (worker_clock_ms - self._clock_ms) / 1000)

    def record_reply(self, worker_clock_ms: int, received_at: float) -> bool:
        """Records the worker's clock at a reply.

        Returns:
            True if the lease had expired by the worker's clock before the reply.
        """
        had_expired = self._until_ms is not None and worker_clock_ms > self._until_ms
        self._clock_ms = worker_clock_ms
        self._replied_at = received_at
        return had_expired

    def extend(self, now: float, ends_by: float = math.inf) -> int | None:
        """Extends the lease for an order that is about to be sent.

        Args:
            now: clock time.
            ends_by: clock time beyond which the order must not extend the lease.

        Returns:
            The new end of the lease by the worker's clock, None while that clock is unknown.
        """
        if self._clock_ms is None:
            return None
        ends_in_s = min(now + self.length_s, ends_by) - self._replied_at
        until_ms = self._clock_ms + int(ends_in_s * 1000)
        self._until_ms = max(self._until_ms or 0, until_ms)
        return self._until_ms

    def expires_at(self) -> float:
        """Returns the clock time by which the lease will have expired, unless it is extended."""
        untracked_expire_at = max(self._previous_expire_at, self._misdirected_expire_at)
        if self._until_ms is None or self._clock_ms is None:
            return untracked_expire_at
        remaining_s = max(0, self._until_ms - self._clock_ms) / 1000
        return max(
            untracked_expire_at,
            self._replied_at + remaining_s / (1 - MAX_CLOCK_DRIFT_RATIO),
        )

    def is_settled(self, now: float) -> bool:
        """Returns True if no lease ends later than one that an order gives at clock time `now`.

        A successor that knows this need not wait for longer leases.
        """
        untracked_expire_at = max(self._previous_expire_at, self._misdirected_expire_at)
        return not self._may_be_misdirected and untracked_expire_at <= now + self.length_s

    def reset(self) -> None:
        """Clears the clock and lease of a worker that is gone."""
        self._until_ms = None
        self._clock_ms = None
        self._previous_expire_at = self._misdirected_expire_at = 0.0
        self._may_be_misdirected = False

    def settle_previous(self, expire_at: float) -> None:
        """Lowers the clock time by which the leases of earlier owners have expired."""
        self._previous_expire_at = min(self._previous_expire_at, expire_at)

    def begin_incarnation(self, now: float) -> None:
        """Clears the clock and lease of the incarnation before the present one.

        An order for the earlier incarnation ends its lease by the earlier clock. If the next one
        carries it out, it holds the longest lease that a worker accepts from then on.

        Args:
            now: clock time at which the present incarnation was noticed.
        """
        self._may_be_misdirected |= self._until_ms is not None
        self._until_ms = None
        self._clock_ms = None
        self._count_misdirected(now)

    def end_misdirection(self, now: float) -> None:
        """Records that the present incarnation rejects all orders that were meant for earlier ones.

        Args:
            now: clock time of the response that shows it.
        """
        self._count_misdirected(now)
        self._may_be_misdirected = False

    def longest_expire_at(self, now: float) -> float:
        """Returns the clock time by which any lease has expired that an order of before `now` gave.

        That holds also if a later incarnation has carried it out, but not seconds late.
        """
        return longest_lease_expiry(now, self._max_length_s)

    def _count_misdirected(self, now: float) -> None:
        if self._may_be_misdirected:
            longest_expire_at = self.longest_expire_at(now)
            self._misdirected_expire_at = max(self._misdirected_expire_at, longest_expire_at)
