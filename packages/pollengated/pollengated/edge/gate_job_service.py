"""Handles clients' requests in any process by forwarding them to the owner of the job's shard.

The owner of a job's home shard names the shard that has it if it was placed elsewhere.
"""

import asyncio
from collections.abc import Awaitable, Callable

from pollengate.accounts.job_access import Requester
from pollengate.store import PolledStore
from pollengate.workflow.job_placement import decode_placement
from pollengate.workflow.job_service import (
    RETRY_AFTER_S,
    Found,
    JobResponse,
    JobService,
    NoSuchJob,
    NotAccepted,
    OwnerResponse,
    PlacedElsewhere,
    Undecided,
    UnknownKey,
    WaitingCount,
    remaining_outage_s,
)
from pollengate.workflow.keys import job_key, placement_key, progress_key, shard_of_job
from pollengate.workflow.model import Deployment, Queue, Workflow
from pollengate.workflow.progress import JobState
from pollengate.workflow.records import decode_job, decode_progress
from pollengate_net.calls import CallFailure
from result import Err, Ok, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.key_refusals import KeyRefusals
from pollengated.edge.node_directory import NodeDirectory
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.edge.rpc import EdgeClient, NotOwner
from pollengated.edge.shard_term import ShardTerm
from pollengated.logs import Log

__all__ = ["GateJobService"]

# A change of the owner takes less time than this.
NO_OWNER_TIMEOUT_S = 0.6
# Clients wait 3 s for a response.
RESPONSE_TIMEOUT_S = 2.4
FORWARD_RETRY_INTERVAL_S = 0.1
_RemoteCall = Callable[[str], Awaitable[Result[OwnerResponse | NotOwner, CallFailure]]]
_LocalCall = Callable[[ShardTerm], Awaitable[OwnerResponse]]


