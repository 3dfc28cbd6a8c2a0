"""Which availability zone a job goes to."""

import dataclasses
import random
from collections.abc import Sequence

__all__ = ["SLOW_START_S", "ZoneLoad", "choose_zone"]

SLOW_START_S = 60.0
MIN_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """A zone in service as its owner last described it.

    Attributes:
        zone: its name.
        capacity_cores: processors of its workers.
        committed_cores: processors of tasks that run or wait there.
        in_service_s: seconds since it was taken into service.
    """

    zone: str
    capacity_cores: int
    committed_cores: int
    in_service_s: float


def choose_zone(loads: Sequence[ZoneLoad], generator: random.Random) -> str | None:
    """Draws a zone with a chance that grows with its room.

    A zone that has just returned gets its full chance only after `SLOW_START_S`, since all
    senders see it empty at once and its load is known with a lag.

    Returns:
        The zone, None if there is none.
    """
    if not loads:
        return None
    weights = [_weight(load) for load in loads]
    return generator.choices([load.zone for load in loads], weights)[0]


def _weight(load: ZoneLoad) -> float:
    room = 1.0 - load.committed_cores / max(load.capacity_cores, 1)
    slow_start = min(load.in_service_s / SLOW_START_S, 1.0)
    return max(room, MIN_WEIGHT) * max(slow_start, MIN_WEIGHT) * load.capacity_cores
