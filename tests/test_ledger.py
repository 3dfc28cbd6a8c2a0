"""Tests of the ledger: lost replies, delayed writes, compaction and transfers."""

import unittest

from pollengate.job_entry import JobEntry
from pollengate.jobs import JobSpec, TaskState
from pollengate.ledger import JobConflict, JobLocation, Ledger, LedgerConflict
from pollengate.ledger_records import (
    Checkpoint,
    JobChange,
    JobRecord,
    decode_indices,
    decode_record,
    decode_segment,
    encode_indices,
    encode_record,
    encode_segment,
)
from pollengate.memory_store import MemoryStore
from pollengate.ownership import owner_key
from pollengate.shard_layout import ensure_shard_count
from pollengate.store import Put

from tests.faulty_store import Fault, FaultyStore
from tests.utils import build_spec, run_virtual


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    """Sets up the ledger of shard 0 in zone a, owned under `epoch`.

    `self.store` injects faults; `self.shared_store` is the store behind it.
    """

    async def asyncSetUp(self) -> None:
        self.shared_store = MemoryStore()
        self.store = FaultyStore(self.shared_store, timeout_s=0.0)
        self.ledger = Ledger(self.store, "a", 0)
        self.epoch = await self.take_shard("a")

    async def take_shard(self, zone: str) -> int:
        """Writes a new owner of a zone's shard to the store and returns its epoch."""
        result = await self.shared_store.commit((), (Put(owner_key(zone, 0), b"{}"),))
        return result.unwrap().revision

    async def read(self, zone: str = "a") -> dict[str, JobRecord]:
        """Returns the job records that the next owner would read, by job id."""
        contents = (await Ledger(self.shared_store, zone, 0).read()).unwrap()
        return {record.spec.job_id: record for record in contents.records}

    async def accept(self, spec: JobSpec) -> JobEntry:
        """Records a job in the ledger and returns the owner's entry of it."""
        (await self.ledger.accept(spec, self.epoch)).unwrap()
        return JobEntry(spec)


def finished(*indices: int) -> JobChange:
    """Returns a change by which tasks of the job "job" have finished."""
    return JobChange("job", {TaskState.FINISHED: set(indices)})


class AcceptTest(LedgerTestCase):
    """Acceptance of new and resubmitted jobs."""

    async def test_resubmission_is_distinguished_from_a_conflict(self) -> None:
        await self.accept(build_spec())
        again = (await self.ledger.accept(build_spec(), self.epoch)).unwrap()
        self.assertFalse(again.is_new)
        other = await self.ledger.accept(build_spec(count=2), self.epoch)
        self.assertIsInstance(other.unwrap_err(), JobConflict)

    async def test_resubmission_at_another_shard_returns_the_location(self) -> None:
        await self.accept(build_spec())
        other = Ledger(self.store, "b", 0)
        result = (await other.accept(build_spec(), await self.take_shard("b"))).unwrap()
        self.assertEqual((result.location.zone, result.is_new), ("a", False))

    async def test_former_owner_can_not_write(self) -> None:
        await self.take_shard("a")
        result = await self.ledger.accept(build_spec(), self.epoch)
        self.assertIsInstance(result.unwrap_err(), LedgerConflict)
        result = await self.ledger.append([finished(0)], self.epoch)
        self.assertIsInstance(result.unwrap_err(), LedgerConflict)
        self.assertEqual(await self.read(), {})


