"""Tests of the layout of a deployment's shards, on virtual time."""

import asyncio
import json
import unittest

from pollengate.memory_store import MemoryStore
from pollengate.store import Listing, Put, StoreFailure
from pollengate.workflow.keys import LAYOUT_KEY
from pollengated.edge.clocks import Clocks
from pollengated.edge.layout import WORKERS_PER_SHARD, load_or_decide_layout
from result import Result

from tests.utils import run_virtual

RACK_SIZE = 8
# Clients come 12 s after the start on the smallest deployments.
MAX_DECISION_S = 12.0


class ListingStore(MemoryStore):
    """A store that counts listings."""

    listings = 0

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Lists keys."""
        self.listings += 1
        return await super().list(prefix)


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

    def test_layout_counts_workers_that_register_over_several_seconds(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            deciding = asyncio.create_task(load_or_decide_layout(store, Clocks.of_loop()))
            workers = 3 * WORKERS_PER_SHARD
            for number in range(workers):
                await register(store, number)
                await asyncio.sleep(6.0 / workers)
            self.assertEqual((await deciding).shards, 3)

        run_virtual(main())

    def test_layout_is_decided_in_time_although_workers_keep_registering(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            loop = asyncio.get_running_loop()
            deciding = asyncio.create_task(load_or_decide_layout(store, Clocks.of_loop()))
            number = 0
            while not deciding.done():
                await register(store, number)
                number += 1
                await asyncio.sleep(0.5)
            self.assertLess(loop.time(), MAX_DECISION_S)

        run_virtual(main())

    def test_only_deciding_processes_list_the_workers_unless_they_fail(self) -> None:
        async def main() -> None:
            store = ListingStore()
            await register(store, 0)
            clocks = Clocks.of_loop()
            waiting = asyncio.create_task(load_or_decide_layout(store, clocks, lambda: False))
            await asyncio.sleep(5.0)
            self.assertEqual(store.listings, 0)
            self.assertEqual((await waiting).shards, 1)
            self.assertLess(asyncio.get_running_loop().time(), MAX_DECISION_S)

        run_virtual(main())

    def test_unreadable_layout_is_waited_for(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            await store.commit((), (Put(LAYOUT_KEY, b"\xff"),))
            loading = asyncio.create_task(load_or_decide_layout(store, Clocks.of_loop()))
            await asyncio.sleep(1.0)
            await store.commit((), (Put(LAYOUT_KEY, b'{"shards": 2}'),))
            self.assertEqual((await loading).shards, 2)

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
