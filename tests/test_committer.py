"""Tests of group commit: lost replies, late writes and lost ownership."""

import asyncio
import unittest
from typing import Any

from pollengate.memory_store import MemoryStore
from pollengate.store import Delete, Operation, Put
from pollengate.workflow.keys import commit_key, owner_key
from pollengate.workflow.shard_lease import ShardLease
from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, Record, decode_commit_number

from tests.faulty_store import Fault, FaultyStore
from tests.utils import run_virtual


class ValueRecord(Record):
    """A record with a fixed value that remembers whether it was committed."""

    def __init__(self, key: str, value: bytes = b"v") -> None:
        self.key = key
        self.value = value
        self.is_committed = False
        self.is_refused = False

    def operation(self) -> Operation:
        """Returns the write."""
        return Put(self.key, self.value)

    def on_committed(self) -> None:
        """Remembers that the write is durable."""
        self.is_committed = True

    def on_refused(self) -> None:
        """Remembers that the write was left out."""
        self.is_refused = True


class OwnedCommitterTestCase(unittest.TestCase):
    """Runs the committer of an owned shard."""

    def run_owned(self, scenario: Any) -> None:
        """Runs a scenario with a shared store and an owner's store access, committer and lease."""

        async def main() -> None:
            shared_store = MemoryStore()
            store = FaultyStore(shared_store)
            commit = (await shared_store.commit((), (Put(owner_key(0), b"me"),))).unwrap()
            shard_lease = ShardLease(commit.revision, 0.0)
            committer = Committer(store, 0, shard_lease, 0, 0, Clocks.of_loop())
            committer_task = asyncio.create_task(committer.run())
            await scenario(shared_store, store, committer, shard_lease)
            committer_task.cancel()

        run_virtual(main())


