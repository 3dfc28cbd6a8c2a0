"""One odd entry among the registrations of workers does not keep the others from being used."""

import asyncio
import json
import unittest
from collections.abc import Collection
from typing import Any
from unittest import mock

from pollengate.memory_store import MemoryStore
from pollengate.store import Entry, Put
from pollengate.workflow.job_service import Accepted
from pollengate.workflow.progress import JobState
from pollengate_platform.documents import decode_deployment, decode_worker
from pollengated.edge import worker_registry
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.layout import load_or_decide_layout
from pollengated.edge.loop_supervisor import LoopSupervisor
from pollengated.edge.prefix_cache import RELIST_INTERVAL_S, PrefixCache
from pollengated.edge.worker_registry import POLL_PAUSE_S, WorkerRegistry

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

JOB_ID = "00000000000000aa"
NESTING = 100_000
SERVER: dict[str, Any] = {
    "service": "service",
    "addr": "10.128.0.9:8080",
    "zone": "a",
    "state": "ready",
    "coldMs": 20,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 1},
    "labels": ["k", "r1-3"],
    "born": 77,
}


def encode(**changes: object) -> bytes:
    """Returns a registration, changed by `changes`."""
    return json.dumps(SERVER | changes).encode()


def nest(opening: str, closing: str) -> bytes:
    """Returns a registration with a deeply nested field that no model has."""
    nested = f"{opening * NESTING}1{closing * NESTING}"
    return encode(unknown="@").replace(b'"@"', nested.encode())


DEEP = nest("[", "]")


class RegistrationTest(unittest.TestCase):
    """Entries that name no worker."""

    def check_invalid(self, value: bytes, worker_id: str = "w") -> None:
        """Asserts that an entry is decoded into an error value."""
        self.assertTrue(decode_worker(Entry(f"servers/{worker_id}", value, 1, 1)).is_err())

    def test_deeply_nested_registration_is_an_error_value(self) -> None:
        for value in (DEEP, nest('{"a":', "}"), b"[" * NESTING):
            with self.subTest(value=value[:150]):
                self.check_invalid(value)

    def test_registration_with_an_address_that_no_worker_has_is_an_error_value(self) -> None:
        for port in ("99999", "65536", "0", "-1", "9" * 5000, "٣", "", "1 ", "+1", "1_0", "0080"):
            with self.subTest(port=port[:20]):
                self.check_invalid(encode(addr=f"10.0.0.1:{port}"))
        long_host = ".".join(["a" * 60] * 5)
        for host in ("", " ", "a b", "a\n", "u@a", "a/b", "a?b", "[::1", "é", "a" * 64, "a..b"):
            with self.subTest(host=host[:20]):
                self.check_invalid(encode(addr=f"{host}:80"))
        self.check_invalid(encode(addr=f"{long_host}:80"))

    def test_registration_with_a_number_out_of_range_is_an_error_value(self) -> None:
        huge = int("9" * 400)
        for changes in (
            {"born": huge},
            {"born": -1},
            {"coldMs": huge},
            {"remainingMs": huge},
            {"capacity": {"cpu": huge, "memMb": 1}},
            {"capacity": {"cpu": -1, "memMb": 1}},
        ):
            with self.subTest(fields=list(changes)):
                self.check_invalid(encode(**changes))

    def test_registration_whose_id_fits_in_no_header_or_key_is_an_error_value(self) -> None:
        for worker_id in ("", "a\nb", "a\x00b", "a b", "é", "\ud800", "a" * 192):
            with self.subTest(worker_id=worker_id[:20]):
                self.check_invalid(encode(), worker_id)


class ConfigurationTest(unittest.TestCase):
    """Configurations that cannot be applied."""

    def test_deeply_nested_configuration_is_an_error_value(self) -> None:
        value = b'{"version":1,"unknown":' + b"[" * NESTING + b"]" * NESTING + b"}"
        self.assertTrue(decode_deployment(value).is_err())

    def test_configuration_with_a_number_out_of_range_is_an_error_value(self) -> None:
        route = {"name": "q", "host": "h", "prefix": "/", "service": "s"}
        advice = {"decideMs": 1, "eachMs": 1, "validMs": 1}
        huge = int("9" * 400)
        for changes in (
            {"stretch": 1e300},
            {"timeoutMs": huge},
            {"maxAttempts": huge},
            {"advice": advice | {"eachMs": huge}},
        ):
            with self.subTest(fields=list(changes)):
                document = {"version": 1, "routes": [route | changes]}
                self.assertTrue(decode_deployment(json.dumps(document).encode()).is_err())