class SegmentTest(LedgerTestCase):
    """Group commit and compaction."""

    async def test_append_is_repeated_after_a_lost_reply(self) -> None:
        await self.accept(build_spec(count=9))
        self.store.fail_once(Fault.REPLY_LOST, "/log/")
        self.assertTrue((await self.ledger.append([finished(0)], self.epoch)).is_err())
        (await self.ledger.append([finished(0, 1)], self.epoch)).unwrap()
        self.assertEqual((await self.read())["job"].ended_by_state, {TaskState.FINISHED: {0, 1}})

    async def test_delayed_append_has_no_effect(self) -> None:
        await self.accept(build_spec(count=9))
        self.store.fail_once(Fault.LATE, "/log/")
        self.assertTrue((await self.ledger.append([finished(0)], self.epoch)).is_err())
        (await self.ledger.append([finished(0, 1)], self.epoch)).unwrap()
        (late,) = await self.store.release_delayed()
        self.assertFalse(late.unwrap().succeeded)
        self.assertEqual((await self.read())["job"].ended_by_state, {TaskState.FINISHED: {0, 1}})

    async def test_compaction_keeps_changes_and_deletes_segments(self) -> None:
        spec = build_spec(count=40)
        job = await self.accept(spec)
        for task in list(job.tasks_by_id.values())[:32]:
            job.restore(task, TaskState.FINISHED)
            (await self.ledger.append([finished(task.index)], self.epoch)).unwrap()
        self.assertTrue(self.ledger.needs_compaction)
        (await self.ledger.compact({"job": job}, 0, self.epoch)).unwrap()
        self.assertFalse(self.ledger.needs_compaction)
        listing = (await self.shared_store.list("/pollengate/ledger/a/0/log/")).unwrap()
        self.assertEqual(listing.entries, ())
        (await self.ledger.append([finished(32)], self.epoch)).unwrap()
        ended = (await self.read())["job"].ended_by_state
        self.assertEqual(ended, {TaskState.FINISHED: set(range(33))})

    async def test_delayed_compaction_does_not_overwrite_a_newer_one(self) -> None:
        job = await self.accept(build_spec(count=3))
        tasks = list(job.tasks_by_id.values())
        job.restore(tasks[0], TaskState.FINISHED)
        (await self.ledger.append([finished(0)], self.epoch)).unwrap()
        self.store.fail_once(Fault.LATE, "/folded")
        self.assertTrue((await self.ledger.compact({"job": job}, 0, self.epoch)).is_err())
        job.restore(tasks[1], TaskState.FINISHED)
        (await self.ledger.append([finished(1)], self.epoch)).unwrap()
        (await self.ledger.compact({"job": job}, 0, self.epoch)).unwrap()
        (late,) = await self.store.release_delayed()
        self.assertFalse(late.unwrap().succeeded)
        self.assertEqual((await self.read())["job"].ended_by_state, {TaskState.FINISHED: {0, 1}})

    async def test_ended_jobs_are_deleted_with_their_retention_lease(self) -> None:
        job = await self.accept(build_spec())
        job.restore(job.tasks_by_id["job.0"], TaskState.FINISHED)
        (await self.ledger.append([finished(0)], self.epoch)).unwrap()
        lease_id = (await self.shared_store.grant_lease(60)).unwrap()
        (await self.ledger.compact({"job": job}, lease_id, self.epoch)).unwrap()
        self.assertIn("job", await self.read())
        await self.shared_store.revoke_lease(lease_id)
        self.assertEqual(await self.read(), {})
        self.assertTrue((await self.ledger.accept(build_spec(), self.epoch)).unwrap().is_new)

    async def test_segments_stay_below_the_size_limit(self) -> None:
        changes = [
            JobChange(f"job-{n}", {}, {0: Checkpoint(1, 1, "x" * 60_000)}) for n in range(20)
        ]
        (await self.ledger.append(changes, self.epoch)).unwrap()
        listing = (await self.shared_store.list("/pollengate/ledger/a/0/log/")).unwrap()
        self.assertLess(max(len(entry.value) for entry in listing.entries), 1_000_000)
        self.assertEqual(sum(len(decode_segment(e.value)) for e in listing.entries), 20)


