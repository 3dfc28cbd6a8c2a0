"""Outlier ejection: detects backend servers that are slow, keep failing or are leaving."""

import dataclasses
import statistics

__all__ = ["BackendHealth", "ServiceHealth"]

FAILURES_TO_EJECT = 3
FIRST_PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 16.0
DRAIN_PERIOD_S = 30.0
MIN_SAMPLE_WEIGHT = 0.1
# A backend server is ejected as slow only after this many successful exchanges.
MIN_SAMPLES = 10
SLOW_FACTOR = 4.0
# No backend server is ejected as slow while at least this fraction of them is ejected.
MAX_EJECTED_FRACTION = 1 / 3
# Ejected backend servers are used like the others while more than this fraction is ejected.
PANIC_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class BackendHealth:
    """Health of one backend server as observed by a gate.

    Attributes:
        mean_s: smoothed duration of an exchange, 0 before the first.
        samples: number of exchanges in `mean_s`.
        consecutive_failures: failures since the last successful exchange.
        probe_at: loop time from which the next probe is allowed if ejected, 0 otherwise.
        probe_interval_s: seconds between probes.
        draining_until: loop time until which the backend server is considered to be leaving.
    """

    mean_s: float = 0.0
    samples: int = 0
    consecutive_failures: int = 0
    probe_at: float = 0.0
    probe_interval_s: float = FIRST_PROBE_INTERVAL_S
    draining_until: float = 0.0

    def is_ejected(self) -> bool:
        """Whether the backend server is ejected and should get only probes."""
        return self.probe_at > 0

    def eject(self, now: float) -> None:
        """Ejects the backend server until a probe succeeds; doubles the probe interval."""
        self.probe_at = now + self.probe_interval_s
        self.probe_interval_s = min(MAX_PROBE_INTERVAL_S, self.probe_interval_s * 2)

    def readmit(self) -> None:
        """Readmits the backend server and discards the measurements made so far."""
        self.probe_at, self.probe_interval_s = 0.0, FIRST_PROBE_INTERVAL_S
        self.mean_s, self.samples = 0.0, 0


class ServiceHealth:
    """Health of one service's backend servers, compared with each other."""

    def __init__(self) -> None:
        self.by_id: dict[str, BackendHealth] = {}

    def get_or_create(self, backend_id: str) -> BackendHealth:
        """Returns the health of a backend server, a new record if there is none."""
        health = self.by_id.get(backend_id)
        if health is None:
            health = self.by_id[backend_id] = BackendHealth()
        return health

    def retain(self, backend_ids: set[str]) -> None:
        """Removes the records of all backend servers but the given ones."""
        for backend_id in self.by_id.keys() - backend_ids:
            del self.by_id[backend_id]

    def record_response(self, backend_id: str, duration_s: float, now: float) -> None:
        """Records a successful exchange.

        If the backend server is ejected, a slow response ejects it again and any other readmits it.
        If it is not, it is ejected if it has become slow.
        """
        health = self.get_or_create(backend_id)
        health.consecutive_failures = 0
        health.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / health.samples)
        health.mean_s += weight * (duration_s - health.mean_s)
        if health.is_ejected():
            self._end_probe(health, duration_s, now)
        elif health.samples >= MIN_SAMPLES and self._should_eject_as_slow(health):
            health.eject(now)

    def record_failure(self, backend_id: str, now: float) -> None:
        """Records a failed exchange or a server error; ejects after several in a row."""
        health = self.get_or_create(backend_id)
        health.consecutive_failures += 1
        if health.consecutive_failures >= FAILURES_TO_EJECT:
            health.eject(now)

    def record_drain(self, backend_id: str, now: float) -> None:
        """Records that a backend server reported that it is leaving."""
        self.get_or_create(backend_id).draining_until = now + DRAIN_PERIOD_S

    def may_use(self, backend_id: str, now: float, may_probe: bool) -> bool:
        """Whether a request may be sent to a backend server.

        Args:
            backend_id: the backend server.
            now: loop time.
            may_probe: whether the request may be used as a probe.
        """
        health = self.by_id.get(backend_id)
        if health is None:
            return True
        if now < health.draining_until:
            return False
        if not health.is_ejected() or self._is_panic():
            return True
        return may_probe and now >= health.probe_at

    def begin_probe(self, backend_id: str, now: float) -> None:
        """Schedules the next probe if the backend server is ejected.

        Must be called for every request that is sent to a backend server.
        """
        health = self.get_or_create(backend_id)
        if health.is_ejected():
            health.probe_at = now + health.probe_interval_s

    def expected_s(self, backend_id: str) -> float:
        """Returns the smoothed duration of an exchange in seconds, 0 before the first one."""
        health = self.by_id.get(backend_id)
        return 0.0 if health is None else health.mean_s

    def _end_probe(self, health: BackendHealth, duration_s: float, now: float) -> None:
        if self._is_slow(duration_s):
            health.eject(now)
        else:
            health.readmit()

    def _is_slow(self, duration_s: float) -> bool:
        known = [h.mean_s for h in self.by_id.values() if h.samples and not h.is_ejected()]
        return len(known) > 1 and duration_s > SLOW_FACTOR * statistics.median(known)

    def _should_eject_as_slow(self, health: BackendHealth) -> bool:
        return self._ejected_fraction() < MAX_EJECTED_FRACTION and self._is_slow(health.mean_s)

    def _ejected_fraction(self) -> float:
        return sum(h.is_ejected() for h in self.by_id.values()) / len(self.by_id)

    def _is_panic(self) -> bool:
        return self._ejected_fraction() > PANIC_FRACTION
