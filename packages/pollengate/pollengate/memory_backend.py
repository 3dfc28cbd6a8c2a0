"""An in-memory backend server fleet on the loop's clock, for tests and benchmarks."""

import asyncio
import dataclasses
from collections.abc import Callable

from result import Err, Ok, Result

from pollengate.backend_client import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    ExchangeFailure,
)
from pollengate.request_outcomes import FailurePoint, Sent

__all__ = ["MemoryBackend", "MemoryBackendClient"]

Fault = Callable[[BackendRequest], ExchangeFailure | None]


@dataclasses.dataclass(slots=True)
class MemoryBackend:
    """One backend server.

    Attributes:
        slots: requests that it runs at a time; one more is refused.
        work_s: returns the seconds that a request takes.
        before: returns a failure in place of running a request.
        after: returns a failure in place of the answer of a request that ran.
        is_silent: whether requests run and never get an answer.
        is_draining: whether it refuses and says that it is leaving.
        executions_by_id: executions of each request.
        running: requests that run now.
        peak: most requests that ever ran at a time.
        refused: requests that found no free slot.
    """

    slots: int = 8
    work_s: Callable[[], float] = lambda: 0.02
    before: Fault = lambda _: None
    after: Fault = lambda _: None
    is_silent: bool = False
    is_draining: bool = False
    executions_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    running: int = 0
    peak: int = 0
    refused: int = 0


class MemoryBackendClient(BackendClient):
    """Reaches the backend servers of one test."""

    def __init__(self, backends_by_address: dict[str, MemoryBackend], delay_s: float = 0.0) -> None:
        self._backends_by_address = backends_by_address
        self._delay_s = delay_s

    async def exchange(
        self, address: str, request: BackendRequest
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Runs a request at its backend server; the work goes on if the caller is cancelled."""
        backend = self._backends_by_address.get(address)
        if backend is None:
            detail = f"no backend server at {address}"
            return Err(ExchangeFailure(FailurePoint.CONNECT_FAILED, Sent.NOTHING, detail))
        failure = backend.before(request)
        if failure is not None:
            return Err(failure)
        request.progress.sent = Sent.WHOLE
        await asyncio.sleep(self._delay_s)
        if backend.is_draining or backend.running >= backend.slots:
            return Err(_refuse(backend))
        work = asyncio.create_task(_work(backend, request.exchange_id.rpartition(".")[0]))
        return await self._answer(backend, request, work)

    async def _answer(
        self, backend: MemoryBackend, request: BackendRequest, work: asyncio.Task[None]
    ) -> Result[BackendResponse, ExchangeFailure]:
        if backend.is_silent:
            loop = asyncio.get_running_loop()
            idle_timeout_s = request.idle_timeout_s or max(0.0, request.deadline - loop.time())
            await asyncio.sleep(idle_timeout_s)
            return Err(ExchangeFailure(FailurePoint.SILENT, Sent.WHOLE, "no progress"))
        await asyncio.shield(work)
        await asyncio.sleep(self._delay_s)
        failure = backend.after(request)
        if failure is not None:
            return Err(failure)
        return Ok(BackendResponse(200, (), request.exchange_id.encode()))


async def _work(backend: MemoryBackend, request_id: str) -> None:
    count = backend.executions_by_id.get(request_id, 0)
    backend.executions_by_id[request_id] = count + 1
    backend.running += 1
    backend.peak = max(backend.peak, backend.running)
    await asyncio.sleep(backend.work_s())
    backend.running -= 1


def _refuse(backend: MemoryBackend) -> ExchangeFailure:
    backend.refused += 1
    detail = "the backend server refused the request before running it"
    point = FailurePoint.REFUSED_BY_BACKEND
    return ExchangeFailure(point, Sent.WHOLE, detail, backend.is_draining)
