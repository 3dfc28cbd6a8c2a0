"""Tests of the layout of a deployment's shards, on virtual time."""

import asyncio
import json
import unittest

from pollengate.memory_store import MemoryStore
from pollengate.store import Put
from pollengate.workflow.keys import LAYOUT_KEY
from pollengated.edge.clocks import Clocks
from pollengated.edge.layout import WORKERS_PER_SHARD, load_or_decide_layout

from tests.utils import run_virtual

RACK_SIZE = 8


async def register(store: MemoryStore, number: int) -> None:
    """Writes the registration of a worker with the given number."""
    document = {
        "service": "service",
        "addr": f"10.0.0.{number}:1",
        "zone": "abc"[number // RACK_SIZE % 3],
        "state": "ready",
        "capacity": {"cpu": 64_000, "memMb": 4000},
        "labels": ["k", f"r{number // RACK_SIZE}"],
    }
    await store.commit((), (Put(f"servers/i-{number}", json.dumps(document).encode()),))


class LayoutTest(unittest.TestCase):
    """Tests of the number of shards and the assignment of racks."""

    def test_layout_is_decided_once_and_then_loaded(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            for number in range(3 * WORKERS_PER_SHARD):
                await register(store, number)
            clocks = Clocks.of_loop()
            first, second = await asyncio.gather(
                load_or_decide_layout(store, clocks), load_or_decide_layout(store, clocks)
            )
            self.assertEqual(first, second)
            self.assertEqual(first.shards, 3)
            for number in range(3 * WORKERS_PER_SHARD, 6 * WORKERS_PER_SHARD):
                await register(store, number)
            self.assertEqual(await load_or_decide_layout(store, clocks), first)
            shards = {first.shard_of(rack) for rack in first.shard_by_rack}
            self.assertEqual(shards, {0, 1, 2})
            self.assertIn(first.shard_of("a rack that came later"), shards)

        run_virtual(main())

    def test_stored_layout_without_racks_can_be_loaded(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            await store.commit((), (Put(LAYOUT_KEY, b'{"shards": 2}'),))
            layout = await load_or_decide_layout(store, Clocks.of_loop())
            self.assertEqual(layout.shards, 2)
            self.assertIn(layout.shard_of("r0"), {0, 1})

        run_virtual(main())

    def test_unreadable_registration_is_not_counted_as_a_worker(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            await store.commit((), (Put("servers/odd", b"\xff"),))
            layout_task = asyncio.ensure_future(load_or_decide_layout(store, Clocks.of_loop()))
            await asyncio.sleep(10.0)
            self.assertFalse(layout_task.done())
            await register(store, 0)
            layout = await layout_task
            self.assertEqual((layout.shards, layout.shard_by_rack), (1, {"r0": 0}))

        run_virtual(main())
