"""Learns by which factor the run times of tasks differ from their estimates."""

import dataclasses

__all__ = ["RunTimes"]

# Estimates of a queue and image with fewer completed tasks are used as they are: the spread from
# task to task is a factor of two, so that the mean of fewer is no better than the estimate.
MIN_SAMPLES = 8
# From this number on, older samples count less and less, so that a change of a program shows.
MAX_SAMPLES = 100
# A run of 7 times the estimate is common (3 in 100); a higher ratio says more of the worker.
MAX_RATIO = 8.0
MIN_RATIO = 1 / MAX_RATIO
# The image is the caller's choice, so that the number of entries has to be bounded.
MAX_ENTRIES = 512


@dataclasses.dataclass(slots=True)
class _Mean:
    samples: int = 0
    ratio: float = 0.0


class RunTimes:
    """Running means of run time by estimate, for each queue and image.

    A caller whose estimates are too low or too high on the whole gains nothing by it, since the
    ratio corrects them.
    """

    def __init__(self) -> None:
        self._mean_by_key: dict[tuple[str, str], _Mean] = {}

    def record(self, queue_name: str, image: str, estimate_s: float, took_s: float) -> None:
        """Records a completed task that was not disturbed."""
        if estimate_s <= 0:
            return
        key = (queue_name, image)
        # The entries are in order of their last sample; the one without a sample for longest goes.
        mean = self._mean_by_key.pop(key, None) or _Mean()
        if len(self._mean_by_key) >= MAX_ENTRIES:
            del self._mean_by_key[next(iter(self._mean_by_key))]
        self._mean_by_key[key] = mean
        ratio = min(max(took_s / estimate_s, MIN_RATIO), MAX_RATIO)
        mean.samples = min(mean.samples + 1, MAX_SAMPLES)
        mean.ratio += (ratio - mean.ratio) / mean.samples

    def factor(self, queue_name: str, image: str) -> float:
        """Returns the factor by which estimates are multiplied; 1.0 with too few samples."""
        mean = self._mean_by_key.get((queue_name, image))
        return mean.ratio if mean is not None and mean.samples >= MIN_SAMPLES else 1.0
