"""The baseline: a fixed share of each backend server's slots for each gate, round robin."""

import asyncio
import itertools

from pollengate.backend_client import BackendClient, BackendRequest, BackendResponse
from pollengate.refusals import Outcome, Reason, Refusal
from pollengated.service_proxy import ServiceRequest
from pollengated.vm_directory import VmDirectory
from result import Err, Ok, Result

__all__ = ["FixedSplitProxy"]

MS_PER_S = 1000


class FixedSplitProxy:
    """Sends each request to the next backend server with a free slot of its share."""

    def __init__(
        self, zone: str, vms: VmDirectory, client: BackendClient, slots: int, gates: int
    ) -> None:
        self._zone = zone
        self._vms = vms
        self._client = client
        self._share = max(1, slots // gates)
        self._in_use_by_id: dict[str, int] = {}
        self._turn = itertools.count()

    async def send(self, request: ServiceRequest) -> Result[BackendResponse, Refusal]:
        """Sends one request, or refuses it if every share is in use."""
        backends = [vm for vm in self._vms.backends(request.service) if vm.zone == self._zone]
        start = next(self._turn)
        for offset in range(len(backends)):
            vm = backends[(start + offset) % len(backends)]
            if self._in_use_by_id.get(vm.vm_id, 0) < self._share:
                return await self._exchange(vm.vm_id, vm.address, request)
        return Err(Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND, "every share is in use", 1.0))

    async def _exchange(
        self, vm_id: str, address: str, request: ServiceRequest
    ) -> Result[BackendResponse, Refusal]:
        timeout_s = (request.timeout_ms or 0) / MS_PER_S
        deadline = asyncio.get_running_loop().time() + timeout_s
        sent = BackendRequest(
            request.method, request.target, (), b"", f"{request.request_id}.1", deadline
        )
        self._in_use_by_id[vm_id] = self._in_use_by_id.get(vm_id, 0) + 1
        try:
            async with asyncio.timeout_at(deadline):
                result = await self._client.exchange(address, sent)
        except TimeoutError:
            return Err(Refusal(Outcome.UNKNOWN, Reason.UPSTREAM_TIMEOUT, "no answer in time"))
        finally:
            self._in_use_by_id[vm_id] -= 1
        if isinstance(result, Ok):
            return result
        return Err(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, result.err_value.detail))
