"""Measured core use and run time of task classes; declared values are often far off."""

import dataclasses

from pollengate.bounded import BoundedDict
from pollengate.placement_request import PlacementRequest

__all__ = ["ClassProfiles"]

MAX_CLASSES = 4096
PRIOR_SAMPLES = 3.0
MAX_SAMPLES = 50.0
MIN_RATIO = 0.01
MAX_RATIO = 100.0


@dataclasses.dataclass(slots=True)
class _RatioEstimate:
    """Running mean of the ratio of measured to declared values.

    It starts at 1 with the weight of `PRIOR_SAMPLES` samples; after `MAX_SAMPLES` it is an
    exponentially weighted mean.
    """

    value: float = 1.0
    samples: float = PRIOR_SAMPLES

    def add(self, sample: float) -> None:
        bounded = min(max(sample, MIN_RATIO), MAX_RATIO)
        self.samples = min(self.samples + 1.0, MAX_SAMPLES)
        self.value += (bounded - self.value) / self.samples


@dataclasses.dataclass(slots=True)
class _Profile:
    cores: _RatioEstimate = dataclasses.field(default_factory=_RatioEstimate)
    run_time: _RatioEstimate = dataclasses.field(default_factory=_RatioEstimate)


class ClassProfiles:
    """Ratios of measured to declared core use and run time, by task class.

    They are used to order tasks and to predict load, never to check capacity.
    """

    def __init__(self, max_classes: int = MAX_CLASSES) -> None:
        self._profiles_by_class: BoundedDict[str, _Profile] = BoundedDict(max_classes)

    def __len__(self) -> int:
        return len(self._profiles_by_class)

    def observe_cores(self, request: PlacementRequest, used_cores: float) -> None:
        """Updates the core use of a class with a measurement of one task."""
        self._profile(request.task_class).cores.add(used_cores / request.resources.cores)

    def observe_run_time(self, request: PlacementRequest, measured_s: float) -> None:
        """Updates the run time of a class with the time from a task's start to its end."""
        ratio = measured_s * 1000.0 / max(request.duration_ms, 1)
        self._profile(request.task_class).run_time.add(ratio)

    def cores_ratio(self, task_class: str) -> float:
        """Returns the ratio of used to declared cores; 1 for an unknown class."""
        profile = self._profiles_by_class.get(task_class)
        return 1.0 if profile is None else profile.cores.value

    def run_time_s(self, request: PlacementRequest) -> float:
        """Returns the expected run time of a task in seconds."""
        profile = self._profiles_by_class.get(request.task_class)
        ratio = 1.0 if profile is None else profile.run_time.value
        return request.duration_ms / 1000.0 * ratio

    def _profile(self, task_class: str) -> _Profile:
        profile = self._profiles_by_class.get(task_class) or _Profile()
        self._profiles_by_class.put(task_class, profile)
        return profile
