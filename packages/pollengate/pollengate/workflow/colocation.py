"""Learns which fillers harm which serving tasks, from the latencies that workers report.

Made for fleets on which most workers hold serving tasks, each image of which suffers from some
images of fillers and not at all from the others. A pair of images either harms or does not, so the
belief in each is a probability, moved by what is seen: a latency over its target blames the
fillers beside it in proportion to how likely and how large they are; one well below clears them.
"""

import collections
import math
from collections.abc import Iterable

from pollengate.bounded import BoundedDict
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState, StepProgress

__all__ = ["INTERFERING_PROBABILITY", "ColocationModel"]

# By themselves serving tasks swing between a quarter of their target and this share of it.
UNDISTURBED_LATENCY_SHARE = 0.85
# Log odds that an unknown pair harms; about a third of them do.
PRIOR_LOG_ODDS = -0.6
# Log odds beyond which nothing more is learned, so that a belief can change. Good figures of quiet
# phases are many and prove little: two late ones outweigh them all.
MAX_LOG_ODDS = 4.0
MIN_LOG_ODDS = -2.3
# Change of log odds for the only suspect of one late figure.
EVIDENCE_FOR_LOG_ODDS = 2.0
# Change of log odds for a full share beside one good figure; good phases last for seconds.
EVIDENCE_AGAINST_LOG_ODDS = 0.1
# Share of a worker's processors at which a filler's presence counts in full.
FULL_WEIGHT_SHARE = 0.05
# Probability, and its log odds, from which a pair is kept apart.
INTERFERING_PROBABILITY = 0.5
INTERFERING_LOG_ODDS = 0.0
MAX_PAIRS = 16_384


class ColocationModel:
    """Which pairs of a serving image and a filler image are likely to harm."""

    def __init__(self) -> None:
        self._log_odds_by_pair: BoundedDict[tuple[str, str], float] = BoundedDict(MAX_PAIRS)
        self._interfering_by_serving: dict[str, set[str]] = {}

    def observe(self, view: WorkerView) -> None:
        """Takes in a worker's newest figures."""
        if not view.is_registered:
            return  # its capacity is not known
        weight_by_filler = _weight_by_filler_image(view)
        for run in view.serving:
            if run.state is not RunState.RUNNING or run.measurement <= 0:
                continue
            spec = run.task.step.spec
            if run.measurement_change == 0:
                continue  # the same figure again
            # A latency that falls says that its cause is gone.
            if run.measurement > spec.target_ms and run.measurement_change > 0:
                self._raise_odds(spec.image, weight_by_filler)
            elif run.measurement < UNDISTURBED_LATENCY_SHARE * spec.target_ms:
                self._lower_odds(spec.image, weight_by_filler)

    def export(self) -> dict[str, dict[str, float]]:
        """Returns the log odds by serving image and filler image, for a successor."""
        exported: dict[str, dict[str, float]] = {}
        for (serving, filler), log_odds in self._log_odds_by_pair.items():
            exported.setdefault(serving, {})[filler] = round(log_odds, 2)
        return exported

    def load(self, exported: dict[str, dict[str, float]]) -> None:
        """Takes over what an earlier owner learned."""
        for serving, log_odds_by_filler in exported.items():
            for filler, log_odds in log_odds_by_filler.items():
                self._set_log_odds(serving, filler, log_odds)

    def probability(self, serving: str, filler: str) -> float:
        """Returns how likely a pair of images harms."""
        log_odds = self._log_odds_by_pair.get((serving, filler))
        return 1 / (1 + math.exp(-(PRIOR_LOG_ODDS if log_odds is None else log_odds)))

    def interference_probability(self, view: WorkerView, step: StepProgress) -> float:
        """Returns how likely a filler of a step harms a serving task of a worker."""
        return self._highest_probability(view, step.spec.image)

    def is_interfering(self, view: WorkerView, run: Run) -> bool:
        """Tells whether a filler probably harms a serving task beside it."""
        return self._highest_probability(view, run.task.step.spec.image) >= INTERFERING_PROBABILITY

    def excluded_images(self, serving_images: Iterable[str]) -> set[str]:
        """Returns the images of fillers that must not run beside some serving images."""
        none: set[str] = set()
        return none.union(*(self._interfering_by_serving.get(i, none) for i in serving_images))

    def _highest_probability(self, view: WorkerView, filler: str) -> float:
        probabilities = (self.probability(image, filler) for image in view.serving_images)
        return max(probabilities, default=0.0)

    def _raise_odds(self, serving: str, weight_by_filler: dict[str, float]) -> None:
        likelihood_by_filler = {
            f: self.probability(serving, f) * share for f, share in weight_by_filler.items()
        }
        total = sum(likelihood_by_filler.values())
        for filler, part in likelihood_by_filler.items():
            self._shift_log_odds(serving, filler, EVIDENCE_FOR_LOG_ODDS * part / total)

    def _lower_odds(self, serving: str, weight_by_filler: dict[str, float]) -> None:
        for filler, share in weight_by_filler.items():
            self._shift_log_odds(serving, filler, -EVIDENCE_AGAINST_LOG_ODDS * share)

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


def _weight_by_filler_image(view: WorkerView) -> dict[str, float]:
    """Returns how much each image of fillers counts on a worker, from 0 to 1."""
    use: collections.defaultdict[str, float] = collections.defaultdict(float)
    for run in view.fillers:
        use[run.task.step.spec.image] += run.measurement
    full = view.info.capacity.cpu_millis * FULL_WEIGHT_SHARE
    return {image: min(1.0, millis / full) for image, millis in use.items() if millis > 0}
