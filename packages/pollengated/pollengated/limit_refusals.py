"""Counts and logs what clients lose by the limits of a listener."""

import collections
from collections.abc import Callable

from pollengated.logs import Log

__all__ = ["LimitRefusals"]

# A crowd of clients may meet a limit thousands of times a second.
LOG_INTERVAL_S = 1.0


class LimitRefusals:
    """Counts what each limit ended; logs at most one line a second for each."""

    def __init__(
        self, listener: str, count: Callable[[str, str], None], clock: Callable[[], float]
    ) -> None:
        """Creates the counter of one listener.

        Args:
            listener: name of the listener.
            count: counts a refusal by listener and limit.
            clock: returns a monotonic time in seconds.
        """
        self._listener = listener
        self._count = count
        self._clock = clock
        self._log = Log("limits")
        self._logged_at: dict[str, float] = {}
        self._unlogged: collections.Counter[str] = collections.Counter()

    def record(self, limit: str) -> None:
        """Records that a limit, by its name in the documentation, ended a request or connection."""
        self._count(self._listener, limit)
        self._unlogged[limit] += 1
        now = self._clock()
        if now - self._logged_at.get(limit, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at[limit] = now
        self._log.warning(
            "client met a limit",
            listener=self._listener,
            limit=limit,
            times=self._unlogged.pop(limit),
        )
