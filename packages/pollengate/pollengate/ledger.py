"""The durable ledger: which jobs were accepted and which of their tasks have ended.

Keys of one shard, below `/pollengate/ledger/<zone>/<shard>/`:

    folded          number of the last segment that was compacted into the job records
    workers         workers that may hold leases
    jobs/<id>       the record of one job, as of a segment
    log/<sequence>  a segment: changes of several jobs, written by one group commit
    inbox/<id>      a job transferred from another shard and not yet received
    handover        tasks that the previous owner left running; deleted by the next owner

`/pollengate/jobs/<id>` names the shard of a job. Every write is conditional on the owner's
epoch and on the absence or the revision of the written key. A write that takes effect after its
sender has given up therefore changes nothing.
"""

import dataclasses
import json
from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from pollengate.compare_and_swap_key import CompareAndSwapKey, ConditionFailed
from pollengate.job_entry import JobEntry
from pollengate.jobs import JobSpec, digest_of
from pollengate.ledger_records import (
    JobChange,
    JobRecord,
    decode_record,
    decode_segment,
    encode_record,
    encode_segment,
)
from pollengate.ownership import owner_key
from pollengate.recorded_workers import decode_workers, encode_workers
from pollengate.store import (
    CommitResult,
    Delete,
    Entry,
    FailureKind,
    Operation,
    Put,
    Store,
    StoreFailure,
    Unchanged,
)
from pollengate.virtual_machines import VirtualMachine

__all__ = [
    "Accepted",
    "JOBS_PREFIX",
    "JobConflict",
    "JobLocation",
    "Ledger",
    "LedgerConflict",
    "LedgerContents",
    "LedgerFailure",
    "encode_job_location",
    "ledger_prefix",
    "decode_job_location",
]

