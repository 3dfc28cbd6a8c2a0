"""What the latency of serving tasks is beside fillers, learned from what workers report.

The headroom of a serving task (see `headroom`) is its own, which changes with the load of its
users, less a share of each filler image on the worker: the part of the worker's processors that its
tasks use, times a coefficient of the pair of images. Both are estimated together from each report.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from pollengate.bounded import BoundedDict
from pollengate.interference.coefficients import Coefficients, Estimate
from pollengate.interference.headroom import LEVEL_VARIANCE, HeadroomTrend, RunOffset
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState, StepProgress

__all__ = ["NEGLIGIBLE_HEADROOM", "EstimateByImages", "LatencyModel", "Pair", "Reserve"]

# Image of a serving task and image of a filler.
Pair = tuple[str, str]
# Mean and variance of a coefficient, by serving image and filler image.
EstimateByImages = dict[str, dict[str, tuple[float, float]]]

MAX_PAIRS = 16_384
MAX_STEPS = 4096
MAX_RUNS = 16_384
MAX_IMAGES = 4096
# Coefficient of a pair without samples.
PRIOR_MEAN = 2.0
PRIOR_VARIANCE = 5.0**2
# Interference changes within seconds; there are some ten samples of a pair per second.
DRIFT_VARIANCE = 0.03
# A measurement covers this time.
MEASUREMENT_WINDOW_S = 0.5
MEASUREMENT_AGE_S = MEASUREMENT_WINDOW_S / 2
# Standard deviation of a measured ratio of target to latency: a part of it, and a constant.
RELATIVE_NOISE = 0.06
CONSTANT_NOISE = 0.08
# Above this multiple of its target a latency only shows that there is no capacity left over.
SATURATED_LATENCY_RATIO = 3.0
# Highest ratio that is learned from: a task so far below its target leaves room for any filler.
# The square of the ratio of a latency near 0 is out of range.
MAX_RATIO = 100.0
# Headroom of an image without samples, and the weight of a new sample.
TYPICAL_HEADROOM = 2.0
TYPICAL_WEIGHT = 0.02
MIN_SHARE = 0.003
# Own headroom is estimated with this many standard deviations on the side of caution.
CAUTION_DEVIATIONS = 0.5
# A pair is unknown while the standard deviation of its coefficient is above this.
UNKNOWN_DEVIATION = 3.0
# A filler that takes less headroom than this counts as harmless whatever the load is.
NEGLIGIBLE_HEADROOM = 0.2
# A filler image is excluded from a serving image if a filler that uses this share of a worker takes
# this part of the serving image's typical headroom.
TYPICAL_FILLER_SHARE = 0.1
EXCLUDING_HEADROOM_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Reserve:
    """Headroom of one serving run that fillers may take.

    Attributes:
        image: image of the run.
        headroom: cautious estimate of what its own load leaves; 0 or less if nothing.
        is_out_of_reach: whether its own load alone takes the latency over the target, so that no
            filler is the cause.
    """

    image: str
    headroom: float
    is_out_of_reach: bool


class LatencyModel:
    """Headroom of serving runs, and the coefficient of each pair of images."""

    def __init__(self) -> None:
        self._coefficients: Coefficients[Pair] = Coefficients(
            lambda pair: PRIOR_MEAN, PRIOR_VARIANCE, DRIFT_VARIANCE, MAX_PAIRS
        )
        self._trend_by_step: BoundedDict[StepProgress, HeadroomTrend] = BoundedDict(MAX_STEPS)
        self._offset_by_run: BoundedDict[Run, RunOffset] = BoundedDict(MAX_RUNS)
        self._typical_by_image: BoundedDict[str, float] = BoundedDict(MAX_IMAGES)
        self._excluded_by_serving: dict[str, set[str]] = {}

    def observe(self, view: WorkerView, now: float) -> None:
        """Updates the estimates from a worker's newest report.

        Args:
            view: the worker.
            now: clock time of the report.
        """
        if not view.is_registered or not view.info.capacity.cpu_millis:
            return  # the worker's capacity is unknown
        shares = _used_shares(view, now)
        for run in view.serving:
            if run.state is not RunState.RUNNING or run.measurement <= 0:
                continue
            if run.measurement_change == 0:
                continue  # the same measurement, reported again
            self._observe_run(run, shares, now - MEASUREMENT_AGE_S)

    def own_headroom(self, run: Run, at: float) -> Estimate:
        """Returns the headroom that a serving run would have without fillers at a clock time."""
        step = run.task.step
        trend = self._trend_by_step.get(step)
        if trend is None:
            return Estimate(self._typical(step.spec.image), LEVEL_VARIANCE)
        expected = trend.expect(at)
        offset = self._offset_by_run.get(run)
        if offset is None:
            return expected
        return Estimate(expected.mean + offset.mean, expected.variance + offset.variance)

    def reserves(self, view: WorkerView, at: float) -> list[Reserve]:
        """Returns what each serving run of a worker leaves to fillers at a clock time."""
        reserves = []
        for run in view.serving:
            own = self.own_headroom(run, at)
            reserves.append(
                Reserve(
                    run.task.step.spec.image,
                    own.mean - CAUTION_DEVIATIONS * own.deviation,
                    own.mean + own.deviation < 0,
                )
            )
        return reserves

    def cost(self, serving: str, filler: str) -> float:
        """Returns the headroom that a filler image would take with all processors of a worker."""
        return self._coefficients.get((serving, filler)).mean

    def coefficient(self, serving: str, filler: str) -> Estimate:
        """Returns the coefficient of a pair of images."""
        return self._coefficients.get((serving, filler))

    def is_unknown(self, pair: Pair) -> bool:
        """Returns True if little is known about a pair of images."""
        return self._coefficients.get(pair).deviation > UNKNOWN_DEVIATION

    def spare_headroom(self, view: WorkerView, times: Iterable[float]) -> dict[str, float]:
        """Returns the headroom that is left beside the fillers of a worker at full speed.

        Args:
            view: the worker.
            times: clock times, of which the one with the least headroom counts.

        Returns:
            The least of each serving image, without tasks whose own load exceeds their target.
        """
        present = _full_speed_shares(view)
        taken_by_image = {
            serving: sum(self.cost(serving, image) * s for image, s in present.items())
            for serving in view.serving_images
        }
        spare: dict[str, float] = {}
        for at in times:
            for reserve in self.reserves(view, at):
                if not reserve.is_out_of_reach:
                    left = reserve.headroom - taken_by_image[reserve.image]
                    spare[reserve.image] = min(left, spare.get(reserve.image, left))
        return spare

    def excluded_images(self, serving_images: Iterable[str]) -> set[str]:
        """Returns the known filler images that take too much headroom of a serving image."""
        empty: set[str] = set()
        return empty.union(*(self._excluded_by_serving.get(i, empty) for i in serving_images))

    def export(self) -> EstimateByImages:
        """Returns the coefficients from own samples, for the shard's next owner and for others."""
        exported: EstimateByImages = {}
        for (serving, filler), estimate in self._coefficients.own_items():
            exported.setdefault(serving, {})[filler] = (
                round(estimate.mean, 2),
                round(estimate.variance, 2),
            )
        return exported

    def load(self, exported: EstimateByImages) -> None:
        """Loads coefficients that an earlier owner of the shard exported."""
        for pair, estimate in _by_pair(exported).items():
            self._coefficients.set_own(pair, estimate)
            self._classify(pair)

    def replace_others(self, exported: Iterable[EstimateByImages]) -> int:
        """Replaces the evidence of other shards by what their owners exported.

        Returns:
            The number of pairs with evidence of other shards.
        """
        records = [_by_pair(record) for record in exported]
        affected = self._coefficients.replace_others(records)
        for pair in affected:
            self._classify(pair)
        return len(set().union(*records))

    def _observe_run(self, run: Run, shares: Mapping[str, float], at: float) -> None:
        spec = run.task.step.spec
        ratio = min(spec.target_ms / run.measurement, MAX_RATIO)
        trend = self._trend_by_step.get(run.task.step) or HeadroomTrend(
            self._typical(spec.image), at
        )
        offset = self._offset_by_run.get(run) or RunOffset.unknown(at)
        trend.advance(at)
        offset.advance(at)
        self._trend_by_step.put(run.task.step, trend)
        self._offset_by_run.put(run, offset)
        own = trend.expect(at)
        own = Estimate(own.mean + offset.mean, own.variance + offset.variance)
        share_by_pair = {(spec.image, filler): share for filler, share in shares.items()}
        taken = self._coefficients.expect(share_by_pair)
        measured = ratio - 1
        is_saturated = ratio < 1 / SATURATED_LATENCY_RATIO
        if is_saturated and own.mean - taken.mean < measured:
            return  # a saturated task shows no difference between enough and too much load
        noise = (RELATIVE_NOISE * ratio) ** 2 + CONSTANT_NOISE**2
        total_variance = own.variance + taken.variance + noise
        error = self._coefficients.observe(share_by_pair, own.mean - measured, own.variance + noise)
        trend.correct(-error, total_variance)
        offset.correct(-error, total_variance)
        typical = self._typical(spec.image)
        self._typical_by_image.put(spec.image, typical + TYPICAL_WEIGHT * (own.mean - typical))
        for pair in share_by_pair:
            self._classify(pair)

    def _typical(self, image: str) -> float:
        typical = self._typical_by_image.get(image)
        return TYPICAL_HEADROOM if typical is None else typical

    def _classify(self, pair: Pair) -> None:
        """Updates whether the filler image of a pair is excluded from the serving image."""
        serving, filler = pair
        taken = self._coefficients.get(pair).mean * TYPICAL_FILLER_SHARE
        excluded = self._excluded_by_serving.setdefault(serving, set())
        if taken > EXCLUDING_HEADROOM_SHARE * self._typical(serving):
            excluded.add(filler)
        else:
            excluded.discard(filler)


