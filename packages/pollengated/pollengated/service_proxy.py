"""Sends requests of a service to its backend servers."""

import asyncio
import dataclasses
import uuid
from collections.abc import Mapping

import httpx
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.virtual_machines import VirtualMachine
from result import Err, Ok, Result

from pollengated.configuration_follower import ConfigurationFollower
from pollengated.vm_directory import VmDirectory

__all__ = ["Answer", "ServiceProxy", "ServiceRequest"]

REQUEST_ID_HEADER = "Pollengate-Request-Id"
_DROPPED_HEADERS = frozenset({"host", "content-length", "connection", "transfer-encoding"})


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request."""

    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_ms: int | None
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A backend server's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceProxy:
    """Chooses a backend server with a free slot and returns its whole answer."""

    def __init__(
        self, zone: str, follower: ConfigurationFollower, vms: VmDirectory, gates_per_zone: int = 2
    ) -> None:
        self._zone = zone
        self._follower = follower
        self._vms = vms
        self._gates_per_zone = gates_per_zone
        self._client = httpx.AsyncClient()
        self._in_use_by_id: dict[str, int] = {}

    async def send(self, request: ServiceRequest) -> Result[Answer, Refusal]:
        """Sends one request."""
        service = self._follower.current.services_by_name.get(request.service)
        if service is None:
            detail = f"service {request.service!r} does not exist"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail))
        share = max(1, service.slots // self._gates_per_zone)
        backend = self._choose(request.service, share)
        if backend is None:
            detail = f"service {request.service!r} has no free backend server"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND, detail, 1.0))
        timeout_ms = request.timeout_ms or service.default_timeout_ms
        self._in_use_by_id[backend.vm_id] = self._in_use_by_id.get(backend.vm_id, 0) + 1
        try:
            return await self._exchange(backend, request, timeout_ms / 1000)
        finally:
            self._in_use_by_id[backend.vm_id] -= 1

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    def _choose(self, service: str, share: int) -> VirtualMachine | None:
        free = [
            vm
            for vm in self._vms.backends(service)
            if vm.zone == self._zone and self._in_use_by_id.get(vm.vm_id, 0) < share
        ]
        return min(free, key=lambda vm: self._in_use_by_id.get(vm.vm_id, 0), default=None)

    async def _exchange(
        self, backend: VirtualMachine, request: ServiceRequest, timeout_s: float
    ) -> Result[Answer, Refusal]:
        headers = {k: v for k, v in request.headers.items() if k.lower() not in _DROPPED_HEADERS}
        request_id = uuid.uuid4().hex
        headers[REQUEST_ID_HEADER] = request_id
        url = f"http://{backend.address}/services/{request.service}{request.path}"
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.request(
                    request.method, url, headers=headers, content=request.body, timeout=timeout_s
                )
        except httpx.ConnectError as error:
            return Err(Refusal(Outcome.NOT_RUN, Reason.NO_BACKEND, str(error), 1.0))
        except (TimeoutError, httpx.TimeoutException):
            detail = f"no answer within {timeout_s} s"
            return Err(Refusal(Outcome.UNKNOWN, Reason.UPSTREAM_TIMEOUT, detail))
        except httpx.HTTPError as error:
            return Err(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, str(error)))
        if response.headers.get(REQUEST_ID_HEADER) != request_id:
            detail = "the answer is to another request"
            return Err(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))
        answer_headers = {
            k: v for k, v in response.headers.items() if k.lower() not in _DROPPED_HEADERS
        }
        return Ok(Answer(response.status_code, answer_headers, response.content))
