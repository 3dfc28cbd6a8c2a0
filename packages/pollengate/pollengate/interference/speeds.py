"""Sets the speed of fillers so that serving tasks on their worker meet their latency targets.

Each serving task leaves some headroom to fillers. The fillers that take least of it run at full
speed, the others one after the other while some is left. Latencies are measured half a second late,
so that speeds follow what the model expects. If a latency stays over its target all the same, the
model is wrong about it, and all fillers that may matter are slowed down step by step until they
stand still.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from pollengate.interference.latency_model import NEGLIGIBLE_HEADROOM, LatencyModel, Reserve
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState

__all__ = ["SLOW_SPEED_PERCENT", "SpeedChange", "SpeedController"]

FULL_SPEED_PERCENT = 100
# Speeds are multiples of this; a filler with a lower one stands still.
SPEED_STEP_PERCENT = 10
# Speeds are set for the load that is expected after this time: the next report arrives by then.
HORIZON_S = 0.6
# Smallest rise of a speed below full speed, and the time between two rises on a worker.
MIN_RISE_PERCENT = 20
RISE_INTERVAL_S = 1.0
# Cuts by less are left out while all latencies are below their targets.
MIN_CUT_PERCENT = 20
# If a latency has been over its target for this long, the model is wrong about it.
MODEL_TRUST_S = 0.4
# Limit on all speeds after each further interval.
LIMIT_INTERVAL_S = 0.6
LIMIT_CUT_FACTOR = 0.4
MIN_LIMIT = 0.2
LIMIT_RISE = 0.25
# No new filler is placed on a worker for this long after a latency above its target that the model
# did not expect.
FILLER_BLOCK_S = 1.0
# A filler with a lower speed than this may finish sooner on another worker.
SLOW_SPEED_PERCENT = 50
# A filler without progress for this long that uses less than this share of its processors may have
# another speed than is known here.
STANDSTILL_S = 2.0
STANDSTILL_USE_SHARE = 0.1
# A filler that has been slow for this long is compared with other workers.
RELOCATE_AFTER_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedChange:
    """A new speed for a filler, in percent of its full speed."""

    run: Run
    percent: int

    def apply(self, now: float) -> None:
        """Updates the run once the worker has confirmed the change."""
        self.run.speed_percent = self.percent
        self.run.is_speed_known = True
        if self.percent >= SLOW_SPEED_PERCENT:
            self.run.slow_since = None
        elif self.run.slow_since is None:
            self.run.slow_since = now


@dataclasses.dataclass(slots=True)
class _WorkerState:
    """Limit on the speeds of one worker.

    Attributes:
        limit: highest share of full speed.
        limited_at: clock time of its last change.
        over_since: clock time since which a latency has been over its target, None if none is.
        raised_at: clock time of the last rise of a speed.
    """

    limit: float = 1.0
    limited_at: float = float("-inf")
    over_since: float | None = None
    raised_at: float = float("-inf")

    def update(self, is_over: bool, now: float) -> None:
        """Lowers the limit while a latency stays over its target, and raises it again."""
        if not is_over:
            self.over_since = None
            if self.limit < 1.0 and now - self.limited_at >= LIMIT_INTERVAL_S:
                self.limit = min(1.0, self.limit + LIMIT_RISE)
                self.limited_at = now
            return
        if self.over_since is None:
            self.over_since = now
        is_trusted = now - self.over_since < MODEL_TRUST_S
        if is_trusted or now - self.limited_at < LIMIT_INTERVAL_S:
            return
        lowered = self.limit * LIMIT_CUT_FACTOR
        self.limit = lowered if lowered >= MIN_LIMIT else 0.0
        self.limited_at = now


class SpeedController:
    """Sets the speed of each worker's fillers.

    Args:
        model: expected headroom of serving tasks and what fillers take of it.
    """

    def __init__(self, model: LatencyModel) -> None:
        self._model = model
        self._state_by_worker: dict[str, _WorkerState] = {}

    def adjust(self, view: WorkerView, now: float) -> list[SpeedChange]:
        """Returns the changes of speed that follow from a worker's newest report."""
        state = self._state_by_worker.setdefault(view.worker_id, _WorkerState())
        is_over = _is_over_target(view)
        state.update(is_over, now)
        if is_over and state.limit < 1.0:
            view.fillers_blocked_until = now + FILLER_BLOCK_S
        running = [run for run in view.fillers if run.state is RunState.RUNNING]
        speed_by_run = self._speeds(view, running, now)
        may_rise = now - state.raised_at >= RISE_INTERVAL_S
        changes = []
        for run, speed in speed_by_run.items():
            if not self._is_negligible(view, run) or state.limit == 0.0:
                speed = min(speed, state.limit)
            percent = _percent(speed)
            is_worth = _is_worth_changing(run.speed_percent, percent, is_over, may_rise)
            if is_worth or _may_differ(run, now):
                changes.append(SpeedChange(run, percent))
        if any(change.percent > change.run.speed_percent for change in changes):
            state.raised_at = now
        return changes

    def runs_to_relocate(self, view: WorkerView, now: float) -> list[Run]:
        """Returns fillers that may move: slow for a while, and able to resume."""
        return [
            run
            for run in view.fillers
            if run.state is RunState.RUNNING
            and run.slow_since is not None
            and now - run.slow_since >= RELOCATE_AFTER_S
            and run.task.step.spec.saves_progress
        ]

    def forget(self, worker_id: str) -> None:
        """Forgets the state of a worker, since fillers of a new incarnation start at full speed."""
        self._state_by_worker.pop(worker_id, None)

    def _speeds(self, view: WorkerView, running: Sequence[Run], now: float) -> dict[Run, float]:
        """Returns the share of its full speed for each filler, by what the model expects."""
        reserves = [r for r in self._model.reserves(view, now + HORIZON_S) if not r.is_out_of_reach]
        for run in view.fillers:
            if run.state is not RunState.RUNNING:
                self._take(reserves, run.task.step.spec.image, _share(view, run))
        strains = {
            image: self._strain(reserves, image)
            for image in {run.task.step.spec.image for run in running}
        }
        speed_by_run: dict[Run, float] = {}
        for run in sorted(running, key=lambda r: (strains[r.task.step.spec.image], -r.percent)):
            image, share = run.task.step.spec.image, _share(view, run)
            speed = 1.0
            if not self._is_negligible(view, run):
                for reserve in reserves:
                    taken = max(self._model.cost(reserve.image, image) * share, 1e-9)
                    speed = min(speed, max(0.0, reserve.headroom) / taken)
            self._take(reserves, image, speed * share)
            speed_by_run[run] = speed
        return speed_by_run

    def _strain(self, reserves: Iterable[Reserve], image: str) -> float:
        """Returns how much of the scarcest headroom a filler image takes."""
        return max(
            (self._model.cost(r.image, image) / max(r.headroom, 1e-3) for r in reserves),
            default=0.0,
        )

    def _take(self, reserves: Iterable[Reserve], image: str, share: float) -> None:
        for reserve in reserves:
            reserve.headroom -= self._model.cost(reserve.image, image) * share

    def _is_negligible(self, view: WorkerView, run: Run) -> bool:
        share = _share(view, run)
        image = run.task.step.spec.image
        return all(
            self._model.cost(serving, image) * share < NEGLIGIBLE_HEADROOM
            for serving in view.serving_images
        )


