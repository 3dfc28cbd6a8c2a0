"""Group commit of a shard's records, in order and only while the shard is owned.

Each transaction has two conditions. The owner key has to be unchanged, so that an earlier owner
cannot write. The shard's commit key has to be at the revision of the previous commit, so that a
transaction that the store applies late has no effect. A commit without a reply is sent again
unchanged; if it has already taken effect, the commit key holds its number.
"""

import abc
import asyncio
import dataclasses
from collections.abc import Sequence

import msgspec
from pollengate.decoding import Amount, DocumentDecoder
from pollengate.store import (
    CommitResult,
    Delete,
    Entry,
    FailureKind,
    Operation,
    Put,
    Store,
    Unchanged,
)
from pollengate.workflow.keys import (
    commit_key,
    job_key,
    owner_key,
    progress_key,
    progress_part_key,
)
from pollengate.workflow.progress import JobProgress, JobState
from pollengate.workflow.records import encode_job, encode_part, encode_progress
from pollengate.workflow.shard_lease import ShardLease
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.section_timer import Section
from pollengated.logs import Log

__all__ = [
    "CommitNumber",
    "Committer",
    "JobRecord",
    "ProgressPartRecord",
    "ProgressRecord",
    "Record",
    "RecordRemoval",
    "decode_commit_number",
    "record_progress",
]

# A transaction has up to 32 entries; three are the conditions on the owner and commit keys and the
# write of the commit key.
RECORDS_PER_COMMIT = 29
# Pause after a commit, so that the next one contains more records.
COMMIT_INTERVAL_S = 0.03
RETRY_S = 0.1
DEFAULT_MAX_VALUE_BYTES = 1_048_576
# If commits fail for longer than this, new jobs are refused instead of kept waiting.
STALLED_AFTER_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class CommitNumber:
    """Identifies one commit of a shard.

    Attributes:
        tenure: number of the ownership term, counted from 0.
        sequence: number of the commit within its term, counted from 0.
    """

    tenure: Amount
    sequence: Amount


_COMMIT_NUMBER_DECODER = DocumentDecoder(CommitNumber)


def record_progress(committer: "Committer", shard: int, job: JobProgress) -> int:
    """Queues what has changed of a job's progress; returns the number of the last record.

    The job's own record goes first: it has the number of occurrences that were opened.
    """
    number = committer.add(ProgressRecord(shard, job))
    if job.is_ended:
        for part in sorted(job.stored_parts):
            number = committer.add(RecordRemoval(progress_part_key(shard, job.job_id, part)))
        job.stored_parts.clear()
    else:
        for part in sorted(job.changed_parts):
            number = committer.add(ProgressPartRecord(shard, job, part))
        job.stored_parts |= job.changed_parts
    job.changed_parts.clear()
    return number


def decode_commit_number(value: bytes) -> CommitNumber | None:
    """Decodes the value of a commit key; returns None if it is malformed."""
    return _COMMIT_NUMBER_DECODER.decode(value).ok()


class Record(abc.ABC):
    """A change of one key that a committer writes.

    Attributes:
        key: the store key; a newer record of the same key replaces one that is still pending.
    """

    key: str

    @abc.abstractmethod
    def operation(self) -> Operation:
        """Returns the write, with the current value."""

    def on_committed(self) -> None:
        """Called when the write is durable."""
        return

    def on_refused(self) -> None:
        """Called if the store will never accept the write."""
        return


class JobRecord(Record):
    """Stores an accepted job."""

    def __init__(self, shard: int, job: JobProgress) -> None:
        self.key = job_key(shard, job.job_id)
        self._job = job

    def operation(self) -> Operation:
        """Returns the write."""
        return Put(self.key, encode_job(self._job))


class ProgressRecord(Record):
    """Stores the progress of a job and shows its state to clients when it is durable."""

    def __init__(self, shard: int, job: JobProgress) -> None:
        self.key = progress_key(shard, job.job_id)
        self._job = job
        self._state: JobState = job.state

    def operation(self) -> Operation:
        """Returns the write."""
        self._state = self._job.state
        return Put(self.key, encode_progress(self._job))

    def on_committed(self) -> None:
        """Makes the written state visible to clients."""
        self._job.visible_state = self._state


class ProgressPartRecord(Record):
    """Stores the progress of some tasks of a job with many."""

    def __init__(self, shard: int, job: JobProgress, part: int) -> None:
        self.key = progress_part_key(shard, job.job_id, part)
        self._job = job
        self._part = part

    def operation(self) -> Operation:
        """Returns the write."""
        return Put(self.key, encode_part(self._job, self._part))


class RecordRemoval(Record):
    """Deletes a record of a job that has ended."""

    def __init__(self, key: str) -> None:
        self.key = key

    def operation(self) -> Operation:
        """Returns the deletion."""
        return Delete(self.key)


