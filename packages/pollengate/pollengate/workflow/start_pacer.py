"""Limits the start orders that wait for their responses to what a process can handle in time.

After a takeover hundreds of tasks may start at once. If the process sends more orders than it can
handle, the responses of healthy workers come after its time-outs; the runs are then stopped and
started again, which makes more orders. The limit follows the rule of congestion control: responses
raise it by a constant, an order without a response in time halves it.
"""

__all__ = ["MIN_IN_FLIGHT", "StartPacer"]

INITIAL_IN_FLIGHT = 64
# A worker responds within some 10 ms, so that even this allows hundreds of starts a second.
MIN_IN_FLIGHT = 8
MAX_IN_FLIGHT = 256
# Orders that were sent together time out together; they count once.
DECREASE_INTERVAL_S = 1.0


class StartPacer:
    """Counts the start orders of a process, over all shards that it owns."""

    def __init__(self) -> None:
        self._limit = float(INITIAL_IN_FLIGHT)
        self._in_flight = 0
        self._decreased_at = float("-inf")

    @property
    def free(self) -> int:
        """Number of start orders that may be sent now."""
        return max(0, int(self._limit) - self._in_flight)

    def begin(self) -> None:
        """Records an order that is about to be sent; `end` has to follow."""
        self._in_flight += 1

    def end(self, is_answered: bool | None, now: float) -> None:
        """Records the response to an order, or that there was none in time.

        Args:
            is_answered: whether the worker has responded; None if the order was cancelled.
            now: clock time.
        """
        self._in_flight -= 1
        if is_answered:
            self._limit = min(MAX_IN_FLIGHT, self._limit + 1 / self._limit)
        elif is_answered is False and now - self._decreased_at >= DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._limit = max(MIN_IN_FLIGHT, self._limit / 2)