def _by_pair(exported: EstimateByImages) -> dict[Pair, Estimate]:
    return {
        (serving, filler): Estimate(mean, variance)
        for serving, estimate_by_filler in exported.items()
        for filler, (mean, variance) in estimate_by_filler.items()
    }


def _used_shares(view: WorkerView, now: float) -> dict[str, float]:
    """Returns the share of a worker's processors that each filler image used, as reported.

    A filler that has run for less than a measurement takes is reported with no use; latencies show
    it from its start on.
    """
    millis_by_image: dict[str, float] = {}
    for run in view.fillers:
        spec = run.task.step.spec
        used_millis = run.measurement
        if used_millis <= 0:
            ran_share = min(1.0, (now - run.ordered_at) / MEASUREMENT_WINDOW_S)
            used_millis = spec.demand.cpu_millis * ran_share * run.speed_percent / 100
        millis_by_image[spec.image] = millis_by_image.get(spec.image, 0.0) + used_millis
    capacity_millis = view.info.capacity.cpu_millis
    return {
        image: min(1.0, millis / capacity_millis)
        for image, millis in millis_by_image.items()
        if millis >= MIN_SHARE * capacity_millis
    }


def _full_speed_shares(view: WorkerView) -> dict[str, float]:
    """Returns the share of a worker's processors that each filler image uses at full speed."""
    share_by_image: dict[str, float] = {}
    for run in view.fillers:
        spec = run.task.step.spec
        share = spec.demand.cpu_millis / max(1, view.info.capacity.cpu_millis)
        share_by_image[spec.image] = share_by_image.get(spec.image, 0.0) + share
    return share_by_image
