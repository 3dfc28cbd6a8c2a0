"""The platform's lagging list of live and leaving VMs."""

import abc
import dataclasses
import enum

from result import Result

__all__ = ["VirtualMachine", "VmKind", "VmList", "VmListFailure", "VmState"]


class VmKind(enum.StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    WORKER = "worker"
    BACKEND = "backend"


class VmState(enum.StrEnum):
    """Whether a VM stays or goes."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class VirtualMachine:
    """One VM as the platform lists it.

    Attributes:
        vm_id: unique, never used again.
        zone: its availability zone.
        rack: its rack, unique across zones.
        kind: what it is for.
        state: whether it stays or goes.
        address: `ip:port` of what it serves.
        service: the service of a backend server, empty otherwise.
        cores: processors that tasks may use.
        memory_mb: memory that tasks may use.
        accelerators: accelerators that tasks may use.
    """

    vm_id: str
    zone: str
    rack: str
    kind: VmKind
    state: VmState
    address: str
    service: str = ""
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VmListFailure:
    """The list could not be read."""

    detail: str


class VmList(abc.ABC):
    """Client of the platform's VM list."""

    @abc.abstractmethod
    async def read(self) -> Result[tuple[VirtualMachine, ...], VmListFailure]:
        """Reads the whole list; it lags behind the machines themselves."""

    async def close(self) -> None:
        """Releases connections."""
        return
