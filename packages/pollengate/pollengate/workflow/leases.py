"""The lease under which everything on a worker runs, on the worker's clock and on ours."""

from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO

__all__ = ["WORKER_LEASE_S", "WorkerLease"]

# Outlives the change from an owner that is cut off while the store is away: the rest of the outage,
# the whole lease of the owner that the store grants after it (2.5 s), takeover and first hold.
WORKER_LEASE_S = 5.5


class WorkerLease:
    """Follows one worker's clock and the longest lease that it may have got.

    Args:
        length_s: how long each order extends the lease.
        previous_leases_expire_at: clock time by which leases of an earlier owner have lapsed.
    """

    def __init__(self, length_s: float, previous_leases_expire_at: float) -> None:
        self._length_ms = int(length_s * 1000)
        self._previous_leases_expire_at = previous_leases_expire_at
        self._until_ms: int | None = None
        self._clock_ms: int | None = None
        self._replied_at = 0.0

    @property
    def replied_at(self) -> float:
        """Returns the clock time of the worker's newest answer."""
        return self._replied_at

    def record_reply(self, worker_clock_ms: int, received_at: float) -> bool:
        """Takes in the worker's clock at an answer.

        Returns:
            Whether the lease had lapsed on the worker's clock before the answer.
        """
        had_expired = self._until_ms is not None and worker_clock_ms > self._until_ms
        self._clock_ms = worker_clock_ms
        self._replied_at = received_at
        return had_expired

    def extend(self, now: float) -> int | None:
        """Returns the lease's end for an order that is about to be sent, on the worker's clock.

        None while the worker's clock is not known.
        """
        if self._clock_ms is None:
            return None
        until_ms = self._clock_ms + int((now - self._replied_at) * 1000) + self._length_ms
        self._until_ms = max(self._until_ms or 0, until_ms)
        return self._until_ms

    def longest_until_ms(self) -> int | None:
        """Returns the end of the longest lease so far, for an order that must not extend it.

        While a worker does not answer, its lease has to run out at some time.
        """
        return self._until_ms

    def expires_at(self) -> float:
        """Returns the clock time by which the lease has lapsed unless it is extended."""
        if self._until_ms is None or self._clock_ms is None:
            return self._previous_leases_expire_at
        left_s = max(0, self._until_ms - self._clock_ms) / 1000
        return max(
            self._previous_leases_expire_at, self._replied_at + left_s / (1 - MAX_CLOCK_DRIFT_RATIO)
        )

    def reset(self) -> None:
        """Forgets the clock of an earlier incarnation of the worker."""
        self._until_ms = None
        self._clock_ms = None
        self._previous_leases_expire_at = 0.0