class RegistryTest(unittest.TestCase):
    """The local copy of the registrations."""

    def test_registrations_that_are_read_with_one_that_cannot_be_applied_are_not_lost(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            reported: set[str] = set()
            registry = WorkerRegistry(store, Clocks.of_loop(), reported.update)
            decode = worker_registry.decode_worker

            def decode_or_fail(entry: Entry) -> Any:
                if entry.key == "servers/odd":
                    raise ArithmeticError
                return decode(entry)

            with mock.patch.object(worker_registry, "decode_worker", decode_or_fail):
                task = asyncio.create_task(registry.cache.run())
                await asyncio.sleep(0.1)
                ids = ["w0", "w1", "odd", "w2", "w3"]
                puts = [Put(f"servers/{worker_id}", encode()) for worker_id in ids]
                await store.commit((), puts)
                await asyncio.sleep(3 * POLL_PAUSE_S)
                self.assertEqual({"w0", "w1", "w2", "w3"}, registry.workers_by_id.keys())
                self.assertEqual({"w0", "w1", "w2", "w3"}, reported)
                await store.commit((), (Put("servers/w4", encode()),))
                await asyncio.sleep(3 * POLL_PAUSE_S)
                self.assertIn("w4", reported)
            self.assertFalse(task.done())

        run_virtual(main())

    def test_layout_is_decided_beside_a_deeply_nested_registration(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            await store.commit((), (Put("servers/w0", encode()), Put("servers/odd", DEEP)))
            async with asyncio.timeout(30.0):
                layout = await load_or_decide_layout(store, Clocks.of_loop())
            self.assertEqual({"r1-3": 0}, layout.shard_by_rack)

        run_virtual(main())


class CopyTest(unittest.TestCase):
    """The local copy of a prefix whose consumer fails."""

    def test_key_that_could_not_be_applied_is_logged_counted_and_tried_once_more(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            metrics = EdgeMetrics()
            attempts: list[str] = []

            def apply(key: str) -> bool:
                attempts.append(key)
                if key == "p/odd":
                    raise ArithmeticError
                return True

            def count() -> float | None:
                return metrics.registry.get_sample_value(
                    "pollengate_edge_unapplied_entries_total", {"prefix": "p/"}
                )

            clocks = Clocks.of_loop()
            cache = PrefixCache(
                store, "p/", clocks, lambda keys: None, apply_key=apply, metrics=metrics
            )
            task = asyncio.create_task(cache.run())
            await asyncio.sleep(0.1)
            await store.commit((), (Put("p/odd", b"x"), Put("p/even", b"x")))
            await asyncio.sleep(30.0)
            self.assertEqual((2.0, 1), (count(), attempts.count("p/even")))
            await store.commit((), (Put("p/odd", b"y"),))
            await asyncio.sleep(30.0)
            self.assertEqual(4.0, count())
            self.assertFalse(task.done())

        run_virtual(main())

    def test_key_that_cannot_be_applied_and_changes_often_does_not_cause_a_listing_each_time(
        self,
    ) -> None:
        async def main() -> None:
            store = MemoryStore()
            listed = mock.AsyncMock(side_effect=store.list)

            def apply(key: str) -> bool:
                raise ArithmeticError

            cache = PrefixCache(store, "p/", Clocks.of_loop(), lambda keys: None, apply_key=apply)
            with mock.patch.object(store, "list", listed):
                task = asyncio.create_task(cache.run())
                for number in range(3 * round(RELIST_INTERVAL_S)):
                    await store.commit((), (Put("p/odd", str(number).encode()),))
                    await asyncio.sleep(1.0)
            # The first listing, and one in each interval.
            self.assertLessEqual(listed.await_count, 1 + 3)
            task.cancel()

        run_virtual(main())

    def test_changes_are_passed_on_again_after_their_consumer_failed(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            errors = [ArithmeticError()]
            reported: set[str] = set()

            def report(keys: Collection[str]) -> None:
                if keys and errors:
                    raise errors.pop()
                reported.update(keys)

            cache = PrefixCache(store, "p/", Clocks.of_loop(), report)
            supervisor = LoopSupervisor(EdgeMetrics())
            supervisor.start("copy", cache.run)
            await asyncio.sleep(0.1)
            await store.commit((), (Put("p/a", b"x"), Put("p/b", b"x")))
            await asyncio.sleep(5.0)
            self.assertEqual({"p/a", "p/b"}, reported)
            await supervisor.stop()

        run_virtual(main())


class OwnerTest(EdgeTestCase):
    """The owner of a shard."""

    def test_owner_keeps_its_term_and_uses_new_workers_after_an_odd_registration(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=2)
            await cluster.open()
            term = await cluster.wait_for_term()
            await cluster.store.commit((), (Put("servers/odd", DEEP),))
            await asyncio.sleep(2.0)
            self.assertIs(term, await cluster.wait_for_term())
            self.assertEqual(await cluster.submit(JOB_ID, build_workflow()), Accepted())
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)

        run_virtual(main())

    def test_shard_gets_an_owner_beside_an_odd_registration(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=2)
            await cluster.store.commit((), (Put("servers/odd", DEEP),))
            await cluster.open()
            term = await cluster.wait_for_term()
            await asyncio.sleep(2.0)
            self.assertIs(term, await cluster.wait_for_term())

        run_virtual(main())

    def test_worker_whose_registration_turns_odd_finishes_its_runs_and_gets_no_others(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=2, duration_s=8.0)
            await cluster.open()
            await cluster.submit(JOB_ID, build_workflow(build_step(2)))
            await asyncio.sleep(1.0)
            self.assertEqual({"w0", "w1"}, {record.worker_id for record in cluster.history})
            await cluster.store.commit((), (Put("servers/w0", DEEP),))
            await asyncio.sleep(1.0)
            other_id = "00000000000000ab"
            await cluster.submit(other_id, build_workflow(build_step(4)))
            await asyncio.sleep(2.0)
            added = [r.worker_id for r in cluster.history if r.task.startswith(other_id)]
            self.assertEqual({"w1"}, set(added))
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
            self.check_single_execution(cluster)
            await cluster.register("w0")
            await asyncio.sleep(1.0)
            later_id = "00000000000000ac"
            await cluster.submit(later_id, build_workflow(build_step(8)))
            await asyncio.sleep(1.0)
            later = {r.worker_id for r in cluster.history if r.task.startswith(later_id)}
            self.assertIn("w0", later)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
