"""The baseline of the request benchmarks: fixed shares of slots, used round robin."""

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
    """Gives each gate an equal, fixed share of the slots of every backend server.

    Requests go to the backend servers of the zone in turn; one whose share is in use is skipped.
    """

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
        """Sends a request, or refuses it if the share of every backend server is in use."""
        backends = [vm for vm in self._vms.backends(request.service) if vm.zone == self._zone]
        start = next(self._turn)
        for offset in range(len(backends)):
            vm = backends[(start + offset) % len(backends)]
            if self._in_use_by_id.get(vm.vm_id, 0) < self._share:
                return await self._exchange(vm.vm_id, vm.address, request)
        return Err(
            Refusal(
                Outcome.NOT_RUN,
                Reason.NO_BACKEND,
                "every slot of this gate's shares is in use",
                1.0,
            )
        )

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
            return Err(
                Refusal(
                    Outcome.UNKNOWN,
                    Reason.UPSTREAM_TIMEOUT,
                    "backend server did not answer in time",
                )
            )
        finally:
            self._in_use_by_id[vm_id] -= 1
        if isinstance(result, Ok):
            return result
        return Err(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, result.err_value.detail))