class GateJobService(JobService):
    """Job service of an edge process; forwards each request to the owner of the job's shard.

    Args:
        shards: number of shards of the deployment.
        owned_shards: shards that this process owns.
        operator_view: the configuration.
        directory: the owners of the other shards.
        client: calls other processes.
        probe: knows which owners are reachable.
        store: read for the state of a job if its shard has no owner.
        clocks: the process's clocks.
        metrics: counts responses.
    """

    def __init__(
        self,
        shards: int,
        owned_shards: OwnedShards,
        operator_view: OperatorView,
        directory: NodeDirectory,
        client: EdgeClient,
        probe: OwnerProbe,
        store: PolledStore,
        clocks: Clocks,
        metrics: EdgeMetrics,
    ) -> None:
        self._shards = shards
        self._owned_shards = owned_shards
        self._operator_view = operator_view
        self._directory = directory
        self._client = client
        self._probe = probe
        self._store = store
        self._clocks = clocks
        self._metrics = metrics
        self._log = Log("gate")
        self._key_refusals = KeyRefusals(clocks, metrics)

    def has_configuration(self) -> bool:
        """Whether a configuration has been loaded."""
        return self._operator_view.deployment is not None

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue for a host and a path, None if there is none."""
        deployment = self._operator_view.deployment
        return None if deployment is None else deployment.find_queue(host, path)

    def authenticate(self, queue: Queue, key: bytes) -> Result[str, UnknownKey]:
        """Returns the name of the client account that a key belongs to, empty for none."""
        key_ring = self._operator_view.key_ring
        if key_ring is None or queue.is_public:
            return Ok("")
        account = key_ring.find_account(key)
        if account is not None:
            return Ok(account)
        refusal = UnknownKey("unknown" if key else "missing")
        self._key_refusals.record(queue.name, refusal.reason, self._operator_view.cache.age_s())
        return Err(refusal)

    async def submit(
        self, queue: Queue, job_id: str, workflow: Workflow, account: str
    ) -> JobResponse:
        """Submits a job of a client account to the owner of its shard."""
        pending_response = self._submit(queue, job_id, workflow, account)
        return await self._measure_response("submit", job_id, pending_response, account)

    async def show(self, queue: Queue, job_id: str, account: str) -> JobResponse:
        """Returns the state of a job; one of another account is unknown."""
        pending_response = self._show(job_id, Requester(queue.name, account))
        return await self._measure_response("show", job_id, pending_response, account)

    async def cancel(self, queue: Queue, job_id: str, account: str) -> JobResponse:
        """Cancels a job at the owner of its shard; one of another account is unknown."""
        requester = Requester(queue.name, account)
        return await self._measure_response(
            "cancel", job_id, self._cancel(job_id, requester), account
        )

    async def count_waiting(self, queue: Queue) -> JobResponse:
        """Returns the number of waiting jobs of a queue in all shards."""
        return await self._measure_response("count", queue.name, self._count_waiting(queue))

    async def _submit(
        self, queue: Queue, job_id: str, workflow: Workflow, account: str
    ) -> JobResponse:
        shard = shard_of_job(job_id, self._shards)
        deployment = self._operator_view.deployment
        version = 0 if deployment is None else deployment.version
        response = await self._forward_to_owner(
            shard,
            lambda term: term.request_handler.submit(
                queue.name, job_id, workflow, account, version
            ),
            lambda address: self._client.submit(
                address, shard, queue.name, job_id, workflow, account, version
            ),
        )
        return _without_placement(response)

    async def _cancel(self, job_id: str, requester: Requester) -> JobResponse:
        response, _ = await self._forward_to_holder(
            job_id,
            lambda term: term.request_handler.cancel(job_id, requester),
            lambda shard: lambda address: self._client.cancel(address, shard, job_id, requester),
        )
        return response

    async def _show(self, job_id: str, requester: Requester) -> JobResponse:
        response, shard = await self._forward_to_holder(
            job_id,
            lambda term: term.request_handler.show(job_id, requester),
            lambda shard: lambda address: self._client.show(address, shard, job_id, requester),
        )
        if isinstance(response, NotAccepted | Undecided):
            return await self._show_stored(shard, job_id, requester) or response
        return response

    async def _forward_to_holder(
        self, job_id: str, local: _LocalCall, remote_of: Callable[[int], _RemoteCall]
    ) -> tuple[JobResponse, int]:
        """Sends a request to the owner of the shard that has a job; returns that shard, too."""
        home_shard = shard_of_job(job_id, self._shards)
        response = await self._forward_to_owner(home_shard, local, remote_of(home_shard))
        if not isinstance(response, PlacedElsewhere):
            return response, home_shard
        shard = response.shard
        response = await self._forward_to_owner(shard, local, remote_of(shard))
        return _without_placement(response), shard

    async def _show_stored(
        self, shard: int, job_id: str, requester: Requester
    ) -> JobResponse | None:
        """Returns a job's state from its records; None if they can't be read or decoded."""
        deployment = self._operator_view.deployment or Deployment(0)
        is_restricted = requester.is_restricted(deployment)
        progress = await self._store.get(progress_key(shard, job_id))
        if isinstance(progress, Err):
            return None
        if progress.ok_value is not None and not is_restricted:
            return _decode_state(progress.ok_value.value)
        job = await self._store.get(job_key(shard, job_id))
        if isinstance(job, Err):
            return None
        if job.ok_value is None:
            return await self._show_placed(shard, job_id, requester)
        if is_restricted:
            # Only the job's record has its account.
            stored = decode_job(job.ok_value.value)
            if isinstance(stored, Err):
                return None
            if not requester.may_access(stored.ok_value.queue, stored.ok_value.account, deployment):
                return NoSuchJob()
        if progress.ok_value is None:
            return Found(JobState.QUEUED)
        return _decode_state(progress.ok_value.value)

    async def _show_placed(
        self, shard: int, job_id: str, requester: Requester
    ) -> JobResponse | None:
        """Returns the state of a job that has no record in a shard, following its placement."""
        home_shard = shard_of_job(job_id, self._shards)
        if shard != home_shard:
            return NoSuchJob()
        entry = await self._store.get(placement_key(home_shard, job_id))
        if isinstance(entry, Err):
            return None
        if entry.ok_value is None:
            return NoSuchJob()
        placement = decode_placement(entry.ok_value.value)
        if isinstance(placement, Err):
            return None
        if placement.ok_value.shard == home_shard:
            return NoSuchJob()
        return await self._show_stored(placement.ok_value.shard, job_id, requester)

    async def _count_waiting(self, queue: Queue) -> JobResponse:
        total = 0
        for shard in range(self._shards):
            response = await self._forward_to_owner(
                shard,
                lambda term: term.request_handler.count_waiting(queue.name),
                lambda address, shard=shard: self._client.count_waiting(  # type: ignore[misc]
                    address, shard, queue.name
                ),
            )
            if not isinstance(response, WaitingCount):
                return _without_placement(response)
            total += response.count
        return WaitingCount(total)

    async def _forward_to_owner(
        self, shard: int, local: _LocalCall, remote: _RemoteCall
    ) -> OwnerResponse:
        """Sends a request to the owner of a shard; waits for a short time if there is none.

        All requests are idempotent: a new owner loads every job that the previous one made durable,
        and no write of the previous owner takes effect after that. Therefore a request that got no
        reply is sent again to the next owner.
        """
        began_at = self._clocks.monotonic_s()
        undecided: Undecided | None = None
        while True:
            response = await self._call_owner_once(shard, local, remote)
            if isinstance(response, Undecided):
                undecided = response
            elif isinstance(response, NotAccepted) and undecided is not None:
                pass  # an earlier attempt may still have taken effect
            elif response is not None:
                return response
            if undecided is None and not self._probe.is_reachable(shard):
                outage_s = self._probe.failing_s(shard)
                return NotAccepted("owner_unreachable", remaining_outage_s(outage_s))
            waited_s = self._clocks.monotonic_s() - began_at
            if undecided is not None and waited_s >= RESPONSE_TIMEOUT_S:
                return undecided
            if undecided is None and waited_s >= NO_OWNER_TIMEOUT_S:
                return NotAccepted("no_owner", RETRY_AFTER_S)
            await self._directory.wait_for_change(FORWARD_RETRY_INTERVAL_S)

    async def _call_owner_once(
        self, shard: int, local: _LocalCall, remote: _RemoteCall
    ) -> OwnerResponse | None:
        """Sends a request to the current owner; returns None if it certainly had no effect."""
        term = self._owned_shards.serving_term(shard)
        if term is not None:
            return await local(term)
        owner = self._directory.owner(shard)
        if owner is None or not self._probe.is_reachable(shard):
            return None
        result = await remote(owner.record.address)
        if isinstance(result, Err):
            failure = result.err_value
            self._log.warning(
                "owner did not reply",
                shard=shard,
                owner=owner.record.node,
                sent=failure.was_sent,
                cause=failure.detail,
            )
            return Undecided("owner_silent") if failure.was_sent else None
        return None if isinstance(result.ok_value, NotOwner) else result.ok_value

    async def _measure_response(
        self,
        request: str,
        subject: str,
        pending_response: Awaitable[JobResponse],
        account: str = "",
    ) -> JobResponse:
        began_at = asyncio.get_running_loop().time()
        response = await pending_response
        took_s = asyncio.get_running_loop().time() - began_at
        outcome = type(response).__name__
        self._metrics.responses.labels(request, outcome).inc()
        self._metrics.response_seconds.labels(request).observe(took_s)
        fields: dict[str, object] = {}
        if isinstance(response, NotAccepted | Undecided):
            fields = {"reason": response.reason}
        elif isinstance(response, WaitingCount):
            fields = {"waiting": response.count}
        if request != "show" or fields:
            self._log.info(
                f"{request} answered",
                job=subject,
                outcome=outcome,
                took_ms=round(took_s * 1000, 1),
                view_age_s=round(self._operator_view.cache.age_s(), 2),
                **({"account": account} if account else {}),
                **fields,
            )
        return response


def _without_placement(response: OwnerResponse) -> JobResponse:
    """Returns the response of an owner that should have the job itself."""
    if isinstance(response, PlacedElsewhere):
        return Undecided("placement_changed")
    return response


def _decode_state(encoded_progress: bytes) -> JobResponse | None:
    decoded = decode_progress(encoded_progress)
    return None if isinstance(decoded, Err) else Found(decoded.ok_value.state)
