"""Tests of the in-memory store."""

import asyncio
import unittest

from pollengate.memory_store import MemoryStore
from pollengate.store import Put, Unchanged

from tests.utils import run_virtual


class MemoryStoreTest(unittest.TestCase):
    """Compare-and-swap, leases and watches."""

    def test_commit_fails_if_the_key_has_changed(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            first = (await store.commit((Unchanged("k", 0),), (Put("k", b"1"),))).unwrap()
            self.assertTrue(first.succeeded)
            second = (await store.commit((Unchanged("k", 0),), (Put("k", b"2"),))).unwrap()
            self.assertFalse(second.succeeded)
            self.assertEqual(second.current[0].value, b"1")
            self.assertEqual(second.current[0].revision, first.revision)

        run_virtual(main())

    def test_expiry_of_a_lease_deletes_its_keys(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            lease_id = (await store.grant_lease(3)).unwrap()
            await store.commit((), (Put("k", b"1", lease_id),))
            await asyncio.sleep(2.9)
            self.assertIsNotNone((await store.get("k")).unwrap())
            await asyncio.sleep(0.2)
            self.assertIsNone((await store.get("k")).unwrap())
            self.assertEqual((await store.renew_lease(lease_id)).unwrap(), 0.0)

        run_virtual(main())

    def test_watch_yields_changes_in_order(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            seen: list[tuple[str, bool]] = []

            async def watch() -> None:
                async for event in store.watch("a/", 0):
                    seen.append((event.key, event.entry is not None))

            task = asyncio.create_task(watch())
            lease_id = (await store.grant_lease(2)).unwrap()
            await store.commit((), (Put("a/1", b"", lease_id), Put("b/1", b"")))
            await asyncio.sleep(5)
            task.cancel()
            self.assertEqual(seen, [("a/1", True), ("a/1", False)])

        run_virtual(main())

    def test_poll_that_is_cancelled_as_a_key_changes_ends(self) -> None:
        """Guards against a poll that loses its cancellation to a change at the same moment."""

        async def main() -> None:
            for steps in range(6):
                store = MemoryStore()
                poll = asyncio.create_task(store.changes("a/", 0, 60.0))
                await asyncio.sleep(0.01)
                await store.commit((), (Put("b/1", b""),))
                for _ in range(steps):
                    await asyncio.sleep(0)
                poll.cancel()
                await asyncio.wait((poll,), timeout=1.0)
                self.assertTrue(poll.cancelled(), steps)

        run_virtual(main())
