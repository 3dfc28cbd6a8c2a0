"""Freshness: how long a configuration may be used after it was confirmed to be current."""

__all__ = ["Freshness", "MAX_CONFIGURATION_AGE_S"]

MAX_CONFIGURATION_AGE_S = 2.0


class Freshness:
    """Records when the configuration was last confirmed to be the newest accepted one."""

    def __init__(self, max_age_s: float = MAX_CONFIGURATION_AGE_S) -> None:
        self._max_age_s = max_age_s
        self._confirmed_at: float | None = None

    def confirm(self, requested_at: float) -> None:
        """Records a confirmation, which counts from the request, not from the reply.

        Args:
            requested_at: loop time, in seconds, just before the request was sent.
        """
        if self._confirmed_at is None or requested_at > self._confirmed_at:
            self._confirmed_at = requested_at

    def age_s(self, now: float) -> float | None:
        """Returns the seconds since the configuration was confirmed, None if it never was."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Whether the configuration may be used to start a task at loop time `now`."""
        age_s = self.age_s(now)
        return age_s is not None and age_s < self._max_age_s