JOBS_PREFIX = "/pollengate/jobs/"
LEDGER_PREFIX = "/pollengate/ledger/"
MAX_SEGMENT_BYTES = 256_000
MAX_JOBS_PER_TRANSACTION = 24
COMPACT_AFTER_SEGMENTS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class JobLocation:
    """The shard whose ledger holds a job, and the digest of the submitted specification."""

    zone: str
    shard: int
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A job is in the ledger; `is_new` is False for a resubmission."""

    location: JobLocation
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JobConflict:
    """The id belongs to a job with another specification."""

    location: JobLocation


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerConflict:
    """The write was refused because this process does not own the shard any more."""

    detail: str


LedgerFailure = LedgerConflict | StoreFailure


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerContents:
    """The contents of a shard's ledger.

    Attributes:
        records: the jobs of the shard.
        workers: workers that may hold leases of an earlier owner.
    """

    records: list[JobRecord]
    workers: list[VirtualMachine]


class Ledger:
    """Reads and writes one shard's part of the ledger under the owner's epoch.

    Attributes:
        writes: number of write transactions sent.
        bytes_written: total length of the values in these transactions.
    """

    def __init__(self, store: Store, zone: str, shard: int) -> None:
        self.writes = 0
        self.bytes_written = 0
        self._store = store
        self._location = JobLocation(zone, shard)
        self._prefix = ledger_prefix(zone, shard)
        self._compacted = CompareAndSwapKey(store, self._prefix + "folded")
        self._workers = CompareAndSwapKey(store, self._prefix + "workers")
        self._sequence = 0
        self._segments: list[int] = []
        self._uncompacted_jobs: dict[str, None] = {}
        self._revision_by_job: dict[str, int] = {}

    @property
    def needs_compaction(self) -> bool:
        """Whether there are enough segments to compact them into job records."""
        return len(self._segments) >= COMPACT_AFTER_SEGMENTS

    def is_local(self, location: JobLocation) -> bool:
        """Whether a location is this shard."""
        return (location.zone, location.shard) == (self._location.zone, self._location.shard)

    async def read(self) -> Result[LedgerContents, StoreFailure]:
        """Reads the whole ledger of the shard; a new owner calls this before it writes."""
        result = await self._store.list(self._prefix)
        if isinstance(result, Err):
            return result
        entries_by_name = {e.key.removeprefix(self._prefix): e for e in result.ok_value.entries}
        compacted, workers = entries_by_name.get("folded"), entries_by_name.get("workers")
        self._compacted.load(compacted)
        self._workers.load(workers)
        self._sequence = int(compacted.value) if compacted is not None else 0
        records: dict[str, JobRecord] = {}
        for name, entry in entries_by_name.items():
            if name.startswith("jobs/"):
                record = decode_record(entry.value)
                records[record.spec.job_id] = record
                self._revision_by_job[record.spec.job_id] = entry.revision
        self._replay(entries_by_name, records)
        recorded_workers = decode_workers(workers.value) if workers is not None else []
        return Ok(LedgerContents(list(records.values()), recorded_workers))

    async def accept(
        self, spec: JobSpec, epoch: int
    ) -> Result[Accepted, JobConflict | LedgerFailure]:
        """Records a job unless its id is taken; idempotent."""
        job_key = JOBS_PREFIX + spec.job_id
        location = dataclasses.replace(self._location, digest=digest_of(spec))
        writes = (
            Put(job_key, encode_job_location(location)),
            Put(self._job_key(spec.job_id), encode_record(JobRecord(spec, self._sequence))),
        )
        result = await self._commit(epoch, (Unchanged(job_key, 0),), writes)
        if isinstance(result, Err):
            return result
        if result.ok_value.succeeded:
            self._revision_by_job[spec.job_id] = result.ok_value.revision
            return Ok(Accepted(location, True))
        for entry in result.ok_value.current:
            if entry.key == job_key:
                return _check_resubmission(decode_job_location(entry), location.digest)
        return Err(_ownership_conflict())

    async def read_job(self, job_id: str) -> Result[JobRecord | None, StoreFailure]:
        """Reads one job record, without the changes in segments that are not yet compacted."""
        entry = await self._store.get(self._job_key(job_id))
        return entry.map(lambda found: decode_record(found.value) if found else None)

    async def append(self, changes: Sequence[JobChange], epoch: int) -> Result[None, LedgerFailure]:
        """Records changes in one or more segments.

        After a failure, the changes may or may not be recorded. The caller may append them again,
        since applying a change twice has the same result as applying it once.
        """
        for chunk in _split_into_segments(changes):
            sequence = self._sequence + 1
            key = self._segment_key(sequence)
            write = Put(key, encode_segment(chunk))
            result = await self._commit(epoch, (Unchanged(key, 0),), (write,))
            if isinstance(result, Err):
                return result
            if not result.ok_value.succeeded:
                if not any(entry.key == key for entry in result.ok_value.current):
                    return Err(_ownership_conflict())
                self._record_segment(sequence, chunk)
                return await self.append(changes, epoch)
            self._record_segment(sequence, chunk)
        return Ok(None)

    async def compact(
        self, jobs: dict[str, JobEntry], retention_lease_id: int, epoch: int
    ) -> Result[None, LedgerFailure]:
        """Writes the records of all jobs that changed in segments, then deletes the segments.

        Does nothing if one of these jobs is being transferred to another shard.

        Args:
            jobs: the owner's jobs by id; a job that is missing was transferred or dropped.
            retention_lease_id: lease to which the records of ended jobs are bound.
            epoch: epoch of the owner.
        """
        sequence, segments = self._sequence, list(self._segments)
        job_ids = [job_id for job_id in self._uncompacted_jobs if job_id in jobs]
        if any(jobs[job_id].is_transferring for job_id in job_ids):
            return Ok(None)
        for start in range(0, max(len(job_ids), 1), MAX_JOBS_PER_TRANSACTION):
            batch = job_ids[start : start + MAX_JOBS_PER_TRANSACTION]
            is_last = start + MAX_JOBS_PER_TRANSACTION >= len(job_ids)
            conditions = await self._record_conditions(batch)
            if isinstance(conditions, Err):
                return conditions
            writes: list[Operation] = []
            for job_id in batch:
                writes += self._job_writes(jobs[job_id], sequence, retention_lease_id)
            if is_last:
                writes += [Delete(self._segment_key(number)) for number in segments]
            value = str(sequence).encode()
            result = await self._write_key(
                self._compacted, value, epoch, conditions.ok_value, writes
            )
            for job_id in batch:
                self._revision_by_job.pop(job_id, None)
            if isinstance(result, Err):
                return result
            self._revision_by_job.update(dict.fromkeys(batch, result.ok_value))
        self._segments = [number for number in self._segments if number > sequence]
        self._uncompacted_jobs = {
            i: None for i in self._uncompacted_jobs if i in jobs and i not in job_ids
        }
        return Ok(None)

    async def record_workers(
        self, workers: Sequence[VirtualMachine], epoch: int
    ) -> Result[None, LedgerFailure]:
        """Records the workers that may hold leases; called before tasks are started on them."""
        result = await self._write_key(self._workers, encode_workers(workers), epoch, (), ())
        return result.map(lambda _: None)

    async def _write_key(
        self,
        key: CompareAndSwapKey,
        value: bytes,
        epoch: int,
        conditions: Sequence[Unchanged],
        writes: Sequence[Operation],
    ) -> Result[int, LedgerFailure]:
        self._count_transaction((*writes, Put(key.key, value)))
        result = await key.write(value, (*conditions, self._owner_condition(epoch)), writes)
        if isinstance(result, Ok):
            return Ok(result.ok_value)
        failure = result.err_value
        if not isinstance(failure, ConditionFailed):
            return Err(failure)
        owner = self._owner_condition(epoch)
        if any((e.key, e.revision) == (owner.key, owner.revision) for e in failure.current):
            return Err(StoreFailure(FailureKind.REJECTED, "the record of a job has changed"))
        return Err(_ownership_conflict())

    async def transfer_jobs(
        self, jobs: Sequence[JobEntry], target: JobLocation, epoch: int
    ) -> Result[None, LedgerFailure]:
        """Transfers jobs without running tasks to another shard, in one transaction.

        After a failure, the jobs may or may not have been transferred; `is_transferred` finds out.
        """
        conditions = await self._record_conditions([job.spec.job_id for job in jobs])
        if isinstance(conditions, Err):
            return conditions
        writes: list[Operation] = []
        for job in jobs:
            job_id = job.spec.job_id
            location = dataclasses.replace(target, digest=digest_of(job.spec))
            inbox_key = f"{ledger_prefix(target.zone, target.shard)}inbox/{job_id}"
            writes += (
                Delete(self._job_key(job_id)),
                Put(inbox_key, encode_record(job.to_record(0))),
                Put(JOBS_PREFIX + job_id, encode_job_location(location)),
            )
        result = await self._commit(epoch, conditions.ok_value, writes)
        if isinstance(result, Err):
            return result
        for job in jobs:
            self._revision_by_job.pop(job.spec.job_id, None)
        if result.ok_value.succeeded:
            return Ok(None)
        return Err(
            StoreFailure(FailureKind.REJECTED, "the record of a job or the owner has changed")
        )

    async def is_transferred(self, job_id: str) -> Result[bool, StoreFailure]:
        """Whether a job has left this shard, or is not known in any shard."""
        entry = await self._store.get(JOBS_PREFIX + job_id)
        return entry.map(
            lambda found: found is None or not self.is_local(decode_job_location(found))
        )

    async def list_inbox(self) -> Result[tuple[Entry, ...], StoreFailure]:
        """Returns the inbox entries: jobs transferred to this shard and not yet received."""
        listing = await self._store.list(self._prefix + "inbox/")
        return listing.map(lambda found: found.entries)

    async def receive_job(self, entry: Entry, epoch: int) -> Result[JobRecord, LedgerFailure]:
        """Moves a job from the inbox to this shard's records.

        After a failure, `resolve_received` returns the job if this or an earlier call took effect.
        """
        record = decode_record(entry.value)
        record.sequence = self._sequence
        job_id = record.spec.job_id
        writes = (Delete(entry.key), Put(self._job_key(job_id), encode_record(record)))
        result = await self._commit(epoch, (Unchanged(entry.key, entry.revision),), writes)
        if isinstance(result, Err):
            return result
        if not result.ok_value.succeeded:
            return Err(_ownership_conflict())
        self._revision_by_job[job_id] = result.ok_value.revision
        return Ok(record)

    async def resolve_received(self, entry: Entry) -> Result[JobRecord, StoreFailure]:
        """Returns the record of an inbox job that an earlier `receive_job` has moved here."""
        job_id = decode_record(entry.value).spec.job_id
        found = await self._store.get(self._job_key(job_id))
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Err(
                StoreFailure(FailureKind.REJECTED, f"job {job_id!r} has no record in this shard")
            )
        self._revision_by_job[job_id] = found.ok_value.revision
        return Ok(decode_record(found.ok_value.value))

    async def _record_conditions(
        self, job_ids: Sequence[str]
    ) -> Result[list[Unchanged], StoreFailure]:
        conditions = []
        for job_id in job_ids:
            key = self._job_key(job_id)
            if job_id not in self._revision_by_job:
                entry = await self._store.get(key)
                if isinstance(entry, Err):
                    return entry
                found = entry.ok_value
                self._revision_by_job[job_id] = found.revision if found is not None else 0
            conditions.append(Unchanged(key, self._revision_by_job[job_id]))
        return Ok(conditions)

    def _replay(self, entries_by_name: dict[str, Entry], records: dict[str, JobRecord]) -> None:
        self._segments = sorted(
            int(name.removeprefix("log/")) for name in entries_by_name if name.startswith("log/")
        )
        for number in self._segments:
            entry = entries_by_name[self._segment_key(number).removeprefix(self._prefix)]
            changes = decode_segment(entry.value)
            self._mark_uncompacted(changes)
            for change in changes:
                record = records.get(change.job_id)
                if record is not None and number > record.sequence:
                    record.apply(change)
                    record.sequence = number
        if self._segments:
            self._sequence = max(self._sequence, self._segments[-1])

    def _record_segment(self, sequence: int, chunk: Iterable[JobChange]) -> None:
        self._sequence = sequence
        self._segments.append(sequence)
        self._mark_uncompacted(chunk)

    def _mark_uncompacted(self, changes: Iterable[JobChange]) -> None:
        for change in changes:
            self._uncompacted_jobs[change.job_id] = None

    def _job_writes(self, job: JobEntry, sequence: int, retention_lease_id: int) -> list[Put]:
        lease_id = retention_lease_id if job.has_ended else 0
        record = encode_record(job.to_record(sequence))
        writes = [Put(self._job_key(job.spec.job_id), record, lease_id)]
        if lease_id:
            location = dataclasses.replace(self._location, digest=digest_of(job.spec))
            writes.append(
                Put(JOBS_PREFIX + job.spec.job_id, encode_job_location(location), lease_id)
            )
        return writes

    async def _commit(
        self, epoch: int, conditions: Sequence[Unchanged], writes: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        self._count_transaction(writes)
        return await self._store.commit((*conditions, self._owner_condition(epoch)), writes)

    def _count_transaction(self, writes: Sequence[Operation]) -> None:
        self.writes += 1
        self.bytes_written += sum(len(w.value) for w in writes if isinstance(w, Put))

    def _owner_condition(self, epoch: int) -> Unchanged:
        return Unchanged(owner_key(self._location.zone, self._location.shard), epoch)

    def _job_key(self, job_id: str) -> str:
        return f"{self._prefix}jobs/{job_id}"

    def _segment_key(self, sequence: int) -> str:
        return f"{self._prefix}log/{sequence:012}"


def ledger_prefix(zone: str, shard: int) -> str:
    """Returns the prefix of one shard's ledger keys."""
    return f"{LEDGER_PREFIX}{zone}/{shard}/"


def encode_job_location(location: JobLocation) -> bytes:
    """Encodes the value of the key that names a job's shard."""
    return json.dumps(dataclasses.asdict(location), separators=(",", ":")).encode()


def decode_job_location(entry: Entry) -> JobLocation:
    """Decodes the entry of the key that names a job's shard."""
    return JobLocation(**json.loads(entry.value))


def _check_resubmission(
    location: JobLocation, digest: str
) -> Result[Accepted, JobConflict | LedgerFailure]:
    return (
        Ok(Accepted(location, False)) if location.digest == digest else Err(JobConflict(location))
    )


def _ownership_conflict() -> LedgerConflict:
    return LedgerConflict("the shard has another owner")


def _split_into_segments(changes: Sequence[JobChange]) -> list[list[JobChange]]:
    chunks: list[list[JobChange]] = []
    size = MAX_SEGMENT_BYTES
    for change in changes:
        length = len(encode_segment([change]))
        if size + length > MAX_SEGMENT_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(change)
        size += length
    return chunks
