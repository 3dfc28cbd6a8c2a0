"""Tests of the assignment of racks to shards."""

import collections
import unittest

from pollengate.workflow.model import Demand, Worker
from pollengate.workflow.sharding import assign_racks

from tests.workflow_builders import build_lease_worker

ZONES = ("a", "b", "c")


def build_workers(racks_by_zone: dict[str, int], workers_per_rack: int = 8) -> list[Worker]:
    """Returns workers; those of every third rack have more processors."""
    return [
        build_lease_worker(
            f"w-{zone}-{rack}-{number}",
            zone=zone,
            rack=f"r-{zone}-{rack}",
            capacity=Demand(96_000 if rack % 3 == 2 else 64_000, 256_000),
        )
        for zone, racks in racks_by_zone.items()
        for rack in range(racks)
        for number in range(workers_per_rack)
    ]


class AssignRacksTest(unittest.TestCase):
    """Shards get about equal shares of the processors."""

    def test_shards_differ_by_at_most_one_rack_in_each_zone(self) -> None:
        workers = build_workers(dict.fromkeys(ZONES, 10))
        shard_by_rack = assign_racks(workers, 3)
        millis: collections.Counter[tuple[str, int]] = collections.Counter()
        for worker in workers:
            millis[worker.zone, shard_by_rack[worker.rack]] += worker.capacity.cpu_millis
        for zone in ZONES:
            shares = [millis[zone, shard] for shard in range(3)]
            self.assertLessEqual(max(shares) - min(shares), 8 * 96_000)
        totals = [sum(millis[zone, shard] for zone in ZONES) for shard in range(3)]
        self.assertLessEqual(max(totals) - min(totals), 8 * 96_000)

    def test_every_rack_has_a_shard(self) -> None:
        workers = build_workers({"a": 3, "b": 1, "c": 2})
        shard_by_rack = assign_racks(workers, 4)
        self.assertEqual(set(shard_by_rack), {worker.rack for worker in workers})
        self.assertTrue(all(0 <= shard < 4 for shard in shard_by_rack.values()))

    def test_single_shard_gets_all_racks(self) -> None:
        self.assertEqual(set(assign_racks(build_workers({"a": 2}), 1).values()), {0})

    def test_order_of_registration_does_not_matter(self) -> None:
        workers = build_workers(dict.fromkeys(ZONES, 4))
        self.assertEqual(assign_racks(workers, 3), assign_racks(reversed(workers), 3))
