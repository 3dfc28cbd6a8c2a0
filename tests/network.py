"""A simulated network on virtual time, with faults of links, the store and processes."""

import asyncio
import random
from collections import Counter
from typing import Any

from pollengate.forwarding_store import CallKind, ForwardingStore
from pollengate.membership import MemberList
from pollengate.memory_store import MemoryStore
from pollengate.peer import (
    FenceReply,
    FreshnessReply,
    FreshnessRequest,
    LeaseReply,
    PeerClient,
    PeerFailure,
    ShardRequest,
    StoredConfiguration,
)
from pollengate.store import FailureKind, StoreFailure
from pollengated.peer_request_handler import PeerRequestHandler
from result import Err, Ok, Result

__all__ = ["STORE", "Network", "NetworkPeers", "NetworkStore"]

STORE = "store"
_LEASE = "lease"
_LEASE_CALLS = frozenset({CallKind.GRANT, CallKind.RENEW, CallKind.REVOKE})
CALL_TIMEOUT_S = 0.5
STORE_TIMEOUT_S = 1.0


class Network:
    """Delivers messages between processes and the store, and injects faults.

    Attributes:
        cuts: (sender, receiver) pairs whose messages are lost, in this direction only.
        frozen: by process, the event that wakes it; until then it neither sends nor receives.
        lost_replies: senders whose next store write takes effect but gets no reply.
        late_writes_s: by sender, the delay after which its next store write takes effect; the
            sender gets no reply.
        store_delay_s: time that the store takes for each call.
        calls: number of calls by kind.
        handlers_by_address: the peer handlers of the processes that are up.
    """

    def __init__(self, seed: int = 1, latency_s: float = 0.001) -> None:
        self.store = MemoryStore()
        self.cuts: set[tuple[str, str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}
        self.lost_replies: set[str] = set()
        self.late_writes_s: dict[str, float] = {}
        self.store_delay_s = 0.0
        self.is_store_down = False
        self.calls: Counter[str] = Counter()
        self.handlers_by_address: dict[str, PeerRequestHandler] = {}
        self._latency_s = latency_s
        self._random = random.Random(seed)
        self._late_writes: set[asyncio.Task[Any]] = set()

    def cut(self, one: str, other: str) -> None:
        """Cuts both directions between two processes."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Restores every link and the store; frozen processes stay frozen."""
        self.cuts.clear()
        self.is_store_down = False
        self.store_delay_s = 0.0

    def freeze(self, name: str) -> None:
        """Freezes a process, as a long pause of its VM does."""
        self.frozen[name] = asyncio.Event()

    def wake(self, name: str) -> None:
        """Wakes a frozen process."""
        self.frozen.pop(name).set()

    async def wait_until_awake(self, name: str) -> None:
        """Waits until a process is not frozen."""
        event = self.frozen.get(name)
        if event is not None:
            await event.wait()

    async def deliver(self, sender: str, receiver: str) -> bool:
        """Delivers one message after the latency; returns whether it arrives."""
        await self.wait_until_awake(sender)
        await asyncio.sleep(self._latency_s * (1 + self._random.random()))
        if (sender, receiver) in self.cuts:
            return False
        return receiver not in self.frozen

    async def write_later(self, delay_s: float, write: Any) -> None:
        """Applies a store write after a delay, without a reply to its sender."""

        async def apply() -> None:
            await asyncio.sleep(delay_s)
            await write()

        task = asyncio.create_task(apply())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)


