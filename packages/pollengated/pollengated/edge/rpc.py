"""gRPC client and service for calls between edge processes."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from pollengate.accounts.job_access import Requester
from pollengate.decoding import DocumentDecoder
from pollengate.workflow.job_service import (
    RETRY_AFTER_S,
    Accepted,
    Cancelled,
    Found,
    NoSuchJob,
    NoSuchQueue,
    NotAccepted,
    OwnerResponse,
    PlacedElsewhere,
    Undecided,
    WaitingCount,
)
from pollengate.workflow.model import Workflow
from pollengate.workflow.progress import JobState
from pollengate.workflow.shard_room import RoomSummary
from pollengate.workflow.validation import find_fault
from pollengate_net.calls import CallFailure, call_unary, open_channel, receive_stream
from pollengate_net.grpc_requests import receive_request
from pollengate_net.messages import edge_pb2 as pb
from pollengate_net.messages.edge_grpc import EdgeBase, EdgeStub
from result import Err, Ok, Result

from pollengated.edge.job_request_handler import JobRequestHandler
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.other_shards import (
    DelegatedTask,
    Placed,
    PlacementOutcome,
    PlacementRequest,
    PlacementUnknown,
    Refused,
)
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.peer_view import ANY_CHANGE, PeerView, decode_view, encode_view
from pollengated.logs import Log

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "VIEW_TIMEOUT_S",
    "EdgeClient",
    "EdgeService",
    "NotOwner",
]

# An owner replies when a record is durable, which takes up to 0.3 s if the store is slow.
CALL_TIMEOUT_S = 0.9
VIEW_TIMEOUT_S = 0.5
# A copy of 300 KB takes 1.2 s over a link of 2 Mbit/s.
VIEW_TRANSFER_TIMEOUT_S = 3.0
# The home shard's owner settles a placement without a reply after this time, so that its own client
# gets a response before `CALL_TIMEOUT_S`.
PLACE_TIMEOUT_S = 0.5
HEARTBEAT_INTERVAL_S = 0.4
# A reply with the operators' keys may be as large as the configuration.
MAX_VIEW_REPLIES = 8
_NOT_OWNER = "not_owner"
_MALFORMED = "malformed_request"
_WORKFLOW_DECODER = DocumentDecoder(Workflow)
_JOB_STATES = frozenset(state.value for state in JobState)


class NotOwner:
    """The called process does not own the shard; the request had no effect."""


class EdgeClient:
    """Calls other edge processes.

    Keeps one channel for each address and replaces it after a failed call.

    Attributes:
        on_room: called with a shard and its room by service, as received with a heartbeat; None for
            no call.
    """

    def __init__(self) -> None:
        self.on_room: Callable[[int, dict[str, RoomSummary]], None] | None = None
        self._channels_by_address: dict[str, Channel] = {}

    async def submit(
        self,
        address: str,
        shard: int,
        queue: str,
        job_id: str,
        workflow: Workflow,
        account: str,
        configuration_version: int = 0,
    ) -> Result[OwnerResponse | NotOwner, CallFailure]:
        """Submits a job of a client account to a shard's owner."""
        request = pb.SubmitRequest(
            shard=shard,
            queue=queue,
            job_id=job_id,
            workflow=msgspec.json.encode(workflow),
            account=account,
            configuration_version=configuration_version,
        )
        return await self._call_owner(address, "Submit", request)

    async def show(
        self, address: str, shard: int, job_id: str, requester: Requester
    ) -> Result[OwnerResponse | NotOwner, CallFailure]:
        """Requests the state of a job from a shard's owner."""
        request = _job_request(shard, job_id, requester)
        return await self._call_owner(address, "Show", request)

    async def cancel(
        self, address: str, shard: int, job_id: str, requester: Requester
    ) -> Result[OwnerResponse | NotOwner, CallFailure]:
        """Cancels a job at a shard's owner."""
        request = _job_request(shard, job_id, requester)
        return await self._call_owner(address, "Cancel", request)

    async def count_waiting(
        self, address: str, shard: int, queue: str
    ) -> Result[OwnerResponse | NotOwner, CallFailure]:
        """Requests the number of waiting jobs of a queue from a shard's owner."""
        return await self._call_owner(
            address, "CountWaiting", pb.QueueRequest(shard=shard, queue=queue)
        )

    async def place(self, address: str, shard: int, request: PlacementRequest) -> PlacementOutcome:
        """Asks a shard's owner to take a job whose home shard has no room for it."""
        message = pb.PlaceRequest(
            shard=shard,
            queue=request.queue_name,
            job_id=request.job_id,
            workflow=msgspec.json.encode(request.workflow),
            home_shard=request.home_shard,
            home_token=request.home_token,
            min_tasks=request.min_tasks,
            account=request.account,
            task=_encode_task(request.task),
        )
        result = await self._call(address, "Place", message, PLACE_TIMEOUT_S)
        if isinstance(result, Err):
            # A placement record settles it, also if the call seems not to have been sent: a wrong
            # guess would let two shards run the job.
            return PlacementUnknown(result.err_value.detail)
        return _decode_outcome(result.ok_value)

    async def notify_returned(self, address: str, shard: int, task: str) -> None:
        """Tells a shard's owner that a task was returned; a lost call is made up for later."""
        request = pb.JobRequest(shard=shard, job_id=task)
        await self._call(address, "NotifyReturned", request, CALL_TIMEOUT_S)

    async def follow_heartbeats(
        self, address: str, on_heartbeat: Callable[[Sequence[int]], None]
    ) -> CallFailure:
        """Calls a function periodically with the shards that a process serves.

        Returns:
            Why the heartbeats ended.
        """
        channel = self._channel(address)
        try:
            return await receive_stream(
                EdgeStub(channel).Heartbeats,
                pb.HeartbeatRequest(),
                lambda heartbeat: self._receive_heartbeat(heartbeat, on_heartbeat),
            )
        finally:
            self._replace_channel(address, channel)

    async def fetch_view(
        self, address: str, known_change: int = 0
    ) -> Result[PeerView, CallFailure]:
        """Returns another process's copy of the operators' keys.

        Args:
            address: address of the process.
            known_change: its keys are returned only if its newest change is later than this.
        """
        request = pb.ViewRequest(known_change=known_change)
        timeout_s = VIEW_TIMEOUT_S if known_change == ANY_CHANGE else VIEW_TRANSFER_TIMEOUT_S
        result = await self._call(address, "GetView", request, timeout_s)
        if isinstance(result, Err):
            return result
        return Ok(decode_view(result.ok_value))

    def _receive_heartbeat(
        self, heartbeat: Any, on_heartbeat: Callable[[Sequence[int]], None]
    ) -> None:
        on_heartbeat(heartbeat.shards)
        if self.on_room is not None:
            for room in heartbeat.rooms:
                summaries = {
                    service.service: RoomSummary(tuple(service.worker_counts))
                    for service in room.services
                }
                self.on_room(room.shard, summaries)

    def close(self) -> None:
        """Closes every channel."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    async def _call_owner(
        self, address: str, method: str, request: object
    ) -> Result[OwnerResponse | NotOwner, CallFailure]:
        result = await self._call(address, method, request, CALL_TIMEOUT_S)
        return result.map(_decode_reply)

    async def _call(
        self, address: str, method: str, request: object, timeout_s: float
    ) -> Result[Any, CallFailure]:
        channel = self._channel(address)
        result = await call_unary(getattr(EdgeStub(channel), method), request, timeout_s)
        if isinstance(result, Err):
            self._replace_channel(address, channel)
        return result

    def _channel(self, address: str) -> Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = self._channels_by_address[address] = open_channel(address)
        return channel

    def _replace_channel(self, address: str, channel: Channel) -> None:
        """Makes the next call open a new connection, as this one may be dead.

        Other calls on this one may still succeed, so it is closed after their timeout.
        """
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
            asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, channel.close)


class EdgeService(EdgeBase):
    """Serves the calls of other edge processes."""

    def __init__(self, owned_shards: OwnedShards, operator_view: OperatorView) -> None:
        self._owned_shards = owned_shards
        self._operator_view = operator_view
        self._view_replies = asyncio.Semaphore(MAX_VIEW_REPLIES)
        self._encoded_rooms_by_shard: dict[int, tuple[dict[str, RoomSummary], pb.ShardRoom]] = {}

    async def Submit(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Submits a job to a shard that this process owns."""
        await self._handle(stream, _submit)

    async def Show(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns the state of a job."""
        await self._handle(
            stream,
            lambda request_handler, request: request_handler.show(
                request.job_id, Requester(request.queue, request.account)
            ),
        )

    async def Cancel(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Cancels a job."""
        await self._handle(
            stream,
            lambda request_handler, request: request_handler.cancel(
                request.job_id, Requester(request.queue, request.account)
            ),
        )

    async def Place(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Takes a job whose home shard has no room for it, if this process serves the shard."""
        request = await receive_request(stream)
        term = self._owned_shards.serving_term(request.shard)
        if term is None:
            await stream.send_message(pb.PlaceReply(kind="refused", reason=_NOT_OWNER))
            return
        workflow = _decode_workflow(request)
        if isinstance(workflow, Err):
            await stream.send_message(pb.PlaceReply(kind="refused", reason=_MALFORMED))
            return
        placement = PlacementRequest(
            request.job_id,
            request.queue,
            workflow.ok_value,
            request.account,
            request.home_shard,
            request.home_token,
            request.min_tasks,
            _decode_task(request),
        )
        outcome = await term.request_handler.acceptor.accept(placement)
        await stream.send_message(_encode_outcome(outcome))

    async def NotifyReturned(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Reads the placement of a task again, if this process serves its job's shard."""
        request = await receive_request(stream)
        term = self._owned_shards.serving_term(request.shard)
        if term is not None:
            term.request_handler.delegator.read_again(request.job_id)
        await stream.send_message(pb.JobReply(kind=_NOT_OWNER if term is None else "accepted"))

    async def CountWaiting(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Counts the waiting jobs of a queue."""
        await self._handle(
            stream, lambda request_handler, request: request_handler.count_waiting(request.queue)
        )

    async def Heartbeats(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Sends the shards that this process serves, until the caller closes the stream."""
        await receive_request(stream)
        while True:
            await _send_in_time(stream, self._build_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _build_heartbeat(self) -> pb.Heartbeat:
        rooms_by_shard = self._owned_shards.rooms_by_shard()
        rooms = [self._encode_room(shard, room) for shard, room in rooms_by_shard.items() if room]
        return pb.Heartbeat(shards=list(rooms_by_shard), rooms=rooms)

    def _encode_room(self, shard: int, room: dict[str, RoomSummary]) -> pb.ShardRoom:
        """Encodes the room of a shard, once for the streams to all processes."""
        known = self._encoded_rooms_by_shard.get(shard)
        if known is None or known[0] is not room:
            services = [
                pb.ServiceRoom(service=name, worker_counts=summary.worker_counts)
                for name, summary in room.items()
            ]
            known = room, pb.ShardRoom(shard=shard, services=services)
            self._encoded_rooms_by_shard[shard] = known
        return known[1]

    async def GetView(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns this process's copy of the operators' keys."""
        request = await receive_request(stream)
        cache = self._operator_view.cache
        if request.known_change >= cache.newest_change:
            await _send_in_time(stream, encode_view(cache, with_entries=False))
            return
        async with self._view_replies:
            await _send_in_time(stream, encode_view(cache, with_entries=True))

    async def _handle(
        self,
        stream: Stream[Any, Any],
        handle: Callable[[JobRequestHandler, Any], Awaitable[OwnerResponse]],
    ) -> None:
        """Handles a request if this process serves its shard; otherwise replies that it doesn't."""
        request = await receive_request(stream)
        term = self._owned_shards.serving_term(request.shard)
        if term is None:
            await stream.send_message(pb.JobReply(kind=_NOT_OWNER))
        else:
            await stream.send_message(_encode_reply(await handle(term.request_handler, request)))


async def _send_in_time(stream: Stream[Any, Any], message: Any) -> None:
    """Sends a message that may wait for the caller to read earlier ones.

    Raises:
        GRPCError: the caller has not read for `CALL_TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await stream.send_message(message)
    except TimeoutError:
        raise GRPCError(Status.DEADLINE_EXCEEDED, "the caller does not read") from None


async def _submit(request_handler: JobRequestHandler, request: Any) -> OwnerResponse:
    workflow = _decode_workflow(request)
    if isinstance(workflow, Err):
        return NotAccepted(_MALFORMED, RETRY_AFTER_S)
    return await request_handler.submit(
        request.queue,
        request.job_id,
        workflow.ok_value,
        request.account,
        request.configuration_version,
    )


def _decode_workflow(request: Any) -> Result[Workflow, str]:
    """Decodes and checks the workflow of a request; logs why it is malformed."""
    decoded = _WORKFLOW_DECODER.decode(request.workflow)
    fault = decoded.err_value if isinstance(decoded, Err) else find_fault(decoded.ok_value)
    if fault is None:
        return decoded
    Log("peers").warning("request of another process is malformed", job=request.job_id, cause=fault)
    return Err(fault)


def _encode_task(task: DelegatedTask | None) -> pb.DelegatedTask | None:
    if task is None:
        return None
    return pb.DelegatedTask(
        last_run=task.last_run,
        checkpoint=task.checkpoint,
        placement_revision=task.placement_revision,
    )


def _decode_task(request: Any) -> DelegatedTask | None:
    if not request.HasField("task"):
        return None
    task = request.task
    return DelegatedTask(task.last_run, task.checkpoint, task.placement_revision)


def _job_request(shard: int, job_id: str, requester: Requester) -> Any:
    return pb.JobRequest(
        shard=shard, queue=requester.queue_name, job_id=job_id, account=requester.account
    )


def _encode_reply(response: OwnerResponse) -> pb.JobReply:
    match response:
        case NotAccepted(reason, retry_after_s, is_overload):
            return pb.JobReply(
                kind="not_accepted",
                reason=reason,
                retry_after_s=retry_after_s,
                is_overload=is_overload,
            )
        case Undecided(reason):
            return pb.JobReply(kind="undecided", reason=reason)
        case Found(state):
            return pb.JobReply(kind="found", state=state.value)
        case WaitingCount(count):
            return pb.JobReply(kind="waiting", count=count)
        case Accepted():
            return pb.JobReply(kind="accepted")
        case Cancelled():
            return pb.JobReply(kind="cancelled")
        case NoSuchJob():
            return pb.JobReply(kind="no_such_job")
        case NoSuchQueue():
            return pb.JobReply(kind="no_such_queue")
        case PlacedElsewhere(shard):
            return pb.JobReply(kind="placed_elsewhere", shard=shard)


def _encode_outcome(outcome: PlacementOutcome) -> pb.PlaceReply:
    match outcome:
        case Placed():
            return pb.PlaceReply(kind="placed")
        case Refused(reason):
            return pb.PlaceReply(kind="refused", reason=reason)
        case PlacementUnknown(cause):
            return pb.PlaceReply(kind="unknown", reason=cause)


def _decode_outcome(reply: Any) -> PlacementOutcome:
    match reply.kind:
        case "placed":
            return Placed()
        case "refused":
            return Refused(reply.reason)
        case _:
            return PlacementUnknown(reply.reason)


def _decode_reply(reply: Any) -> OwnerResponse | NotOwner:
    match reply.kind:
        case "accepted":
            return Accepted()
        case "not_accepted":
            return NotAccepted(reply.reason, reply.retry_after_s, reply.is_overload)
        case "found" if reply.state in _JOB_STATES:
            return Found(JobState(reply.state))
        case "cancelled":
            return Cancelled()
        case "no_such_job":
            return NoSuchJob()
        case "no_such_queue":
            return NoSuchQueue()
        case "waiting":
            return WaitingCount(reply.count)
        case "placed_elsewhere":
            return PlacedElsewhere(reply.shard)
        case "not_owner":
            return NotOwner()
        case _:
            return Undecided(reply.reason or f"unknown reply kind {reply.kind!r}")
