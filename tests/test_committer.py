"""Tests of group commit: lost answers, late writes and lost ownership."""

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
    """A record with a value of its own."""

    def __init__(self, key: str, value: bytes = b"v") -> None:
        self.key = key
        self.value = value
        self.is_committed = False

    def operation(self) -> Operation:
        """Returns the write."""
        return Put(self.key, self.value)

    def on_committed(self) -> None:
        """Takes note."""
        self.is_committed = True


class CommitterTest(unittest.TestCase):
    """One owner's commits."""

    def run_owned(self, scenario: Any) -> None:
        """Runs a scenario with a store, an owner's committer and its right."""

        async def main() -> None:
            shared = MemoryStore()
            store = FaultyStore(shared)
            taken = (await shared.commit((), (Put(owner_key(0), b"me"),))).unwrap()
            shard_lease = ShardLease(taken.revision, 0.0)
            committer = Committer(store, 0, shard_lease, 0, 0, Clocks.of_loop())
            running = asyncio.create_task(committer.run())
            await scenario(shared, store, committer, shard_lease)
            running.cancel()

        run_virtual(main())

    def test_records_that_come_together_share_commits(self) -> None:
        async def scenario(
            shared: MemoryStore, store: FaultyStore, committer: Committer, shard_lease: ShardLease
        ) -> None:
            record_numbers = [committer.add(ValueRecord(f"k{number}")) for number in range(60)]
            self.assertTrue(await committer.wait_durable(record_numbers[-1], 5.0))
            self.assertEqual(store.commits, 3)

        self.run_owned(scenario)

    def test_commit_whose_answer_was_lost_is_found(self) -> None:
        async def scenario(
            shared: MemoryStore, store: FaultyStore, committer: Committer, shard_lease: ShardLease
        ) -> None:
            store.fail_once(Fault.ANSWER_LOST, "k")
            record = ValueRecord("k")
            self.assertTrue(await committer.wait_durable(committer.add(record), 5.0))
            self.assertTrue(record.is_committed)
            self.assertTrue(await committer.wait_durable(committer.add(ValueRecord("l")), 5.0))

        self.run_owned(scenario)

    def test_commit_that_takes_effect_late_changes_nothing(self) -> None:
        async def scenario(
            shared: MemoryStore, store: FaultyStore, committer: Committer, shard_lease: ShardLease
        ) -> None:
            store.fail_once(Fault.LATE, "k")
            await committer.wait_durable(committer.add(ValueRecord("k", b"old")), 5.0)
            await committer.wait_durable(committer.add(ValueRecord("k", b"new")), 5.0)
            (late,) = await store.release_delayed()
            self.assertFalse(late.unwrap().succeeded)
            entry = (await shared.get("k")).unwrap()
            assert entry is not None
            self.assertEqual(entry.value, b"new")

        self.run_owned(scenario)

    def test_nothing_is_written_once_the_shard_has_another_owner(self) -> None:
        async def scenario(
            shared: MemoryStore, store: FaultyStore, committer: Committer, shard_lease: ShardLease
        ) -> None:
            await shared.commit((), (Delete(owner_key(0)),))
            await shared.commit((), (Put(owner_key(0), b"other"),))
            self.assertFalse(await committer.wait_durable(committer.add(ValueRecord("k")), 5.0))
            self.assertTrue(shard_lease.is_lost)
            self.assertIsNone((await shared.get("k")).unwrap())

        self.run_owned(scenario)

    def test_record_that_was_never_sent_can_be_withdrawn(self) -> None:
        async def scenario(
            shared: MemoryStore, store: FaultyStore, committer: Committer, shard_lease: ShardLease
        ) -> None:
            store.is_down = True
            sent, waiting = ValueRecord("k"), ValueRecord("l")
            committer.add(sent)
            await asyncio.sleep(1.0)
            committer.add(waiting)
            self.assertTrue(committer.is_stalled)
            self.assertFalse(committer.withdraw(sent))
            self.assertTrue(committer.withdraw(waiting))
            store.is_down = False
            await asyncio.sleep(1.0)
            self.assertIsNone((await shared.get("l")).unwrap())
            self.assertIsNotNone((await shared.get("k")).unwrap())

        self.run_owned(scenario)

    def test_commits_are_numbered(self) -> None:
        async def scenario(
            shared: MemoryStore, store: FaultyStore, committer: Committer, shard_lease: ShardLease
        ) -> None:
            await committer.wait_durable(committer.add(ValueRecord("k")), 5.0)
            await committer.wait_durable(committer.add(ValueRecord("l")), 5.0)
            entry = (await shared.get(commit_key(0))).unwrap()
            assert entry is not None
            number = decode_commit_number(entry.value)
            assert number is not None
            self.assertEqual((number.tenure, number.sequence), (0, 1))

        self.run_owned(scenario)