class CommitterTest(OwnedCommitterTestCase):
    """Tests of the commits of one ownership term."""

    def test_records_added_together_share_commits(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            record_numbers = [committer.add(ValueRecord(f"k{number}")) for number in range(60)]
            self.assertTrue(await committer.wait_durable(record_numbers[-1], 5.0))
            self.assertEqual(store.commits, 3)

        self.run_owned(scenario)

    def test_commit_whose_reply_was_lost_is_recognized(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            store.fail_once(Fault.REPLY_LOST, "k")
            record = ValueRecord("k")
            self.assertTrue(await committer.wait_durable(committer.add(record), 5.0))
            self.assertTrue(record.is_committed)
            self.assertTrue(await committer.wait_durable(committer.add(ValueRecord("l")), 5.0))

        self.run_owned(scenario)

    def test_commit_that_the_store_applies_late_has_no_effect(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            store.fail_once(Fault.LATE, "k")
            await committer.wait_durable(committer.add(ValueRecord("k", b"old")), 5.0)
            await committer.wait_durable(committer.add(ValueRecord("k", b"new")), 5.0)
            (late,) = await store.release_delayed()
            self.assertFalse(late.unwrap().succeeded)
            entry = (await shared_store.get("k")).unwrap()
            assert entry is not None
            self.assertEqual(entry.value, b"new")

        self.run_owned(scenario)

    def test_earlier_owner_cannot_write(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            await shared_store.commit((), (Delete(owner_key(0)),))
            await shared_store.commit((), (Put(owner_key(0), b"other"),))
            self.assertFalse(await committer.wait_durable(committer.add(ValueRecord("k")), 5.0))
            self.assertTrue(shard_lease.is_lost)
            self.assertIsNone((await shared_store.get("k")).unwrap())

        self.run_owned(scenario)

    def test_commit_of_a_successor_with_the_same_number_is_not_taken_for_the_own_one(self) -> None:
        # No commit of the first owner has taken effect, so its successor counts from the same term.
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            store.is_down = True
            record = ValueRecord("k")
            committer.add(record)
            await asyncio.sleep(0.5)
            await shared_store.commit((), (Delete(owner_key(0)),))
            owner = (await shared_store.commit((), (Put(owner_key(0), b"other"),))).unwrap()
            successor = Committer(
                shared_store, 0, ShardLease(owner.revision, 0.0), 0, 0, Clocks.of_loop()
            )
            successor_task = asyncio.create_task(successor.run())
            self.assertTrue(await successor.wait_durable(successor.add(ValueRecord("l")), 5.0))
            successor_task.cancel()
            store.is_down = False
            await asyncio.sleep(1.0)
            self.assertFalse(record.is_committed)
            self.assertTrue(shard_lease.is_lost)
            self.assertIsNone((await shared_store.get("k")).unwrap())

        self.run_owned(scenario)

    def test_only_a_record_that_was_never_sent_can_be_withdrawn(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            store.is_down = True
            sent, pending = ValueRecord("k"), ValueRecord("l")
            committer.add(sent)
            await asyncio.sleep(1.0)
            committer.add(pending)
            self.assertTrue(committer.is_stalled)
            self.assertFalse(committer.withdraw(sent))
            self.assertTrue(committer.withdraw(pending))
            store.is_down = False
            await asyncio.sleep(1.0)
            self.assertIsNone((await shared_store.get("l")).unwrap())
            self.assertIsNotNone((await shared_store.get("k")).unwrap())

        self.run_owned(scenario)

    def test_commit_key_holds_the_number_of_the_last_commit(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            await committer.wait_durable(committer.add(ValueRecord("k")), 5.0)
            await committer.wait_durable(committer.add(ValueRecord("l")), 5.0)
            entry = (await shared_store.get(commit_key(0))).unwrap()
            assert entry is not None
            number = decode_commit_number(entry.value)
            assert number is not None
            self.assertEqual((number.tenure, number.sequence), (0, 1))

        self.run_owned(scenario)


class RefusedRecordTest(OwnedCommitterTestCase):
    """Records that the store will never accept, among others."""

    def test_record_over_the_limit_holds_no_other_back(self) -> None:
        # Guards against commits that are sent again for ever while nothing becomes durable.
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            long = ValueRecord("long", b"v" * 1_100_000)
            others = [ValueRecord(f"k{number}") for number in range(40)]
            for record in (*others[:20], long, *others[20:]):
                number = committer.add(record)
            self.assertTrue(await committer.wait_durable(number, 5.0))
            self.assertEqual([record.is_committed for record in others], [True] * 40)
            self.assertEqual((long.is_committed, long.is_refused), (False, True))

        self.run_owned(scenario)

    def test_record_that_the_store_refuses_is_found_and_left_out(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            store.invalid_key = "k7"
            records = [ValueRecord(f"k{number}") for number in range(20)]
            for record in records:
                number = committer.add(record)
            self.assertTrue(await committer.wait_durable(number, 5.0))
            self.assertEqual([r.key for r in records if not r.is_committed], ["k7"])
            self.assertEqual([r.key for r in records if r.is_refused], ["k7"])

        self.run_owned(scenario)

    def test_no_record_is_left_out_while_the_store_accepts_none(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            store.invalid_key = commit_key(0)
            records = [ValueRecord(f"k{number}") for number in range(3)]
            for record in records:
                number = committer.add(record)
            self.assertFalse(await committer.wait_durable(number, 5.0))
            self.assertTrue(committer.is_stalled)
            store.invalid_key = ""
            self.assertTrue(await committer.wait_durable(number, 5.0))
            self.assertEqual([record.is_committed for record in records], [True] * 3)

        self.run_owned(scenario)

    def test_commits_stay_within_the_limit_of_a_value(self) -> None:
        async def scenario(
            shared_store: MemoryStore,
            store: FaultyStore,
            committer: Committer,
            shard_lease: ShardLease,
        ) -> None:
            for number in range(4):
                last = committer.add(ValueRecord(f"k{number}", b"v" * 600_000))
            self.assertTrue(await committer.wait_durable(last, 5.0))
            self.assertEqual(store.commits, 4)

        self.run_owned(scenario)
