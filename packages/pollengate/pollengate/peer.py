"""Calls between the system's own processes."""

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
    """A call without a usable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """One version of the configuration as the store holds it.

    Attributes:
        revision: store revision at which it was written, 0 for none.
        document: the stored JSON document, empty for none.
    """

    revision: int = 0
    document: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRequest:
    """Asks how current the receiver's configuration is.

    Attributes:
        zone: the zone that the asker starts tasks in.
        basis: store revision of the member list that the asker relies on.
    """

    zone: str
    basis: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessReply:
    """How current the sender's configuration is.

    Attributes:
        process_id: the sender.
        revision: store revision of its configuration, 0 for none.
        age_s: seconds since that was confirmed current, None if it is not.
        members_revision: store revision of its member list, 0 for none.
        promised: it has accepted no later version that concerns the asker.
    """

    process_id: str
    revision: int
    age_s: float | None
    members_revision: int
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRequest:
    """Asks for a promise about a shard, or to withhold such promises.

    Attributes:
        process_id: the sender.
        zone: the zone of the shard.
        shard: its number.
        epoch: the owner's epoch; to withhold, the lowest epoch that may still be promised.
    """

    process_id: str
    zone: str
    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReply:
    """Promises are withheld; those given lapse within `expires_in_s` seconds."""

    process_id: str
    expires_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReply:
    """A lease kept through a peer.

    Attributes:
        answered: whether the store answered the peer.
        remaining_s: seconds that the lease has left, 0 if it has lapsed.
    """

    answered: bool
    remaining_s: float


class PeerClient(abc.ABC):
    """Calls other processes by their addresses; no method raises for a lost call."""

    @abc.abstractmethod
    async def get_configuration(self, address: str) -> Result[StoredConfiguration, PeerFailure]:
        """Reads the configuration in force at a process."""

    @abc.abstractmethod
    async def request_freshness(
        self, address: str, request: FreshnessRequest
    ) -> Result[FreshnessReply, PeerFailure]:
        """Asks how current a process's configuration is."""

    @abc.abstractmethod
    async def get_members(self, address: str) -> Result[MemberList, PeerFailure]:
        """Reads a process's member list."""

    @abc.abstractmethod
    async def admit(
        self, address: str, gate_id: str, created_revision: int
    ) -> Result[str, PeerFailure]:
        """Makes a gate withhold promises from those who can't know a new gate.

        Returns:
            The id of the process that answered.
        """

    @abc.abstractmethod
    async def request_peer_lease(
        self, address: str, request: ShardRequest
    ) -> Result[str | None, PeerFailure]:
        """Asks a scheduler not to help a successor.

        Returns:
            The id of the process that promised, None if it did not.
        """

    @abc.abstractmethod
    async def fence(self, address: str, request: ShardRequest) -> Result[FenceReply, PeerFailure]:
        """Makes a scheduler withhold promises about a shard."""

    @abc.abstractmethod
    async def renew_lease(self, address: str, lease_id: int) -> Result[LeaseReply, PeerFailure]:
        """Renews a store lease through a process that reaches the store."""

    async def close(self) -> None:
        """Releases connections."""
        return
