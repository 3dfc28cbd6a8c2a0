"""Assigns a deployment's racks to shards.

The owner of a shard can only use the shard's workers, so a shard with too few of them refuses or
queues work that another shard has capacity for. Each shard therefore gets about the same number of
processors in every availability zone, and loses the same share in an outage of a zone.
"""

import collections
from collections.abc import Iterable

from pollengate.workflow.model import Worker

__all__ = ["assign_racks"]


def assign_racks(workers: Iterable[Worker], shards: int) -> dict[str, int]:
    """Returns the shard of each rack, assigning the largest racks first."""
    millis_by_rack: collections.Counter[tuple[str, str]] = collections.Counter()
    for worker in workers:
        millis_by_rack[worker.zone, worker.rack] += worker.capacity.cpu_millis
    millis_by_zone_and_shard: collections.Counter[tuple[str, int]] = collections.Counter()
    millis_by_shard: collections.Counter[int] = collections.Counter()
    shard_by_rack: dict[str, int] = {}
    for (zone, rack), millis in sorted(
        millis_by_rack.items(), key=lambda item: (-item[1], item[0])
    ):
        if rack in shard_by_rack:
            shard = shard_by_rack[rack]  # a rack listed in two zones is not split
        else:
            shard = min(
                range(shards),
                key=lambda n: (millis_by_zone_and_shard[zone, n], millis_by_shard[n], n),
            )
        shard_by_rack[rack] = shard
        millis_by_zone_and_shard[zone, shard] += millis
        millis_by_shard[shard] += millis
    return shard_by_rack
