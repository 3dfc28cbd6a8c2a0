"""Learns which fillers interfere with which serving tasks from the latencies that workers report.

Most workers run serving tasks, and each serving image is slowed by some filler images and not at
all by the others. The model therefore keeps, for each pair of images, the probability that the pair
interferes. A latency over its target raises the odds for the fillers on the same worker, in
proportion to their probability and their processor use; a latency well below its target lowers
them.
"""

import collections
import math
from collections.abc import Iterable

from pollengate.bounded import BoundedDict
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState, StepProgress

__all__ = ["INTERFERING_PROBABILITY", "ColocationModel"]

# Without interference, latencies vary between a quarter of the target and this share of it.
UNDISTURBED_LATENCY_SHARE = 0.85
# Log odds of a pair without evidence; about a third of all pairs interfere.
PRIOR_LOG_ODDS = -0.6
# Bounds on the log odds, so that new evidence can still change them. The lower bound is closer to
# zero, since quiet phases give many low latencies that prove little; two latencies over the target
# outweigh them.
MAX_LOG_ODDS = 4.0
MIN_LOG_ODDS = -2.3
# Added to the log odds for one latency over the target, divided among the worker's filler images.
EVIDENCE_FOR_LOG_ODDS = 2.0
# Subtracted for one latency well below the target, for a filler image of full weight. Small, since
# latencies stay low for seconds at a time and so give many measurements.
EVIDENCE_AGAINST_LOG_ODDS = 0.1
# A filler image that uses at least this share of a worker's processors has full weight.
FULL_WEIGHT_SHARE = 0.05
# Probability from which a pair counts as interfering, and the same as log odds.
INTERFERING_PROBABILITY = 0.5
INTERFERING_LOG_ODDS = 0.0
MAX_PAIRS = 16_384


class ColocationModel:
    """Probability of interference for each pair of a serving image and a filler image."""

    def __init__(self) -> None:
        self._log_odds_by_pair: BoundedDict[tuple[str, str], float] = BoundedDict(MAX_PAIRS)
        self._interfering_by_serving: dict[str, set[str]] = {}

    def observe(self, view: WorkerView) -> None:
        """Updates the odds from a worker's newest measurements."""
        if not view.is_registered:
            return  # the worker's capacity is unknown
        weight_by_filler = _weight_by_filler_image(view)
        for run in view.serving:
            if run.state is not RunState.RUNNING or run.measurement <= 0:
                continue
            spec = run.task.step.spec
            if run.measurement_change == 0:
                continue  # the same measurement, reported again
            # A falling latency is no evidence: whatever raised it has already stopped.
            if run.measurement > spec.target_ms and run.measurement_change > 0:
                self._raise_odds(spec.image, weight_by_filler)
            elif run.measurement < UNDISTURBED_LATENCY_SHARE * spec.target_ms:
                self._lower_odds(spec.image, weight_by_filler)

    def export(self) -> dict[str, dict[str, float]]:
        """Returns the log odds by serving image and filler image, for the shard's next owner."""
        exported: dict[str, dict[str, float]] = {}
        for (serving, filler), log_odds in self._log_odds_by_pair.items():
            exported.setdefault(serving, {})[filler] = round(log_odds, 2)
        return exported

    def load(self, exported: dict[str, dict[str, float]]) -> None:
        """Loads log odds that an earlier owner exported."""
        for serving, log_odds_by_filler in exported.items():
            for filler, log_odds in log_odds_by_filler.items():
                self._set_log_odds(serving, filler, log_odds)

    def probability(self, serving: str, filler: str) -> float:
        """Returns the probability that a pair of images interferes."""
        log_odds = self._log_odds_by_pair.get((serving, filler))
        return _probability(PRIOR_LOG_ODDS if log_odds is None else log_odds)

    def interference_probability(self, view: WorkerView, step: StepProgress) -> float:
        """Returns the probability that a step's fillers interfere with a worker's serving tasks."""
        return self._highest_probability(view, step.spec.image)

    def is_interfering(self, view: WorkerView, run: Run) -> bool:
        """Returns True if a filler probably interferes with a serving task on its worker."""
        return self._highest_probability(view, run.task.step.spec.image) >= INTERFERING_PROBABILITY

    def excluded_images(self, serving_images: Iterable[str]) -> set[str]:
        """Returns the filler images that interfere with at least one of the serving images."""
        empty: set[str] = set()
        return empty.union(*(self._interfering_by_serving.get(i, empty) for i in serving_images))

    def _highest_probability(self, view: WorkerView, filler: str) -> float:
        log_odds = [self._log_odds_by_pair.get((image, filler)) for image in view.serving_images]
        if not log_odds:
            return 0.0
        return _probability(max(PRIOR_LOG_ODDS if odds is None else odds for odds in log_odds))

    def _raise_odds(self, serving: str, weight_by_filler: dict[str, float]) -> None:
        likelihood_by_filler = {
            f: self.probability(serving, f) * weight for f, weight in weight_by_filler.items()
        }
        total = sum(likelihood_by_filler.values())
        for filler, likelihood in likelihood_by_filler.items():
            self._shift_log_odds(serving, filler, EVIDENCE_FOR_LOG_ODDS * likelihood / total)

    def _lower_odds(self, serving: str, weight_by_filler: dict[str, float]) -> None:
        for filler, weight in weight_by_filler.items():
            self._shift_log_odds(serving, filler, -EVIDENCE_AGAINST_LOG_ODDS * weight)

    def _shift_log_odds(self, serving: str, filler: str, change: float) -> None:
        log_odds = self._log_odds_by_pair.get((serving, filler))
        self._set_log_odds(
            serving, filler, (PRIOR_LOG_ODDS if log_odds is None else log_odds) + change
        )

    def _set_log_odds(self, serving: str, filler: str, log_odds: float) -> None:
        clipped = min(max(log_odds, MIN_LOG_ODDS), MAX_LOG_ODDS)
        self._log_odds_by_pair.put((serving, filler), clipped)
        interfering = self._interfering_by_serving.setdefault(serving, set())
        if clipped >= INTERFERING_LOG_ODDS:
            interfering.add(filler)
        else:
            interfering.discard(filler)


def _probability(log_odds: float) -> float:
    return 1 / (1 + math.exp(-log_odds))


def _weight_by_filler_image(view: WorkerView) -> dict[str, float]:
    """Returns the weight of each filler image on a worker, from 0 to 1."""
    used_by_image: collections.defaultdict[str, float] = collections.defaultdict(float)
    for run in view.fillers:
        used_by_image[run.task.step.spec.image] += run.measurement
    full_weight_millis = view.info.capacity.cpu_millis * FULL_WEIGHT_SHARE
    return {
        image: min(1.0, millis / full_weight_millis)
        for image, millis in used_by_image.items()
        if millis > 0
    }