class Committer:
    """Writes the records of one ownership term of a shard.

    Args:
        store: the platform's store.
        shard: number of the shard.
        shard_lease: the owner's lease; each commit expects the owner key to be at its token.
        term_number: number of the ownership term, counted from 0.
        commit_revision: revision of the shard's commit key, 0 if it is absent.
        clocks: the process's clocks.
        metrics: counts refused records and measures their encoding; its own by default.
        max_value_bytes: limit of the store for a value.

    Attributes:
        term_number: the same.
        previous_commit: the last commit of earlier terms, None if there is none.
    """

    def __init__(
        self,
        store: Store,
        shard: int,
        shard_lease: ShardLease,
        term_number: int,
        commit_revision: int,
        clocks: Clocks,
        metrics: EdgeMetrics | None = None,
        max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES,
    ) -> None:
        self._store = store
        self._shard = shard
        self._shard_lease = shard_lease
        self.term_number = term_number
        self._commit_revision = commit_revision
        self.previous_commit: CommitNumber | None = None
        self._clocks = clocks
        self._metrics = metrics or EdgeMetrics()
        self._max_value_bytes = max_value_bytes
        # Records of one commit; a commit that the store refuses for good is split to find which.
        self._max_records = RECORDS_PER_COMMIT
        # Why the store will never accept the last commit, None unless it said so.
        self._refusal: str | None = None
        self._log = Log("commits")
        self._is_requested = False
        self._pending: dict[str, tuple[int, Record]] = {}
        self._writing: dict[str, tuple[int, Record]] = {}
        self._last_record_number = 0
        self._next_sequence = 0
        self._wake = asyncio.Event()
        self._advanced = asyncio.Event()
        self._failing_since: float | None = None

    @classmethod
    def resume(
        cls,
        store: Store,
        shard: int,
        shard_lease: ShardLease,
        commit: Entry | None,
        clocks: Clocks,
        metrics: EdgeMetrics,
        max_value_bytes: int,
    ) -> "Committer":
        """Returns the committer of a term that follows the one of a shard's commit key."""
        previous = decode_commit_number(commit.value) if commit else None
        term_number = max(shard_lease.term_number, previous.tenure + 1 if previous else 0)
        revision = commit.revision if commit else 0
        committer = cls(
            store, shard, shard_lease, term_number, revision, clocks, metrics, max_value_bytes
        )
        committer.previous_commit = previous
        return committer

    @property
    def last_record_number(self) -> int:
        """Number of the newest record."""
        return self._last_record_number

    @property
    def durable_record_number(self) -> int:
        """Number up to which all records are durable."""
        unwritten = [record_number for record_number, _ in self._pending.values()]
        unwritten += [record_number for record_number, _ in self._writing.values()]
        return min(unwritten) - 1 if unwritten else self._last_record_number

    @property
    def is_stalled(self) -> bool:
        """Whether commits have failed for longer than `STALLED_AFTER_S`."""
        return self.stalled_s > STALLED_AFTER_S

    @property
    def stalled_s(self) -> float:
        """Seconds for which commits have been failing; 0 if the last one succeeded."""
        since = self._failing_since
        return 0.0 if since is None else self._clocks.monotonic_s() - since

    @property
    def is_idle(self) -> bool:
        """Whether all records are durable."""
        return not self._pending and not self._writing

    def add(self, record: Record) -> int:
        """Queues a record; returns the number to pass to `wait_durable`."""
        self._last_record_number += 1
        record_number, _ = self._pending.get(record.key, (self._last_record_number, record))
        self._pending[record.key] = (record_number, record)
        self._wake.set()
        return self._last_record_number

    @property
    def newest_revision(self) -> int:
        """Revision of the shard's newest commit, which is below the token of any later owner."""
        return self._commit_revision

    def request_commit(self) -> None:
        """Requests a commit even if there is no record to write."""
        self._is_requested = True
        self._wake.set()

    def withdraw(self, record: Record) -> bool:
        """Removes a record that no commit has tried to write; returns whether it was removed."""
        pending = self._pending.get(record.key)
        if pending is None or pending[1] is not record:
            return False
        del self._pending[record.key]
        return True

    async def wait_commit(self, timeout_s: float) -> None:
        """Waits for the next commit, at most for `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._advanced.wait()
        except TimeoutError:
            return

    async def wait_durable(self, record_number: int, timeout_s: float) -> bool:
        """Waits until all records up to a number are durable; returns False after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.durable_record_number < record_number:
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Writes pending records until the lease is lost or the task is cancelled."""
        while not self._shard_lease.is_lost:
            await self._wake.wait()
            self._wake.clear()
            while (self._pending or self._is_requested) and not self._shard_lease.is_lost:
                await self._commit_group()
                await asyncio.sleep(COMMIT_INTERVAL_S)

    async def _commit_group(self) -> None:
        with self._metrics.sections.measure(Section.ENCODE_RECORDS, self._shard):
            operations = self._take_group()
        is_requested, self._is_requested = self._is_requested, False
        if not operations and not is_requested:
            return
        number = CommitNumber(self.term_number, self._next_sequence)
        self._next_sequence += 1
        operations.append(Put(commit_key(self._shard), msgspec.json.encode(number)))
        revision = await self._write(number, operations)
        if revision is None:
            if self._refusal is not None:
                await self._handle_refusal(operations, self._refusal)
            return
        self._max_records = RECORDS_PER_COMMIT
        self._commit_revision = revision
        written, self._writing = self._writing, {}
        for _, record in written.values():
            record.on_committed()
        self._notify_advanced()

    def _notify_advanced(self) -> None:
        advanced, self._advanced = self._advanced, asyncio.Event()
        advanced.set()

    def _take_group(self) -> list[Operation]:
        """Moves the next records to `_writing` and returns their writes, within the limits.

        A record that the store would refuse is left out, as it would hold all others back.
        """
        self._writing = {}
        operations: list[Operation] = []
        total_bytes = 0
        for key in list(self._pending):
            operation = self._pending[key][1].operation()
            size = len(operation.value) if isinstance(operation, Put) else 0
            if size > self._max_value_bytes:
                _, record = self._pending.pop(key)
                self._leave_out(record, size)
                continue
            total_bytes += size
            is_full = len(operations) >= self._max_records or total_bytes > self._max_value_bytes
            if operations and is_full:
                break
            self._writing[key] = self._pending.pop(key)
            operations.append(operation)
        if not operations:
            self._notify_advanced()
        return operations

    async def _handle_refusal(self, operations: Sequence[Operation], detail: str) -> None:
        """Splits a commit that the store will never accept; leaves out a record that is alone.

        A store that accepts no commit at all says nothing of the record.
        """
        is_alone = len(self._writing) == 1
        is_at_fault = is_alone and await self._is_accepting()
        refused, self._writing = self._writing, {}
        if is_at_fault:
            ((_, record),) = refused.values()
            operation = operations[0]
            size = len(operation.value) if isinstance(operation, Put) else 0
            self._leave_out(record, size, detail)
            self._notify_advanced()
            return
        if is_alone:
            self._handle_failure(FailureKind.INVALID, detail)
            await asyncio.sleep(RETRY_S)
        self._max_records = (len(refused) + 1) // 2
        # Records that were added meanwhile are newer.
        added, self._pending = self._pending, refused
        for key, (number, record) in added.items():
            self._pending[key] = (self._pending.get(key, (number, record))[0], record)

    async def _is_accepting(self) -> bool:
        """Returns whether the store accepts a commit without records."""
        number = CommitNumber(self.term_number, self._next_sequence)
        self._next_sequence += 1
        value = msgspec.json.encode(number)
        revision = await self._write(number, [Put(commit_key(self._shard), value)])
        if revision is None:
            return False
        self._commit_revision = revision
        return True

    def _leave_out(self, record: Record, size: int, detail: str = "") -> None:
        record.on_refused()
        self._metrics.refused_records.inc()
        self._log.warning(
            "record is refused by the store for good; leaving it out",
            shard=self._shard,
            key=record.key,
            bytes=size,
            limit_bytes=self._max_value_bytes,
            cause=detail,
        )

    async def _write(self, number: CommitNumber, operations: list[Operation]) -> int | None:
        """Sends a commit until it succeeds; returns its revision.

        It is None if the lease is lost, or if the store will never accept the commit.
        """
        conditions = [
            Unchanged(owner_key(self._shard), self._shard_lease.token),
            Unchanged(commit_key(self._shard), self._commit_revision),
        ]
        self._refusal = None
        while not self._shard_lease.is_lost:
            result = await self._store.commit(conditions, operations)
            if isinstance(result, Err) and result.err_value.kind is FailureKind.INVALID:
                self._refusal = result.err_value.detail
                return None
            if isinstance(result, Err):
                self._handle_failure(result.err_value.kind, result.err_value.detail)
                await asyncio.sleep(RETRY_S)
                continue
            self._handle_success()
            if result.ok_value.succeeded:
                return result.ok_value.revision
            return self._find_own_commit(number, result.ok_value)
        return None

    def _find_own_commit(self, number: CommitNumber, conflict: CommitResult) -> int | None:
        """Returns the revision of a commit that took effect although its reply was lost.

        Otherwise this process no longer owns the shard: marks the lease as lost and returns None.
        A later owner may use the same number, so it identifies the commit only while the owner key
        is unchanged.
        """
        current = {entry.key: entry for entry in conflict.current}
        owner = current.get(owner_key(self._shard))
        commit = current.get(commit_key(self._shard))
        is_owner = owner is not None and owner.revision == self._shard_lease.token
        if is_owner and commit is not None and decode_commit_number(commit.value) == number:
            return commit.revision
        self._log.warning(
            "this process no longer owns the shard; ending commits",
            shard=self._shard,
            token=self._shard_lease.token,
        )
        self._shard_lease.mark_lost()
        return None

    def _handle_failure(self, kind: FailureKind, detail: str) -> None:
        if self._failing_since is None:
            self._failing_since = self._clocks.monotonic_s()
            self._log.warning(
                "commit failed; trying again", shard=self._shard, kind=kind.value, cause=detail
            )

    def _handle_success(self) -> None:
        if self._failing_since is not None:
            stalled_s = self._clocks.monotonic_s() - self._failing_since
            self._failing_since = None
            self._log.info(
                "commits succeed again", shard=self._shard, stalled_s=round(stalled_s, 2)
            )
