"""Routes requests about jobs to the owners of their shards."""

import dataclasses
import zlib
from collections.abc import Awaitable, Callable

from pollengate.jobs import JobSpec
from pollengate.ledger import JOBS_PREFIX, JobLocation, decode_job_location
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.store import Store
from pollengate_net.calls import CallFailure
from pollengate_net.messages import scheduler_pb2 as pb
from pollengate_net.scheduler_client import SchedulerClient
from pollengate_net.scheduler_messages import refusal_from_message
from result import Err, Ok, Result

from pollengated.configuration_cache import ConfigurationCache
from pollengated.owner_directory import OwnerDirectory

__all__ = ["JobRouter"]

RETRY_AFTER_S = 1.0

_MAX_CALLS_PER_REQUEST = 2
_OWNER_CHANGED_REASONS = frozenset({Reason.NO_OWNER, Reason.STOPPING})

CallOwner = Callable[[str], Awaitable[Result[pb.JobReply, CallFailure]]]


class JobRouter:
    """Finds the shard of a job and calls the owner of that shard."""

    def __init__(
        self,
        store: Store,
        configuration_cache: ConfigurationCache,
        directory: OwnerDirectory,
        client: SchedulerClient,
    ) -> None:
        self._store = store
        self._configuration_cache = configuration_cache
        self._directory = directory
        self._client = client

    async def submit(self, spec: JobSpec) -> Result[pb.JobReply, Refusal]:
        """Submits a job to the shard that has it, else to one chosen by a hash of its id."""
        location = await self._read_location(spec.job_id)
        if isinstance(location, Err):
            return location
        chosen = (
            location.ok_value
            if location.ok_value is not None
            else self._choose_location(spec.job_id)
        )
        if chosen is None:
            return Err(_no_owner("no availability zone in service has an owner"))
        reply = await self._call_owner(
            chosen, lambda address: self._client.submit(address, spec, chosen.zone, chosen.shard)
        )
        if isinstance(reply, Ok) and not reply.ok_value.status.HasField("job"):
            # Another shard has the job; the reply holds only its location.
            status = reply.ok_value.status
            return await self._show_at(spec.job_id, JobLocation(status.zone, status.shard))
        return reply

    async def show(self, job_id: str) -> Result[pb.JobReply, Refusal]:
        """Returns the status of a job and its tasks, or a refusal."""
        location = await self._locate(job_id)
        if isinstance(location, Err):
            return location
        return await self._show_at(job_id, location.ok_value)

    async def cancel(self, job_id: str) -> Result[pb.JobReply, Refusal]:
        """Cancels a job; returns its status, or a refusal."""
        located = await self._locate(job_id)
        if isinstance(located, Err):
            return located
        location = located.ok_value
        return await self._call_owner(
            location,
            lambda address: self._client.cancel(address, job_id, location.zone, location.shard),
        )

    async def list_jobs(self) -> list[pb.JobStatus]:
        """Returns the jobs of all shards, leaving out shards whose owner does not reply."""
        jobs: list[pb.JobStatus] = []
        for owner in self._directory.all():
            reply = await self._client.list_jobs(owner.address, owner.zone, owner.shard)
            if isinstance(reply, Ok):
                jobs.extend(reply.ok_value.jobs)
        return jobs

    async def _show_at(self, job_id: str, location: JobLocation) -> Result[pb.JobReply, Refusal]:
        return await self._call_owner(
            location,
            lambda address: self._client.show(address, job_id, location.zone, location.shard),
        )

    async def _call_owner(
        self, location: JobLocation, call: CallOwner
    ) -> Result[pb.JobReply, Refusal]:
        """Calls the owner of a shard; if it is no longer the owner, calls its successor.

        The outcome of a refusal is unknown if either call may have taken effect.
        """
        may_have_run = False
        refusal = _no_owner(f"shard {location.shard} of {location.zone} has no owner")
        called_address = ""
        for _ in range(_MAX_CALLS_PER_REQUEST):
            owner = self._directory.find(location.zone, location.shard)
            if owner is None or owner.address == called_address:
                await self._directory.refresh()
                owner = self._directory.find(location.zone, location.shard)
            if owner is None or owner.address == called_address:
                break
            called_address = owner.address
            reply = _unwrap(await call(called_address))
            if isinstance(reply, Ok):
                return reply
            refusal = reply.err_value
            may_have_run |= refusal.outcome is Outcome.UNKNOWN
            if refusal.reason not in _OWNER_CHANGED_REASONS:
                break
        outcome = Outcome.UNKNOWN if may_have_run else refusal.outcome
        return Err(dataclasses.replace(refusal, outcome=outcome))

    async def _locate(self, job_id: str) -> Result[JobLocation, Refusal]:
        location = await self._read_location(job_id)
        if isinstance(location, Err):
            return location
        if location.ok_value is None:
            detail = f"task {job_id!r} does not exist"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail))
        return Ok(location.ok_value)

    async def _read_location(self, job_id: str) -> Result[JobLocation | None, Refusal]:
        entry = await self._store.get(JOBS_PREFIX + job_id)
        if isinstance(entry, Err):
            detail = "the platform's store did not reply"
            refusal = Refusal(Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S)
            return Err(refusal)
        return Ok(decode_job_location(entry.ok_value) if entry.ok_value is not None else None)

    def _choose_location(self, job_id: str) -> JobLocation | None:
        configuration = self._configuration_cache.current
        locations = [
            JobLocation(owner.zone, owner.shard)
            for owner in self._directory.all()
            if configuration.is_in_service(owner.zone)
        ]
        if not locations:
            return None
        return locations[zlib.crc32(job_id.encode()) % len(locations)]


def _no_owner(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.NO_OWNER, detail, RETRY_AFTER_S)


def _unwrap(reply: Result[pb.JobReply, CallFailure]) -> Result[pb.JobReply, Refusal]:
    if isinstance(reply, Err):
        outcome = Outcome.UNKNOWN if reply.err_value.was_sent else Outcome.NOT_RUN
        return Err(Refusal(outcome, Reason.NO_OWNER, reply.err_value.detail, RETRY_AFTER_S))
    if reply.ok_value.HasField("refusal"):
        return Err(refusal_from_message(reply.ok_value.refusal))
    return Ok(reply.ok_value)