class TransferTest(LedgerTestCase):
    """Transfers of jobs to another shard."""

    async def transfer(self, job: JobEntry) -> bool:
        """Transfers a job to zone b and returns whether the store confirmed it."""
        result = await self.ledger.transfer_jobs([job], JobLocation("b", 0), self.epoch)
        return result.is_ok()

    async def receive_jobs(self) -> list[JobRecord]:
        """Receives all jobs in the inbox of zone b, as its owner, and returns their records."""
        other, epoch = Ledger(self.shared_store, "b", 0), await self.take_shard("b")
        entries = (await other.list_inbox()).unwrap()
        return [(await other.receive_job(entry, epoch)).unwrap() for entry in entries]

    async def test_transfer_keeps_ended_tasks_and_checkpoints(self) -> None:
        job = await self.accept(build_spec(count=3))
        tasks = list(job.tasks_by_id.values())
        job.restore(tasks[0], TaskState.FINISHED)
        tasks[1].checkpoint = "700"
        self.assertTrue(await self.transfer(job))
        self.assertEqual(await self.read(), {})
        (record,) = await self.receive_jobs()
        self.assertEqual(record.ended_by_state, {TaskState.FINISHED: {0}})
        self.assertEqual(record.checkpoints_by_index[1].value, "700")
        self.assertEqual((await self.read("b")).keys(), {"job"})

    async def test_transfer_with_a_lost_reply_can_be_looked_up(self) -> None:
        job = await self.accept(build_spec())
        self.store.fail_once(Fault.REPLY_LOST, "/inbox/")
        self.assertFalse(await self.transfer(job))
        self.assertFalse(await self.transfer(job))
        self.assertTrue((await self.ledger.is_transferred("job")).unwrap())
        self.assertEqual(len(await self.receive_jobs()), 1)

    async def test_delayed_transfer_of_a_transferred_job_has_no_effect(self) -> None:
        job = await self.accept(build_spec())
        self.store.fail_once(Fault.LATE, "/inbox/")
        self.assertFalse(await self.transfer(job))
        self.assertTrue(await self.transfer(job))
        self.assertEqual(len(await self.receive_jobs()), 1)
        (late,) = await self.store.release_delayed()
        self.assertFalse(late.unwrap().succeeded)
        self.assertEqual(await self.receive_jobs(), [])

    async def test_delayed_compaction_does_not_restore_a_transferred_job(self) -> None:
        job = await self.accept(build_spec(count=2))
        job.restore(job.tasks_by_id["job.0"], TaskState.FINISHED)
        (await self.ledger.append([finished(0)], self.epoch)).unwrap()
        self.store.fail_once(Fault.LATE, "/folded")
        await self.ledger.compact({"job": job}, 0, self.epoch)
        self.assertTrue(await self.transfer(job))
        await self.store.release_delayed()
        self.assertEqual(await self.read(), {})


class EncodingTest(unittest.TestCase):
    """Encoding of records and segments."""

    def test_indices_round_trip(self) -> None:
        for indices in (set(), {0}, {3}, {0, 1, 2, 9}, set(range(10_000)), set(range(0, 9_999, 2))):
            with self.subTest(count=len(indices)):
                self.assertEqual(decode_indices(encode_indices(indices)), indices)

    def test_indices_of_a_long_array_are_encoded_compactly(self) -> None:
        self.assertLess(len(encode_indices(range(0, 10_000, 2))), 2_000)
        self.assertEqual(encode_indices(range(10_000)), "0-9999")

    def test_record_and_segment_round_trip(self) -> None:
        record = JobRecord(
            build_spec(count=5),
            7,
            {TaskState.FINISHED: {0, 1}, TaskState.UNKNOWN: {4}},
            {2: Checkpoint(5, 1, "900")},
            {3},
            True,
        )
        self.assertEqual(decode_record(encode_record(record)), record)
        change = JobChange("job", {TaskState.FAILED: {1}}, {2: Checkpoint(5, 1, "9")}, {3: True})
        change.intents_by_index[4] = False
        self.assertEqual(decode_segment(encode_segment([change])), [change])


class LayoutTest(unittest.TestCase):
    """The recorded number of shards of a zone."""

    def test_recorded_shard_count_overrides_the_configured_one(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            self.assertEqual((await ensure_shard_count(store, "a", 2)).unwrap(), 2)
            self.assertEqual((await ensure_shard_count(store, "a", 3)).unwrap(), 2)

        run_virtual(main())
