"""Choice of the availability zone for a job."""

import dataclasses
import random
from collections.abc import Sequence

__all__ = ["SLOW_START_S", "ZoneLoad", "choose_zone"]

SLOW_START_S = 60.0
MIN_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The last known load of a zone in service.

    Attributes:
        zone: name of the zone.
        capacity_cores: total cores of its workers.
        committed_cores: total cores of the tasks that run or wait there.
        in_service_s: seconds since the zone was put into service.
    """

    zone: str
    capacity_cores: int
    committed_cores: int
    in_service_s: float


def choose_zone(loads: Sequence[ZoneLoad], generator: random.Random) -> str | None:
    """Chooses a zone at random, weighted by free capacity.

    A full zone keeps a small weight. The weight of a zone that was just put into service grows
    over `SLOW_START_S`; otherwise all senders would choose the empty zone at the same time, since
    its load is known only with a delay.

    Returns:
        The name of the zone, None if `loads` is empty.
    """
    if not loads:
        return None
    weights = [_weight(load) for load in loads]
    return generator.choices([load.zone for load in loads], weights)[0]


def _weight(load: ZoneLoad) -> float:
    free_fraction = 1.0 - load.committed_cores / max(load.capacity_cores, 1)
    slow_start = min(load.in_service_s / SLOW_START_S, 1.0)
    return max(free_fraction, MIN_WEIGHT) * max(slow_start, MIN_WEIGHT) * load.capacity_cores
