"""Tests of `ShardOwner` with modelled workers on virtual time."""

import asyncio
import unittest

from pollengate.failpoints import Failpoint
from pollengate.jobs import Resources, TaskState
from pollengate.memory_store import MemoryStore
from pollengate.refusals import Outcome, Reason
from pollengate.worker import TaskOrder, TaskRef
from result import Ok

from tests.cluster import BlockingFailpoint, ZoneFake, run_until
from tests.faulty_store import Fault, FaultyStore
from tests.utils import build_spec, run_virtual


class TakeoverTest(unittest.TestCase):
    """Takeover of a shard after its owner is killed or shut down gracefully."""

    def test_job_runs_and_ends(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            zone.start_owner()
            await zone.submit(count=20, duration_ms=500)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len(zone.starts()), 20)

        run_virtual(main())

    def test_running_tasks_survive_a_killed_owner_without_a_second_start(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            first = zone.start_owner()
            zone.start_owner()
            await zone.submit(count=10, duration_ms=8_000)
            await run_until(lambda: len(zone.running()) == 8)
            zone.kill(first)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len(zone.starts()), 10)
            self.assertEqual(len({ref.task_id for ref in zone.starts()}), 10)

        run_virtual(main())

    def test_starts_continue_within_five_seconds_of_a_kill(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            first = zone.start_owner()
            zone.start_owner()
            await zone.submit(count=100, duration_ms=100)
            await run_until(lambda: len(zone.starts()) > 20)
            zone.kill(first)
            before = len(zone.starts())
            await run_until(lambda: len(zone.starts()) > before, 5.0)

        run_virtual(main())

    def test_starts_continue_within_a_second_of_a_graceful_shutdown(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            first = zone.start_owner()
            zone.start_owner()
            await zone.submit(count=200, duration_ms=200)
            await run_until(lambda: len(zone.starts()) > 20)
            await zone.stop(first)
            before = len(zone.starts())
            await run_until(lambda: len(zone.starts()) > before, 1.0)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len({ref.task_id for ref in zone.starts()}), 200)
            self.assertEqual(len(zone.starts()), 200)

        run_virtual(main())

    def test_shutdown_during_recovery_does_not_start_running_tasks_again(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=3)
            first = zone.start_owner()
            await zone.submit(count=8, duration_ms=9_000)
            await run_until(lambda: len(zone.running()) == 8)
            zone.kill(first)
            zone.clients_by_id["a-w1"].is_disconnected = True
            second = zone.start_owner()
            await run_until(second.is_serving)
            await asyncio.sleep(0.5)
            zone.start_owner()
            await zone.stop(second)
            await asyncio.sleep(2.0)
            running = [ref.task_id for ref in zone.running()]
            self.assertEqual(len(running), len(set(running)))
            self.assertEqual(len(zone.starts()), 8)

        run_virtual(main())


class DurabilityTest(unittest.TestCase):
    """What is acknowledged is durable, and is done once even if the owner dies."""

    def test_owner_that_dies_before_the_ledger_write_does_not_run_a_task_again(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            failpoints = BlockingFailpoint(Failpoint.LEDGER_WRITING)
            first = zone.start_owner(failpoints)
            await zone.submit(count=4, duration_ms=100)
            await failpoints.reached.wait()
            await asyncio.sleep(2.0)
            zone.start_owner()
            zone.kill(first)
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertEqual(len(zone.starts()), 4)

        run_virtual(main())

    def test_checkpoint_survives_the_owner_and_resumes_once(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            failpoints = BlockingFailpoint(Failpoint.LEDGER_WRITING)
            first = zone.start_owner(failpoints)
            await zone.submit(duration_ms=10_000)
            await run_until(lambda: len(zone.running()) == 1)
            await asyncio.sleep(4.0)
            first.shard_state.evict("job.0")
            await failpoints.reached.wait()
            zone.kill(first)
            killed_at = asyncio.get_running_loop().time()
            zone.start_owner()
            await zone.wait_for("job", TaskState.FINISHED)
            self.assertLessEqual(asyncio.get_running_loop().time() - killed_at, 4.0 + 6.5)

        run_virtual(main())

    def test_submission_whose_reply_was_lost_runs_once(self) -> None:
        async def main() -> None:
            store = FaultyStore(MemoryStore())
            zone = ZoneFake(store)
            zone.start_owner()
            owner = await zone.serving()
            store.fail_once(Fault.REPLY_LOST, "/jobs/job")
            result = await owner.submit(build_spec(duration_ms=200))
            self.assertIsInstance(result, Ok)
            await zone.wait_for("job", TaskState.FINISHED)
            again = (await owner.submit(build_spec(duration_ms=200))).unwrap()
            self.assertFalse(again.is_new)
            conflict = (await owner.submit(build_spec(count=2))).unwrap_err()
            self.assertEqual(conflict.reason, Reason.TASK_CONFLICT)
            self.assertEqual(conflict.outcome, Outcome.NOT_RUN)
            self.assertEqual(len(zone.starts()), 1)

        run_virtual(main())

    def test_submission_of_unknown_outcome_is_resolved(self) -> None:
        async def main() -> None:
            store = FaultyStore(MemoryStore())
            zone = ZoneFake(store)
            zone.start_owner()
            owner = await zone.serving()
            store.choose_fault = lambda keys: (
                Fault.REPLY_LOST if "/pollengate/jobs/job" in keys else None
            )
            refusal = (await owner.submit(build_spec())).unwrap_err()
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            store.choose_fault = lambda keys: None
            await zone.wait_for("job", TaskState.FINISHED)

        run_virtual(main())


class StartTest(unittest.TestCase):
    """Start orders: lost replies, late orders, frozen owners and non-idempotent tasks."""

    def test_start_without_a_reply_does_not_run_twice(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=2)
            zone.start_owner()
            await zone.serving()
            await asyncio.sleep(1.0)
            for client in zone.clients_by_id.values():
                client.loses_replies = True
            await zone.submit(count=8, duration_ms=30_000)
            await asyncio.sleep(2.0)
            for client in zone.clients_by_id.values():
                client.loses_replies = False
            await run_until(lambda: len(zone.running()) == 8)
            await asyncio.sleep(20.0)
            self.assertEqual(len(zone.starts()), 8)

        run_virtual(main())

    def test_late_start_order_is_refused(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=1)
            zone.start_owner()
            owner = await zone.serving()
            await asyncio.sleep(1.0)
            model = zone.models_by_id["a-w0"]
            late = TaskOrder(TaskRef("job.0", 1, model.epoch), Resources(1, 100), 1000, "default")
            epoch, session = model.epoch, model.session
            owner.shard_state.require_reattach("a-w0")
            await run_until(lambda: model.session > session)
            (reply,) = model.start(epoch, session, [late])
            self.assertFalse(reply.accepted)
            self.assertEqual(model.starts, [])

        run_virtual(main())

    def test_non_idempotent_task_is_not_started_again(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=2)
            first = zone.start_owner()
            await zone.submit(idempotent=False, duration_ms=60_000)
            await run_until(lambda: len(zone.running()) == 1)
            (ref,) = zone.starts()
            zone.kill(first)
            for worker_id, model in zone.models_by_id.items():
                if ref in model.starts:
                    zone.clients_by_id[worker_id].is_disconnected = True
                    zone.workers_without_heartbeat.add(worker_id)
            zone.start_owner()
            await zone.wait_for("job", TaskState.UNKNOWN)
            self.assertEqual(zone.starts(), [ref])

        run_virtual(main())

    def test_intent_is_durable_before_the_start(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            failpoints = BlockingFailpoint(Failpoint.INTENT_RECORDED)
            zone.start_owner(failpoints)
            await zone.submit(idempotent=False)
            await failpoints.reached.wait()
            self.assertEqual(zone.starts(), [])
            zone.kill(zone.owners[0])
            zone.start_owner()
            await zone.wait_for("job", TaskState.UNKNOWN)
            self.assertEqual(zone.starts(), [])

        run_virtual(main())

    def test_slow_worker_does_not_delay_renewal_or_other_workers(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=2)
            zone.clients_by_id["a-w0"].delay_s = 20.0
            owner = zone.start_owner()
            await zone.submit(count=4, duration_ms=100)
            await run_until(lambda: len(zone.starts()) == 4, 5.0)
            await asyncio.sleep(10.0)
            self.assertTrue(owner.is_serving())

        run_virtual(main())

    def test_owner_frozen_before_a_start_sends_nothing_when_it_wakes(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            failpoints = BlockingFailpoint(Failpoint.START_SENDING)
            store = FaultyStore(zone.store)  # type: ignore[arg-type]
            first = zone.start_owner(failpoints, store=store)
            await zone.submit(duration_ms=60_000)
            await failpoints.reached.wait()
            store.is_down = True
            second = zone.start_owner()
            await run_until(second.is_serving)
            await run_until(lambda: len(zone.running()) == 1)
            failpoints.released.set()
            await asyncio.sleep(5.0)
            self.assertEqual(len(zone.starts()), 1)
            self.assertFalse(first.is_serving())

        run_virtual(main())

    def test_nothing_starts_in_a_zone_that_is_out_of_service(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            zone.start_owner()
            zone.configuration_cache.set_zone("a", in_service=False)
            await zone.submit(count=4)
            await asyncio.sleep(5.0)
            self.assertEqual(zone.starts(), [])

        run_virtual(main())


class CancelTest(unittest.TestCase):
    """Cancellation of jobs."""

    def test_concurrent_cancellations_share_writes(self) -> None:
        async def main() -> None:
            store = FaultyStore(MemoryStore())
            zone = ZoneFake(store, workers=4)
            zone.start_owner()
            owner = await zone.serving()
            for number in range(2_000):
                (await owner.submit(build_spec(f"job-{number}", duration_ms=60_000))).unwrap()
            await run_until(lambda: len(zone.running()) == 16)
            before = store.commits
            calls = [owner.cancel(f"job-{number}") for number in range(2_000)]
            results = await asyncio.gather(*calls)
            self.assertTrue(all(isinstance(result, Ok) for result in results))
            await run_until(lambda: not zone.running(), 2.0)
            await asyncio.sleep(2.0)
            self.assertEqual(owner.shard_state.running_count, 0)
            self.assertLess(store.commits - before, 20)

        run_virtual(main())

    def test_outcome_of_a_cancellation_that_may_still_be_recorded_is_unknown(self) -> None:
        async def main() -> None:
            store = FaultyStore(MemoryStore())
            zone = ZoneFake(store)
            zone.start_owner()
            await zone.submit(duration_ms=60_000)
            owner = await zone.serving()
            store.choose_fault = lambda keys: Fault.NOT_SENT
            refusal = (await owner.cancel("job")).unwrap_err()
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            store.choose_fault = lambda keys: None
            await zone.wait_for("job", TaskState.CANCELLED)

        run_virtual(main())

    def test_cancellation_gets_a_reply_when_the_shard_is_lost_meanwhile(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            failpoints = BlockingFailpoint(Failpoint.LEDGER_WRITING)
            owner = zone.start_owner(failpoints)
            await zone.submit(duration_ms=60_000)
            cancelling = asyncio.create_task(owner.cancel("job"))
            await failpoints.reached.wait()
            zone.kill(owner)
            async with asyncio.timeout(5.0):
                refusal = (await cancelling).unwrap_err()
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)

        run_virtual(main())

    def test_cancellation_survives_the_owner(self) -> None:
        async def main() -> None:
            zone = ZoneFake()
            failpoints = BlockingFailpoint(Failpoint.STOP_SENDING)
            first = zone.start_owner(failpoints)
            await zone.submit(duration_ms=60_000)
            await run_until(lambda: len(zone.running()) == 1)
            (await first.cancel("job")).unwrap()
            await failpoints.reached.wait()
            self.assertEqual(first.shard_state.jobs_by_id["job"].state(), TaskState.STOPPING)
            zone.kill(first)
            zone.start_owner()
            await zone.wait_for("job", TaskState.CANCELLED)
            self.assertEqual(zone.running(), [])
            self.assertEqual(len(zone.starts()), 1)

        run_virtual(main())


class ZoneDrainTest(unittest.TestCase):
    """Jobs move out of a zone that is taken out of service."""

    def test_jobs_are_checkpointed_moved_and_resumed_once(self) -> None:
        async def main() -> None:
            first, second = ZoneFake(), ZoneFake(zone="b")
            second.store, second.configuration_cache = first.store, first.configuration_cache
            first.start_owner()
            second.start_owner()
            await second.serving()
            await first.submit(count=12, duration_ms=20_000)
            await run_until(lambda: len(first.running()) == 8)
            await asyncio.sleep(10.0)
            first.configuration_cache.set_zone("a", in_service=False, drain_grace_s=10.0)
            drain_started_at = asyncio.get_running_loop().time()
            await run_until(lambda: not first.running(), 10.0)
            await run_until(lambda: len(second.running()) > 0, 10.0)
            await second.wait_for("job", TaskState.FINISHED)
            elapsed_s = asyncio.get_running_loop().time() - drain_started_at
            self.assertLess(elapsed_s, 5.0 + 10.0 + 20.0)
            self.assertEqual((len(first.starts()), len(second.starts())), (8, 12))

        run_virtual(main())

    def test_move_whose_reply_was_lost_happens_once(self) -> None:
        async def main() -> None:
            store = FaultyStore(MemoryStore())
            first, second = ZoneFake(store), ZoneFake(store.shared_store, zone="b")
            second.configuration_cache = first.configuration_cache
            first.start_owner()
            second.start_owner()
            await second.serving()
            first.configuration_cache.set_zone("a", in_service=False)
            store.fail_once(Fault.REPLY_LOST, "/inbox/")
            await first.submit(count=3, duration_ms=200)
            await second.wait_for("job", TaskState.FINISHED)
            await asyncio.sleep(5.0)
            self.assertEqual(len(second.starts()), 3)
            self.assertEqual(first.owners[0].shard_state.jobs_by_id, {})

        run_virtual(main())
