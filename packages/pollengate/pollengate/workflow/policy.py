"""Settings of scheduling decisions that a deployment may switch on."""

import dataclasses
from typing import Annotated

import msgspec

__all__ = ["InterferencePolicy", "OverloadPolicy", "SchedulingPolicy"]


_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadPolicy:
    """What happens when there is too little room.

    Attributes:
        is_enabled: whether jobs are ordered by their cost to callers and refused in a shortage.
        useful_factor: a job is of no use to its caller after this many times its latency objective.
        enter_factor: due work divided by room from which there is a shortage.
        leave_factor: due work divided by room below which a shortage has ended.
        floor_jobs_per_s: jobs of each queue that a shard always accepts, per second.
        floor_share: share of the jobs of each queue that a shard always accepts, from 0 to 1.
    """

    is_enabled: bool = False
    useful_factor: Annotated[float, msgspec.Meta(ge=1)] = 3.0
    enter_factor: _Positive = 1.0
    leave_factor: _Positive = 0.8
    floor_jobs_per_s: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    floor_share: _Share = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class InterferencePolicy:
    """How owners learn which fillers interfere with serving tasks.

    Attributes:
        is_shared: whether the owners of all shards learn from each other.
    """

    is_shared: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """All such settings; by default everything is off."""

    overload: OverloadPolicy = OverloadPolicy()
    interference: InterferencePolicy = InterferencePolicy()
