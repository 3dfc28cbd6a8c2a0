"""Calls between gates and schedulers."""

import abc
import dataclasses

from result import Result

from pollengate.membership import MemberList

__all__ = [
    "FreshnessReply",
    "FreshnessRequest",
    "LeaseReply",
    "PeerClient",
    "PeerFailure",
    "ShardRequest",
    "StoredConfiguration",
    "FenceReply",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call that failed or got an invalid reply."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """One version of the configuration, as stored.

    Attributes:
        revision: store revision at which it was written, 0 if there is none.
        document: the stored JSON document, empty if there is none.
    """

    revision: int = 0
    document: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRequest:
    """Asks how current the receiver's configuration is, and for a grant to use it.

    Attributes:
        zone: the zone in which the requester starts tasks.
        basis: store revision of the member list that the requester relies on.
    """

    zone: str
    basis: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessReply:
    """How current the sender's configuration is.

    Attributes:
        process_id: the sender.
        revision: store revision of its configuration, 0 if it has none.
        age_s: seconds since that configuration was confirmed current, None if it was not.
        members_revision: store revision of its member list, 0 if it has none.
        is_granted: whether the sender grants the requester the use of that configuration; only
            gates give such grants.
    """

    process_id: str
    revision: int
    age_s: float | None
    members_revision: int
    is_granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRequest:
    """Asks for a peer lease on a shard, or to fence its earlier owners.

    Attributes:
        process_id: the sender.
        zone: the zone of the shard.
        shard: number of the shard within the zone.
        epoch: epoch of the owner that asks for a lease; in a request to fence, the lowest epoch
            that may still be granted a lease.
    """

    process_id: str
    zone: str
    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReply:
    """The reply of a process that has fenced earlier owners of a shard.

    Attributes:
        process_id: the process that replies; it refuses further grants to those owners.
        expires_in_s: seconds until the grants that it gave before have expired.
    """

    process_id: str
    expires_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReply:
    """The result of a lease renewal through a peer.

    Attributes:
        store_replied: whether the store replied to the peer.
        remaining_s: seconds until the lease expires, 0 if it has expired.
    """

    store_replied: bool
    remaining_s: float


class PeerClient(abc.ABC):
    """Calls other processes by address; failed calls are returned, not raised."""

    @abc.abstractmethod
    async def get_configuration(self, address: str) -> Result[StoredConfiguration, PeerFailure]:
        """Reads the configuration that a process uses."""

    @abc.abstractmethod
    async def request_freshness(
        self, address: str, request: FreshnessRequest
    ) -> Result[FreshnessReply, PeerFailure]:
        """Asks how current a process's configuration is, and for a grant to use it."""

    @abc.abstractmethod
    async def get_members(self, address: str) -> Result[MemberList, PeerFailure]:
        """Reads a process's member list."""

    @abc.abstractmethod
    async def admit(
        self, address: str, gate_id: str, created_revision: int
    ) -> Result[str, PeerFailure]:
        """Makes a gate refuse grants to schedulers that can't know a new gate.

        Args:
            address: `ip:port` of the gate that is called.
            gate_id: process id of the new gate.
            created_revision: store revision at which the new gate was registered.

        Returns:
            The id of the process that replied.
        """

    @abc.abstractmethod
    async def request_peer_lease(
        self, address: str, request: ShardRequest
    ) -> Result[str | None, PeerFailure]:
        """Asks a scheduler for a peer lease on a shard.

        Returns:
            The id of the process that granted the lease, None if it refused.
        """

    @abc.abstractmethod
    async def fence(self, address: str, request: ShardRequest) -> Result[FenceReply, PeerFailure]:
        """Makes a scheduler refuse peer leases to earlier owners of a shard."""

    @abc.abstractmethod
    async def renew_lease(self, address: str, lease_id: int) -> Result[LeaseReply, PeerFailure]:
        """Renews a store lease through a process that can reach the store."""

    async def close(self) -> None:
        """Closes the connections."""
        return
