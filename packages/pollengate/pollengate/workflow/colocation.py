"""Learns which fillers interfere with which serving tasks from the latencies that workers report.

Most workers run serving tasks, and each serving image is slowed by some filler images and not at
all by the others. The model therefore keeps, for each pair of images, the probability that the pair
interferes. A latency over its target raises the odds for the fillers on the same worker, in
proportion to their probability and their processor use; a latency well below its target lowers
them. Evidence of other shards may be added, see `pollengate.learning.merging`.
"""

import collections
import math
from collections.abc import Iterable

from pollengate.learning.merging import MergedOdds, Pair
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState, StepProgress

__all__ = ["INTERFERING_PROBABILITY", "ColocationModel", "LogOddsByImage"]

# Log odds by serving image and filler image.
LogOddsByImage = dict[str, dict[str, float]]

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
        self._odds = MergedOdds(PRIOR_LOG_ODDS, MIN_LOG_ODDS, MAX_LOG_ODDS, MAX_PAIRS)
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

    def export(self) -> LogOddsByImage:
        """Returns the log odds from own evidence, for the shard's next owner and other shards."""
        exported: LogOddsByImage = {}
        for (serving, filler), log_odds in self._odds.own_items():
            exported.setdefault(serving, {})[filler] = round(log_odds, 2)
        return exported

    def load(self, exported: LogOddsByImage) -> None:
        """Loads log odds that an earlier owner of the shard exported."""
        for pair, log_odds in _by_pair(exported).items():
            self._odds.set_own(pair, log_odds)
            self._classify(pair)

    def replace_others(self, exported: Iterable[LogOddsByImage]) -> int:
        """Replaces the evidence of other shards by what their owners exported.

        Returns:
            The number of pairs with evidence of other shards.
        """
        records = [_by_pair(record) for record in exported]
        for pair in self._odds.replace_others(records):
            self._classify(pair)
        return len(set().union(*records))

    def probability(self, serving: str, filler: str) -> float:
        """Returns the probability that a pair of images interferes."""
        return _probability(self._odds.get((serving, filler)))

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
        log_odds = [self._odds.get((image, filler)) for image in view.serving_images]
        return _probability(max(log_odds)) if log_odds else 0.0

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
        self._odds.shift_own((serving, filler), change)
        self._classify((serving, filler))

    def _classify(self, pair: Pair) -> None:
        """Updates whether a pair counts as interfering."""
        serving, filler = pair
        interfering = self._interfering_by_serving.setdefault(serving, set())
        if self._odds.get(pair) >= INTERFERING_LOG_ODDS:
            interfering.add(filler)
        else:
            interfering.discard(filler)


def _by_pair(exported: LogOddsByImage) -> dict[Pair, float]:
    return {
        (serving, filler): log_odds
        for serving, log_odds_by_filler in exported.items()
        for filler, log_odds in log_odds_by_filler.items()
    }


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
