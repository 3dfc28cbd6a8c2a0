"""The durable ledger: which jobs were accepted and which of their tasks have ended."""

import dataclasses
import json

from result import Err, Ok, Result

from pollengate.jobs import JobSpec, Resources, TaskState
from pollengate.ownership import owner_key
from pollengate.shard import JobBook
from pollengate.store import Entry, Put, Store, StoreFailure, Unchanged

__all__ = ["Accepted", "JobHome", "Ledger", "LedgerConflict", "LedgerRecord", "read_home"]

JOBS_PREFIX = "/pollengate/jobs/"
LEDGER_PREFIX = "/pollengate/ledger/"


@dataclasses.dataclass(frozen=True, slots=True)
class JobHome:
    """The shard whose ledger holds a job."""

    zone: str
    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A job that is in the ledger; `is_new` is False for a resubmission."""

    home: JobHome
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerConflict:
    """The write was refused: this process no longer owns the shard."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRecord:
    """A job as the ledger holds it; `ended_by_state` names ended tasks."""

    spec: JobSpec
    ended_by_state: dict[TaskState, tuple[str, ...]]


class Ledger:
    """Reads and writes one shard's part of the ledger under the owner's epoch."""

    def __init__(self, store: Store, zone: str, shard: int) -> None:
        self._store = store
        self._home = JobHome(zone, shard)
        self._prefix = f"{LEDGER_PREFIX}{zone}/{shard}/"

    async def accept(
        self, spec: JobSpec, epoch: int
    ) -> Result[Accepted, LedgerConflict | StoreFailure]:
        """Records a job unless its id is taken; harmless when repeated."""
        job_key = JOBS_PREFIX + spec.job_id
        conditions = (Unchanged(job_key, 0), self._owner_condition(epoch))
        record = _encode(LedgerRecord(spec, {}))
        home = json.dumps(dataclasses.asdict(self._home)).encode()
        writes = (Put(job_key, home), Put(self._prefix + spec.job_id, record))
        result = await self._store.commit(conditions, writes)
        if isinstance(result, Err):
            return result
        if result.ok_value.succeeded:
            return Ok(Accepted(self._home, True))
        for entry in result.ok_value.current:
            if entry.key == job_key:
                return Ok(Accepted(read_home(entry), False))
        return Err(LedgerConflict("the shard has another owner"))

    async def flush(
        self, jobs: list[JobBook], epoch: int
    ) -> Result[None, LedgerConflict | StoreFailure]:
        """Records the ended tasks of changed jobs in one write."""
        writes = [Put(self._prefix + job.spec.job_id, _encode(_record_of(job))) for job in jobs]
        result = await self._store.commit((self._owner_condition(epoch),), writes)
        if isinstance(result, Err):
            return result
        if not result.ok_value.succeeded:
            return Err(LedgerConflict("the shard has another owner"))
        return Ok(None)

    async def read(self) -> Result[list[LedgerRecord], StoreFailure]:
        """Reads every job of the shard."""
        result = await self._store.list(self._prefix)
        return result.map(lambda listing: [_decode(entry.value) for entry in listing.entries])

    def _owner_condition(self, epoch: int) -> Unchanged:
        return Unchanged(owner_key(self._home.zone, self._home.shard), epoch)


def read_home(entry: Entry) -> JobHome:
    """Decodes the index entry of a job."""
    document = json.loads(entry.value)
    return JobHome(document["zone"], document["shard"])


def _record_of(job: JobBook) -> LedgerRecord:
    ended: dict[TaskState, list[str]] = {}
    for task in job.tasks_by_id.values():
        if task.state in (TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED):
            ended.setdefault(task.state, []).append(task.task_id)
    return LedgerRecord(job.spec, {state: tuple(ids) for state, ids in ended.items()})


def _encode(record: LedgerRecord) -> bytes:
    document = {
        "spec": dataclasses.asdict(record.spec),
        "ended": {state.value: list(ids) for state, ids in record.ended_by_state.items()},
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _decode(value: bytes) -> LedgerRecord:
    document = json.loads(value)
    fields = document["spec"]
    resources = Resources(**fields.pop("resources"))
    ended = {TaskState(state): tuple(ids) for state, ids in document["ended"].items()}
    return LedgerRecord(JobSpec(resources=resources, **fields), ended)
