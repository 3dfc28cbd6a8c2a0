"""Tests of the local copies of store keys: configuration, workers, members and owners."""

import asyncio
import json
import unittest
from typing import Any
from unittest import mock

from pollengate.memory_store import MemoryStore
from pollengate.store import Changes, Delete, Entry, FailureKind, Put, StoreFailure
from pollengate.workflow.keys import member_key, owner_key
from pollengated.edge import worker_registry
from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.worker_registry import POLL_PAUSE_S, WorkerRegistry
from result import Err, Result

from tests.utils import run_virtual

FLEET_SIZES = (33, 246, 445, 3300)


class CompactingStore(MemoryStore):
    """A store that can fail polls as if it had compacted its history.

    Attributes:
        lost_polls: number of following polls that fail.
        polls: number of polls so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lost_polls = 0
        self.polls = 0

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Polls; fails `lost_polls` times."""
        self.polls += 1
        if self.lost_polls:
            self.lost_polls -= 1
            return Err(StoreFailure(FailureKind.HISTORY_GONE, "compacted"))
        return await super().changes(prefix, after_revision, wait_s, max_bytes)


def configuration(version: int) -> Put:
    """Returns the write of a configuration of the given version."""
    return Put("op/config", json.dumps({"version": version, "routes": []}).encode())


def registration(number: int, state: str = "ready") -> Put:
    """Returns the write of a worker's registration."""
    document = {
        "service": "s",
        "addr": f"10.0.0.1:{number + 1}",
        "zone": "a",
        "state": state,
        "capacity": {"cpu": 1, "memMb": 1},
    }
    return Put(f"servers/w{number}", json.dumps(document).encode())


class OperatorViewTest(unittest.TestCase):
    """Tests of the configuration and of evacuated zones."""

    def run_with_view(self, scenario: Any) -> None:
        """Runs a scenario with a store and a view that is updated from it."""

        async def main() -> None:
            store = CompactingStore()
            view = OperatorView(store, Clocks.of_loop())
            cache_task = asyncio.create_task(view.cache.run())
            await scenario(store, view)
            cache_task.cancel()

        run_virtual(main())

    def test_changes_are_applied_at_once(self) -> None:
        async def scenario(store: CompactingStore, view: OperatorView) -> None:
            await store.commit((), (configuration(3), Put("op/evacuate/z", b"{}")))
            await asyncio.sleep(0.01)
            assert view.deployment is not None
            self.assertEqual(view.deployment.version, 3)
            self.assertEqual(view.evacuated_zones, {"z"})
            await store.commit((), (Delete("op/evacuate/z"),))
            await asyncio.sleep(0.01)
            self.assertEqual(view.evacuated_zones, set())

        self.run_with_view(scenario)

    def test_keys_are_listed_again_after_the_history_is_lost(self) -> None:
        async def scenario(store: CompactingStore, view: OperatorView) -> None:
            await store.commit((), (configuration(3),))
            await asyncio.sleep(0.01)
            store.lost_polls = 1
            await asyncio.sleep(2.1)  # until the pending poll has ended without a change
            await store.commit((), (configuration(9),))
            await asyncio.sleep(2.1)
            assert view.deployment is not None
            self.assertEqual(view.deployment.version, 9)

        self.run_with_view(scenario)

    def test_unreadable_configuration_does_not_replace_the_last_one(self) -> None:
        async def scenario(store: CompactingStore, view: OperatorView) -> None:
            await store.commit((), (configuration(3),))
            await asyncio.sleep(0.01)
            await store.commit((), (Put("op/config", b"\xff"),))
            await asyncio.sleep(0.01)
            assert view.deployment is not None
            self.assertEqual(view.deployment.version, 3)

        self.run_with_view(scenario)

    def test_copy_of_a_peer_is_applied_only_if_it_is_newer(self) -> None:
        async def scenario(store: CompactingStore, view: OperatorView) -> None:
            for version in (3, 5):
                await store.commit((), (configuration(version),))
            await asyncio.sleep(0.01)
            old = Entry("op/config", configuration(3).value, 2, 2)
            new = Entry("op/config", configuration(8).value, 99, 2)
            self.assertFalse(view.cache.replace_if_newer([old], 2))
            assert view.deployment is not None
            self.assertEqual(view.deployment.version, 5)
            self.assertTrue(view.cache.replace_if_newer([new], 99))
            self.assertEqual(view.deployment.version, 8)

        self.run_with_view(scenario)

    def test_age_is_infinite_until_polls_confirm_the_copy(self) -> None:
        async def scenario(store: CompactingStore, view: OperatorView) -> None:
            self.assertEqual(view.cache.age_s(), float("inf"))
            await asyncio.sleep(5.0)
            self.assertLessEqual(view.cache.age_s(), 2.0)

        self.run_with_view(scenario)


