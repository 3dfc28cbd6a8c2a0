"""Reaches the owners of other shards, in this process or over gRPC."""

from collections.abc import Mapping

from pollengate.accounts.job_access import Requester
from pollengate.workflow.job_service import OwnerResponse, Undecided
from pollengate.workflow.shard_room import RoomSummary
from pollengate_net.calls import CallFailure
from result import Err, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory
from pollengated.edge.other_shards import OtherShards, PlacementOutcome, PlacementRequest, Refused
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.edge.rpc import HEARTBEAT_INTERVAL_S, EdgeClient, NotOwner

__all__ = ["RemoteShards"]

# Room that is older than two heartbeats says little, as most tasks run for about a second.
ROOM_VALID_S = 2 * HEARTBEAT_INTERVAL_S + 0.2


class RemoteShards(OtherShards):
    """Knows the room in all shards from heartbeats and asks their owners to take jobs.

    Args:
        owned_shards: shards that this process owns.
        directory: owners of the other shards.
        probe: knows which owners are reachable.
        client: calls other processes, and passes on the room that their heartbeats name.
        clocks: the process's clocks.
    """

    def __init__(
        self,
        owned_shards: OwnedShards,
        directory: NodeDirectory,
        probe: OwnerProbe,
        client: EdgeClient,
        clocks: Clocks,
    ) -> None:
        self._owned_shards = owned_shards
        self._directory = directory
        self._probe = probe
        self._client = client
        self._clocks = clocks
        self._received_by_shard: dict[int, tuple[float, dict[str, RoomSummary]]] = {}
        client.on_room = self._receive

    def summaries_by_shard(self, service: str) -> Mapping[int, RoomSummary]:
        """Returns the room for a service in all shards that lately offered room, own ones too."""
        now = self._clocks.monotonic_s()
        rooms = {
            shard: summaries
            for shard, (received_at, summaries) in self._received_by_shard.items()
            if now - received_at <= ROOM_VALID_S and self._probe.is_reachable(shard)
        }
        rooms |= self._owned_shards.rooms_by_shard()
        return {
            shard: summaries[service] for shard, summaries in rooms.items() if service in summaries
        }

    async def place(self, shard: int, request: PlacementRequest) -> PlacementOutcome:
        """Asks the owner of a shard to take a job."""
        term = self._owned_shards.serving_term(shard)
        if term is not None:
            return await term.request_handler.acceptor.accept(request)
        owner = self._directory.owner(shard)
        if owner is None:
            return Refused("no_owner")
        return await self._client.place(owner.record.address, shard, request)

    async def show(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Returns the state of a job that a shard has, or of a task that was delegated to it."""
        term = self._owned_shards.serving_term(shard)
        if term is not None:
            return await term.request_handler.show(job_id, requester)
        owner = self._directory.owner(shard)
        if owner is None:
            return Undecided("no_owner")
        return _response(await self._client.show(owner.record.address, shard, job_id, requester))

    async def cancel(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Ends a job that a shard has, or a task that was delegated to it."""
        term = self._owned_shards.serving_term(shard)
        if term is not None:
            return await term.request_handler.cancel(job_id, requester)
        owner = self._directory.owner(shard)
        if owner is None:
            return Undecided("no_owner")
        return _response(await self._client.cancel(owner.record.address, shard, job_id, requester))

    async def notify_returned(self, shard: int, task: str) -> None:
        """Tells the owner of a shard that a task was returned to it; it may not learn of it."""
        term = self._owned_shards.serving_term(shard)
        owner = self._directory.owner(shard)
        if term is not None:
            term.request_handler.delegator.read_again(task)
        elif owner is not None:
            await self._client.notify_returned(owner.record.address, shard, task)

    def _receive(self, shard: int, summaries: dict[str, RoomSummary]) -> None:
        self._received_by_shard[shard] = self._clocks.monotonic_s(), summaries


def _response(result: Result[OwnerResponse | NotOwner, CallFailure]) -> OwnerResponse:
    if isinstance(result, Err):
        return Undecided(result.err_value.detail)
    response = result.ok_value
    return Undecided("not_owner") if isinstance(response, NotOwner) else response
