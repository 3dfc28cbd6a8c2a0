"""Interface to the platform's list of VMs, which lags behind their actual state."""

import abc
import dataclasses
import enum

from result import Result

__all__ = ["VirtualMachine", "VmKind", "VmList", "VmListFailure", "VmState"]


class VmKind(enum.StrEnum):
    """Purpose of a VM."""

    ENTRY = "entry"
    WORKER = "worker"
    BACKEND = "backend"


class VmState(enum.StrEnum):
    """Whether a VM is in use or about to be removed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class VirtualMachine:
    """One entry of the platform's VM list.

    Attributes:
        vm_id: unique id, never reused.
        zone: its availability zone.
        rack: its rack; rack names are unique across zones.
        kind: purpose of the VM.
        state: whether it is in use or about to be removed.
        address: `ip:port` at which it is called.
        service: name of the service that a backend server runs, empty for other kinds.
        cores: processors available to tasks.
        memory_mb: memory available to tasks.
        accelerators: accelerators available to tasks.
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
        """Reads the whole list, which may lag behind the actual state of the VMs."""

    async def close(self) -> None:
        """Closes the connections."""
        return
