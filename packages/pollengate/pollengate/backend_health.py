"""Backend servers that are slow, fail everything or are leaving."""

import dataclasses
import statistics

__all__ = ["BackendHealth", "ServiceHealth"]

FAILURES_TO_SET_ASIDE = 3
FIRST_PROBE_S = 1.0
MAX_PROBE_S = 16.0
DRAIN_S = 30.0
SMOOTHING = 0.1
MIN_SAMPLES = 10
SLOW_FACTOR = 4.0
MAX_SLOW_FRACTION = 1 / 3
PANIC_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class BackendHealth:
    """What a gate has seen of one backend server.

    Attributes:
        seconds: smoothed time of an exchange, 0 before the first.
        samples: exchanges that it was smoothed over.
        failures: failures in a row.
        probe_at: loop time of the next probe while set aside, 0 otherwise.
        probe_s: seconds between probes.
        draining_until: loop time until which it is taken to be leaving.
    """

    seconds: float = 0.0
    samples: int = 0
    failures: int = 0
    probe_at: float = 0.0
    probe_s: float = FIRST_PROBE_S
    draining_until: float = 0.0

    def is_set_aside(self) -> bool:
        """Tells whether it gets probes only."""
        return self.probe_at > 0

    def set_aside(self, now: float) -> None:
        """Gives it no work but a probe from time to time."""
        self.probe_at = now + self.probe_s
        self.probe_s = min(MAX_PROBE_S, self.probe_s * 2)

    def readmit(self) -> None:
        """Gives it work again; what was measured before no longer counts."""
        self.probe_at, self.probe_s = 0.0, FIRST_PROBE_S
        self.seconds, self.samples = 0.0, 0


class ServiceHealth:
    """Health of one service's backend servers, judged against each other."""

    def __init__(self) -> None:
        self.by_id: dict[str, BackendHealth] = {}

    def find(self, backend_id: str) -> BackendHealth:
        """Returns what is known of a backend server."""
        health = self.by_id.get(backend_id)
        if health is None:
            health = self.by_id[backend_id] = BackendHealth()
        return health

    def keep(self, backend_ids: set[str]) -> None:
        """Forgets backend servers that are no longer listed."""
        for backend_id in self.by_id.keys() - backend_ids:
            del self.by_id[backend_id]

    def record_answer(self, backend_id: str, seconds: float, now: float) -> None:
        """Records an answer that is no failure."""
        health = self.find(backend_id)
        health.failures = 0
        health.samples += 1
        weight = max(SMOOTHING, 1 / health.samples)
        health.seconds += weight * (seconds - health.seconds)
        if health.is_set_aside():
            self._end_probe(health, seconds, now)
        elif health.samples >= MIN_SAMPLES and self._may_set_aside(health):
            health.set_aside(now)

    def record_failure(self, backend_id: str, now: float) -> None:
        """Records a failure, or an answer with a server error."""
        health = self.find(backend_id)
        health.failures += 1
        if health.failures >= FAILURES_TO_SET_ASIDE:
            health.set_aside(now)

    def record_drain(self, backend_id: str, now: float) -> None:
        """Records that a backend server said that it is leaving."""
        self.find(backend_id).draining_until = now + DRAIN_S

    def may_use(self, backend_id: str, now: float, may_probe: bool) -> bool:
        """Tells whether a request may go to a backend server.

        Args:
            backend_id: the backend server.
            now: loop time.
            may_probe: whether the request may be a probe.
        """
        health = self.by_id.get(backend_id)
        if health is None:
            return True
        if now < health.draining_until:
            return False
        if not health.is_set_aside() or self._is_panic():
            return True
        return may_probe and now >= health.probe_at

    def begin_probe(self, backend_id: str, now: float) -> None:
        """Records that a request goes to a backend server, a probe if it is set aside."""
        health = self.find(backend_id)
        if health.is_set_aside():
            health.probe_at = now + health.probe_s

    def expected_s(self, backend_id: str) -> float:
        """Returns the smoothed time of an exchange, 0 if none is known."""
        health = self.by_id.get(backend_id)
        return 0.0 if health is None else health.seconds

    def _end_probe(self, health: BackendHealth, seconds: float, now: float) -> None:
        if self._is_slow(seconds):
            health.set_aside(now)
        else:
            health.readmit()

    def _is_slow(self, seconds: float) -> bool:
        known = [h.seconds for h in self.by_id.values() if h.samples and not h.is_set_aside()]
        return len(known) > 1 and seconds > SLOW_FACTOR * statistics.median(known)

    def _may_set_aside(self, health: BackendHealth) -> bool:
        return self._slow_fraction() < MAX_SLOW_FRACTION and self._is_slow(health.seconds)

    def _slow_fraction(self) -> float:
        return sum(h.is_set_aside() for h in self.by_id.values()) / len(self.by_id)

    def _is_panic(self) -> bool:
        return self._slow_fraction() > PANIC_FRACTION
