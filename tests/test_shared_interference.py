"""Tests of learning about interference in several shards that run the same images."""

import asyncio
import json
import random
import unittest
from collections.abc import Sequence
from unittest import mock

from pollengate.learning.merging import MergedOdds
from pollengate.memory_store import MemoryStore
from pollengate.store import Put
from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.policy import InterferencePolicy, SchedulingPolicy
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.shared_interference import SharedInterference

from tests.edge_cluster import EdgeCluster, NodeStore
from tests.utils import run_virtual

PAIR = ("x", "f")
PREFIX = "pollengate/beliefs/"


def learn(samples: Sequence[float], owners: int) -> float:
    """Returns the log odds of owners that get the samples in turn and read each other's records."""
    odds = [MergedOdds(-0.6, -2.3, 4.0, 10) for _ in range(owners)]
    for number, sample in enumerate(samples):
        odds[number % owners].shift_own(PAIR, sample)
        for owner in odds:
            owner.replace_others(dict(o.own_items()) for o in odds if o is not owner)
    assert len({round(owner.get(PAIR), 6) for owner in odds}) == 1
    return odds[0].get(PAIR)


class SharedInterferenceTest(unittest.TestCase):
    """Evidence counts once, wherever it was measured, and only while it is fresh."""

    def test_owners_with_parts_of_the_samples_end_at_the_odds_of_one_with_all(self) -> None:
        # Guards against evidence that counts twice on its way round, and against sums that have
        # left the bounds and no longer follow new samples.
        generator = random.Random(1)
        mixed = [generator.choice((-0.1, -0.1, 0.4)) for _ in range(40)]
        quiet_then_slow = [-0.1] * 60 + [2.0, 2.0]
        for samples in (mixed, quiet_then_slow, [2.0] * 8 + [-0.1] * 8):
            for owners in (2, 4):
                self.assertAlmostEqual(learn(samples, owners), learn(samples, 1))
        self.assertGreater(learn(quiet_then_slow, 4), 0.0)

    def test_records_are_used_while_they_are_fresh_and_readable(self) -> None:
        # Guards against old evidence of a shard without an owner, against one malformed record that
        # hides the others, and against more reads than one each 2 s.
        async def scenario() -> None:
            store, model = NodeStore(MemoryStore()), ColocationModel()
            values = {"1": b'{"x":{"f":4.0}}', "2": b"{broken", "0": b'{"x":{"h":4.0}}'}
            values["9"] = b'{"x":{"g":4.0}}'  # of no shard of the layout
            await store.commit((), [Put(PREFIX + shard, value) for shard, value in values.items()])
            shared = SharedInterference(0, 3, store, model, Clocks.of_loop(), EdgeMetrics())
            self.addCleanup(mock.patch.stopall)
            counted = mock.patch.object(store, "list_stale", side_effect=store.list_stale).start()
            reader = asyncio.create_task(shared.run())
            await asyncio.sleep(1.0)
            self.assertEqual(model.excluded_images(["x"]), {"f"})
            self.assertEqual(model.export(), {})
            await asyncio.sleep(20.0)
            await store.commit((), [Put(PREFIX + "1", values["1"])])  # unchanged, written again
            await asyncio.sleep(20.0)
            self.assertEqual(model.excluded_images(["x"]), {"f"})
            store.is_down = True
            await asyncio.sleep(9.0)  # 28 s after the last change
            self.assertEqual(model.excluded_images(["x"]), {"f"})
            await asyncio.sleep(5.0)
            self.assertEqual(model.excluded_images(["x"]), set())
            store.is_down = False
            await asyncio.sleep(5.0)  # the same revision once more
            self.assertEqual(model.excluded_images(["x"]), set())
            self.assertLessEqual(counted.call_count, 60 / 2 + 1)
            reader.cancel()

        run_virtual(scenario())

    def test_owner_decides_by_what_another_shard_learned_only_with_the_setting(self) -> None:
        # Guards against records that the version before can't read, as they hold other evidence
        # than the shard's own, and against a change for deployments without the setting.
        async def scenario(is_shared: bool) -> set[str]:
            cluster = EdgeCluster(shards=2)
            cluster.policy = SchedulingPolicy(interference=InterferencePolicy(is_shared=is_shared))
            await cluster.open()
            teacher, learner = [await cluster.wait_for_term(shard=shard) for shard in (0, 1)]
            teacher._colocation.load({"x": {"f": 3.0}})
            learner._colocation.load({"x": {"g": 3.0}})
            await asyncio.sleep(45.0)  # the records would be too old without being written again
            listing = (await cluster.store.list(PREFIX)).unwrap()
            values = [json.loads(entry.value) for entry in listing.entries]
            self.assertEqual(values, [{"x": {"f": 3.0}}, {"x": {"g": 3.0}}])
            return learner._colocation.excluded_images(["x"])

        self.assertEqual(run_virtual(scenario(True)), {"f", "g"})
        self.assertEqual(run_virtual(scenario(False)), {"g"})
