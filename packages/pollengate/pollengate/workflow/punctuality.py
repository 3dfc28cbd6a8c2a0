"""Tells whether an owner could hear the workers all the while.

An owner that is frozen or overloaded reads the replies of workers late, or after its own time-outs.
Their silence, measured by its clock, then says nothing about the workers.
"""

__all__ = ["LATE_AFTER_S", "Punctuality"]

# Less than the time in which a connection to a worker has to be made.
LATE_AFTER_S = 0.25


class Punctuality:
    """Watches a timer of the owner.

    Args:
        interval_s: interval of the timer.
        now: clock time.
    """

    def __init__(self, interval_s: float, now: float) -> None:
        self._interval_s = interval_s
        self._ticked_at = now
        self._late_at = float("-inf")

    def record_tick(self, now: float) -> None:
        """Records that the timer has run at clock time `now`."""
        if self._is_overdue(now):
            self._late_at = now
        self._ticked_at = now

    def was_late_since(self, since: float, now: float) -> bool:
        """Returns True if the timer was late at any time from `since` to `now`."""
        return self._late_at >= since or self._is_overdue(now)

    def _is_overdue(self, now: float) -> bool:
        return now - self._ticked_at > self._interval_s + LATE_AFTER_S