def _share(view: WorkerView, run: Run) -> float:
    """Returns the share of a worker's processors that a filler declares."""
    return run.task.step.spec.demand.cpu_millis / max(1, view.info.capacity.cpu_millis)


def _is_over_target(view: WorkerView) -> bool:
    return any(
        run.measurement > run.task.step.spec.target_ms
        for run in view.serving
        if run.measurement > 0
    )


def _may_differ(run: Run, now: float) -> bool:
    """Returns True if the speed on the worker may not be the one that is known here.

    An order may be carried out late, after a newer one.
    """
    expected_millis = run.task.step.spec.demand.cpu_millis * run.speed_percent / 100
    stands_still = (
        now - run.progressed_at > STANDSTILL_S
        and run.measurement < STANDSTILL_USE_SHARE * expected_millis
    )
    return not run.is_speed_known or stands_still


def _percent(speed: float) -> int:
    percent = int(speed * FULL_SPEED_PERCENT + 1e-6)
    return percent - percent % SPEED_STEP_PERCENT


def _is_worth_changing(present: int, percent: int, is_over: bool, may_rise: bool) -> bool:
    """Returns True for changes that are large enough to be worth an order."""
    if percent < present:
        return is_over or percent == 0 or present - percent >= MIN_CUT_PERCENT
    if percent == present:
        return False
    return may_rise and (percent == FULL_SPEED_PERCENT or percent - present >= MIN_RISE_PERCENT)
