"""Tests of learning about interference in several shards that run the same images."""

import asyncio
import json
import unittest
from unittest import mock

from pollengate.interference.latency_model import LatencyModel
from pollengate.memory_store import MemoryStore
from pollengate.store import Put
from pollengate.workflow.policy import InterferencePolicy, SchedulingPolicy
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.shared_interference import SharedInterference

from tests.edge_cluster import EdgeCluster, NodeStore
from tests.utils import run_virtual

PREFIX = "pollengate/interference/"


class SharedInterferenceTest(unittest.TestCase):
    """Evidence counts once, wherever it was measured, and only while it is fresh."""

    def test_records_are_used_while_they_are_fresh_and_readable(self) -> None:
        # Guards against old evidence of a shard without an owner, against one malformed record that
        # hides the others, and against more reads than one each 2 s.
        async def scenario() -> None:
            store, model = NodeStore(MemoryStore()), LatencyModel()
            values = {
                "1": b'{"x":{"f":[40.0,0.1]}}',
                "2": b"{broken",
                "0": b'{"x":{"h":[40.0,0.1]}}',
            }
            values["9"] = b'{"x":{"g":[40.0,0.1]}}'  # of no shard of the layout
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
        # Guards against records that hold other evidence than the shard's own, and against a change
        # for deployments without the setting.
        async def scenario(is_shared: bool) -> set[str]:
            cluster = EdgeCluster(shards=2)
            cluster.policy = SchedulingPolicy(interference=InterferencePolicy(is_shared=is_shared))
            await cluster.open()
            teacher, learner = [await cluster.wait_for_term(shard=shard) for shard in (0, 1)]
            teacher._latency_model.load({"x": {"f": (40.0, 0.1)}})
            learner._latency_model.load({"x": {"g": (40.0, 0.1)}})
            await asyncio.sleep(45.0)  # the records would be too old without being written again
            listing = (await cluster.store.list(PREFIX)).unwrap()
            values = [json.loads(entry.value) for entry in listing.entries]
            self.assertEqual(values, [{"x": {"f": [40.0, 0.1]}}, {"x": {"g": [40.0, 0.1]}}])
            return learner._latency_model.excluded_images(["x"])

        self.assertEqual(run_virtual(scenario(True)), {"f", "g"})
        self.assertEqual(run_virtual(scenario(False)), {"g"})
