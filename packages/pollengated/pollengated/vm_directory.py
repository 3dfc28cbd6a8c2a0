"""The platform's VMs, polled from its VM list."""

import asyncio

from pollengate.virtual_machines import VirtualMachine, VmKind, VmList, VmState
from result import Err

from pollengated.logs import Log

__all__ = ["VmDirectory"]

POLL_INTERVAL_S = 0.5


class VmDirectory:
    """Caches the VM list; keeps the last listing while the list does not reply."""

    def __init__(self, vm_list: VmList) -> None:
        self._vm_list = vm_list
        self._machines: tuple[VirtualMachine, ...] = ()
        self._backends_by_service: dict[str, list[VirtualMachine]] = {}
        self._log = Log("vms")

    async def run(self) -> None:
        """Polls the VM list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Reads the VM list once."""
        result = await self._vm_list.read()
        if isinstance(result, Err):
            self._log.warning(
                "VM list did not reply; using the last listing", detail=result.err_value.detail
            )
            return
        self._machines = result.ok_value
        self._index_backends()

    def workers(self, zone: str) -> list[VirtualMachine]:
        """Returns the workers of a zone, including those that are leaving."""
        return [vm for vm in self._machines if vm.kind is VmKind.WORKER and vm.zone == zone]

    def entry_addresses(self) -> list[str]:
        """Returns the peer addresses of all gates and schedulers."""
        return [vm.address for vm in self._machines if vm.kind is VmKind.ENTRY]

    def backends(self, service: str) -> list[VirtualMachine]:
        """Returns the live backend servers of a service in every zone."""
        return self._backends_by_service.get(service, [])

    def backends_in(self, zone: str) -> list[VirtualMachine]:
        """Returns the live backend servers of every service in a zone."""
        backends = [vm for listed in self._backends_by_service.values() for vm in listed]
        return [vm for vm in backends if vm.zone == zone]

    def _index_backends(self) -> None:
        self._backends_by_service = {}
        for vm in self._machines:
            if vm.kind is VmKind.BACKEND and vm.state is VmState.LIVE:
                self._backends_by_service.setdefault(vm.service, []).append(vm)