class NetworkStore(ForwardingStore):
    """The store, as one process reaches it over the network."""

    def __init__(self, network: Network, name: str) -> None:
        super().__init__(network.store)
        self._network = network
        self._name = name

    async def forward(self, kind: CallKind, send: Any) -> Any:
        """Sends a call over the network and returns the reply, or a failure after the time-out."""
        network, name = self._network, self._name
        sent_at = asyncio.get_running_loop().time()
        network.calls[f"store {_LEASE if kind in _LEASE_CALLS else kind.value}"] += 1
        arrives = await network.deliver(name, STORE)
        if not arrives or network.is_store_down:
            return await self._give_up(sent_at, FailureKind.NOT_SENT)
        if kind is CallKind.WRITE and name in network.late_writes_s:
            await network.write_later(network.late_writes_s.pop(name), send)
            return await self._give_up(sent_at, FailureKind.UNKNOWN)
        await asyncio.sleep(network.store_delay_s)
        result = await send()
        is_lost = kind is CallKind.WRITE and name in network.lost_replies
        network.lost_replies.discard(name) if is_lost else None
        answered = await network.deliver(STORE, name)
        elapsed_s = asyncio.get_running_loop().time() - sent_at
        if is_lost or not answered or elapsed_s > STORE_TIMEOUT_S:
            return await self._give_up(sent_at, FailureKind.UNKNOWN)
        return result

    async def _give_up(self, sent_at: float, kind: FailureKind) -> Result[Any, StoreFailure]:
        remaining_s = sent_at + STORE_TIMEOUT_S - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, remaining_s))
        await self._network.wait_until_awake(self._name)
        return Err(StoreFailure(kind, "lost"))


class NetworkPeers(PeerClient):
    """The other processes, as one process reaches them; addresses are process ids."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    async def get_configuration(self, address: str) -> Result[StoredConfiguration, PeerFailure]:
        """Returns a process's configuration."""
        return await self._call(address, lambda handler: handler.configuration())

    async def request_freshness(
        self, address: str, request: FreshnessRequest
    ) -> Result[FreshnessReply, PeerFailure]:
        """Returns how current a process's configuration is, and whether it grants freshness."""
        return await self._call(address, lambda handler: handler.freshness(request))

    async def get_members(self, address: str) -> Result[MemberList, PeerFailure]:
        """Returns a process's member list."""
        return await self._call(address, lambda handler: handler.members())

    async def admit(
        self, address: str, gate_id: str, created_revision: int
    ) -> Result[str, PeerFailure]:
        """Requests the admission of a gate; returns the id of the process that replied."""

        def admit(handler: PeerRequestHandler) -> str:
            handler.admit(created_revision)
            return handler.process_id

        return await self._call(address, admit)

    async def request_peer_lease(
        self, address: str, request: ShardRequest
    ) -> Result[str | None, PeerFailure]:
        """Requests a peer lease; returns the grantor's id, None if it refused."""
        return await self._call(
            address, lambda handler: handler.process_id if handler.grant(request) else None
        )

    async def fence(self, address: str, request: ShardRequest) -> Result[FenceReply, PeerFailure]:
        """Asks a process to refuse peer leases to earlier owners."""
        return await self._call(address, lambda handler: handler.fence(request))

    async def renew_lease(self, address: str, lease_id: int) -> Result[LeaseReply, PeerFailure]:
        """Renews a store lease through another process."""
        network = self._network
        network.calls["peer"] += 1
        handler = network.handlers_by_address.get(address)
        if handler is None or not await network.deliver(self._name, address):
            return Err(PeerFailure("lost"))
        try:
            reply = await asyncio.wait_for(handler.renew_lease(lease_id), CALL_TIMEOUT_S)
        except TimeoutError:
            return Err(PeerFailure("lost"))
        if not await network.deliver(address, self._name):
            return Err(PeerFailure("lost"))
        return Ok(reply)

    async def _call(self, address: str, handle: Any) -> Result[Any, PeerFailure]:
        network = self._network
        network.calls["peer"] += 1
        sent_at = asyncio.get_running_loop().time()
        handler = network.handlers_by_address.get(address)
        if handler is not None and await network.deliver(self._name, address):
            value = handle(handler)
            if await network.deliver(address, self._name):
                await network.wait_until_awake(self._name)
                return Ok(value)
        remaining_s = sent_at + CALL_TIMEOUT_S - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, remaining_s))
        await network.wait_until_awake(self._name)
        return Err(PeerFailure("lost"))