class WorkerRegistryTest(unittest.TestCase):
    """Tests of worker registrations."""

    def test_unusable_entries_do_not_affect_others(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            valid = {
                "service": "s",
                "addr": "10.0.0.1:1",
                "zone": "a",
                "state": "ready",
                "capacity": {"cpu": 1, "memMb": 1},
            }
            puts = (
                Put("servers/good", json.dumps(valid).encode()),
                Put("servers/bytes", b"\xff\x00"),
                Put("servers/odd", json.dumps(valid | {"state": "odd"}).encode()),
            )
            await store.commit((), puts)
            registry = WorkerRegistry(store, Clocks.of_loop(), lambda worker_ids: None)
            cache_task = asyncio.create_task(registry.cache.run())
            await asyncio.sleep(0.01)
            self.assertEqual(set(registry.workers_by_id), {"good"})
            await store.commit((), (Delete("servers/good"),))
            await asyncio.sleep(POLL_PAUSE_S)
            self.assertEqual(registry.workers_by_id, {})
            cache_task.cancel()

        run_virtual(main())

    def test_worker_whose_registration_becomes_invalid_is_no_longer_used(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            await store.commit((), (registration(0),))
            registry = WorkerRegistry(store, Clocks.of_loop(), lambda worker_ids: None)
            cache_task = asyncio.create_task(registry.cache.run())
            await asyncio.sleep(0.01)
            self.assertEqual(set(registry.workers_by_id), {"w0"})
            for value in (b"\xff", registration(0).value):
                await store.commit((), (Put("servers/w0", value),))
                await asyncio.sleep(2 * POLL_PAUSE_S)
                self.assertEqual(bool(registry.workers_by_id), value != b"\xff")
            cache_task.cancel()

        run_virtual(main())


class HeartbeatCostTest(unittest.TestCase):
    """The cost of a worker's heartbeat does not grow with the number of workers."""

    def count_work(self, workers: int, state: str) -> tuple[int, list[list[str]]]:
        """Writes one registration again and returns the decodings and the reported changes.

        Args:
            workers: number of registered workers.
            state: state of the worker in the registration that is written.
        """

        async def main() -> tuple[int, list[list[str]]]:
            store = MemoryStore()
            for number in range(workers):
                await store.commit((), (registration(number),))
            changes: list[list[str]] = []
            registry = WorkerRegistry(
                store, Clocks.of_loop(), lambda worker_ids: changes.append(list(worker_ids))
            )
            cache_task = asyncio.create_task(registry.cache.run())
            await asyncio.sleep(0.01)
            changes.clear()
            decode = worker_registry.decode_worker
            with mock.patch.object(worker_registry, "decode_worker", side_effect=decode) as counted:
                await store.commit((), (registration(0, state),))
                await asyncio.sleep(2 * POLL_PAUSE_S)
            cache_task.cancel()
            return counted.call_count, changes

        return run_virtual(main())

    def test_unchanged_registration_is_not_decoded_and_wakes_no_owner(self) -> None:
        for workers in FLEET_SIZES:
            with self.subTest(workers=workers):
                self.assertEqual(self.count_work(workers, "ready"), (0, []))

    def test_changed_registration_is_the_only_one_that_is_decoded_and_applied(self) -> None:
        for workers in FLEET_SIZES:
            with self.subTest(workers=workers):
                self.assertEqual(self.count_work(workers, "draining"), (1, [["w0"]]))

    def test_heartbeats_of_a_fleet_are_polled_together(self) -> None:
        """445 workers write every 1.1 s; each poll of the store is priced."""

        async def main() -> int:
            store = CompactingStore()
            for number in range(445):
                await store.commit((), (registration(number),))
            registry = WorkerRegistry(store, Clocks.of_loop(), lambda worker_ids: None)
            cache_task = asyncio.create_task(registry.cache.run())
            for number in range(4000):
                await store.commit((), (registration(number % 445),))
                await asyncio.sleep(1.1 / 445)
            cache_task.cancel()
            return store.polls

        self.assertLessEqual(run_virtual(main()), 4000 * 1.1 / 445 / POLL_PAUSE_S + 1)


class NodeDirectoryTest(unittest.TestCase):
    """Tests of members and owners."""

    def test_owner_has_the_token_of_its_key_until_its_lease_expires(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            lease_id = (await store.grant_lease(2.5)).unwrap()
            record = NodeRecord("n1", "n1:1", "x")
            put = Put(owner_key(0), record.encode(), lease_id)
            token = (await store.commit((), (put,))).unwrap().revision
            await store.commit((), (Put(member_key("n2"), b"odd"),))
            directory = NodeDirectory(store, Clocks.of_loop())
            cache_task = asyncio.create_task(directory.cache.run())
            await asyncio.sleep(0.01)
            owner = directory.owner(0)
            assert owner is not None
            self.assertEqual((owner.record, owner.token), (record, token))
            self.assertEqual(directory.owner_names_by_shard(), {0: "n1"})
            self.assertEqual(directory.members(), [])
            await asyncio.sleep(5.0)
            self.assertIsNone(directory.owner(0))
            self.assertEqual(directory.owner_names_by_shard(), {})
            cache_task.cancel()

        run_virtual(main())
