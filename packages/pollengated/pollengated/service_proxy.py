"""Forwards service requests to backend servers, with admission, deadlines and retries."""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable

from pollengate.admission import QueueBudget, ServiceQueue, Waiter
from pollengate.backend_client import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    ExchangeFailure,
    Headers,
    ResponseTruncatedError,
    SendProgress,
)
from pollengate.backend_health import SLOW_FACTOR
from pollengate.configuration import Service
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.request_outcomes import (
    FailureClass,
    FailurePoint,
    Sent,
    classify_failure,
    worse_outcome,
)
from pollengate.retries import RetryBudget, backoff_s
from pollengate.routing import ServiceRouter
from pollengate.virtual_machines import VirtualMachine
from result import Err, Ok, Result

from pollengated.configuration_cache import ConfigurationCache
from pollengated.metrics import Metrics
from pollengated.slot_manager import SlotManager
from pollengated.vm_directory import VmDirectory

__all__ = ["ServiceProxy", "ServiceRequest"]

MAX_ATTEMPTS = 3
MS_PER_S = 1000
RETRY_AFTER_S = 1.0
MIN_IDLE_TIMEOUT_S = 0.5
IDLE_TIMEOUT_FACTOR = 10.0
SERVER_ERROR = 500

_FAILURES_BEFORE_RESPONSE = frozenset(
    {
        FailurePoint.CONNECTION_LOST,
        FailurePoint.SILENT,
        FailurePoint.ANSWER_TO_ANOTHER_REQUEST,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request to a service.

    Attributes:
        request_id: id of the request in logs and at backend servers.
        service: name of the requested service.
        method: HTTP method.
        target: path and query, percent-encoded as the caller sent them.
        headers: end-to-end headers.
        body: complete request body.
        timeout_ms: time that the caller waits, None for the service's default.
        is_idempotent: whether the request may safely be run twice.
        wait_for_disconnect: returns once the caller has disconnected.
    """

    request_id: str
    service: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    timeout_ms: int | None
    is_idempotent: bool
    wait_for_disconnect: Callable[[], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """State of a request over all its attempts."""

    request: ServiceRequest
    router: ServiceRouter
    deadline: float
    tried_vm_ids: frozenset[str] = frozenset()
    outcome: Outcome = Outcome.NOT_RUN


class ServiceProxy:
    """Admits requests, sends each to a backend server and retries failed attempts where allowed.

    Attributes:
        in_progress: number of exchanges that occupy a slot.
    """

    def __init__(
        self,
        zone: str,
        configuration_cache: ConfigurationCache,
        vms: VmDirectory,
        slot_manager: SlotManager,
        client: BackendClient,
        metrics: Metrics,
        seed: int = 0,
    ) -> None:
        self.in_progress = 0
        self._zone = zone
        self._configuration_cache = configuration_cache
        self._vms = vms
        self._slot_manager = slot_manager
        self._client = client
        self._metrics = metrics
        self._random = random.Random(seed)
        self._attempt_numbers = itertools.count(1)
        self._queue_budget = QueueBudget()
        self._queues: list[ServiceQueue] = []
        self._routers_by_service: dict[str, ServiceRouter] = {}
        self._retry_budgets_by_service: dict[str, RetryBudget] = {}
        self._exchanges: set[asyncio.Task[None]] = set()
        slot_manager.is_configured = (
            lambda name: name in configuration_cache.current.services_by_name
        )
        slot_manager.on_granted = self._dispatch_waiting
        slot_manager.count_waiting = self._count_waiting

    async def send(self, request: ServiceRequest) -> Result[BackendResponse, Refusal]:
        """Sends a request and returns the response, which may be a stream, or a refusal.

        The receiver of a streamed response must close it.
        """
        service = self._configuration_cache.current.services_by_name.get(request.service)
        if service is None:
            detail = f"service {request.service!r} does not exist"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail))
        timeout_ms = request.timeout_ms or service.default_timeout_ms
        deadline = asyncio.get_running_loop().time() + timeout_ms / MS_PER_S
        pending = _PendingRequest(request, self._router(request.service, service), deadline)
        self._retry_budget(request.service).count_request()
        return await self._send_with_retries(pending)

    async def close(self) -> None:
        """Waits until all exchanges have ended, then closes the connections to backend servers."""
        if self._exchanges:
            await asyncio.wait(self._exchanges)
        await self._client.close()

    async def _send_with_retries(
        self, pending: _PendingRequest
    ) -> Result[BackendResponse, Refusal]:
        for attempt in itertools.count(1):
            slot = await self._acquire_slot(pending)
            if isinstance(slot, Err):
                return Err(dataclasses.replace(slot.err_value, outcome=pending.outcome))
            result = await self._exchange(pending, slot.ok_value)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            failure_class = classify_failure(
                failure.point, failure.sent, pending.request.is_idempotent
            )
            pending.outcome = worse_outcome(pending.outcome, failure_class.outcome)
            pending.tried_vm_ids |= {slot.ok_value.vm_id}
            if not self._may_retry(pending, failure_class, attempt):
                return Err(_refusal(failure_class, failure, pending.outcome))
            self._metrics.count_retry(failure_class.reason)
            await asyncio.sleep(backoff_s(attempt, self._random))
        raise AssertionError("the loop ends by a return")

    def _may_retry(
        self, pending: _PendingRequest, failure_class: FailureClass, attempt: int
    ) -> bool:
        now = asyncio.get_running_loop().time()
        is_possible = failure_class.may_retry and attempt < MAX_ATTEMPTS
        if not is_possible or not pending.router.queue.can_meet_deadline(pending.deadline, now):
            return False
        # A request that was not run has put no load on the service; its retry needs no budget.
        if failure_class.outcome is Outcome.NOT_RUN:
            return True
        return self._retry_budget(pending.request.service).try_take()

    async def _acquire_slot(self, pending: _PendingRequest) -> Result[VirtualMachine, Refusal]:
        waiter = Waiter(pending.deadline, pending.request.is_idempotent, pending.tried_vm_ids)
        slot = pending.router.offer(waiter)
        if slot is None:
            if waiter.may_use_other_zones:
                self._request_remote_slots(pending.request.service)
            slot = await self._wait(pending, waiter)
        if isinstance(slot, Err):
            return slot
        return await self._extend_grant(pending, slot.ok_value)

    async def _wait(
        self, pending: _PendingRequest, waiter: Waiter
    ) -> Result[VirtualMachine, Refusal]:
        waiting = asyncio.create_task(pending.router.wait(waiter))
        disconnect = asyncio.ensure_future(pending.request.wait_for_disconnect())
        try:
            await asyncio.wait((waiting, disconnect), return_when=asyncio.FIRST_COMPLETED)
            if waiting.done():
                return waiting.result()
            detail = "the caller disconnected while the request waited for a slot"
            return Err(Refusal(Outcome.NOT_RUN, Reason.CALLER_GONE, detail))
        finally:
            disconnect.cancel()
            waiting.cancel()

    async def _extend_grant(
        self, pending: _PendingRequest, vm: VirtualMachine
    ) -> Result[VirtualMachine, Refusal]:
        """Extends the grant of a slot to the request's deadline if it expires earlier.

        Returns:
            The backend server; a refusal, with the slot released, if the grantor did not reply.
        """
        slots = self._slot_manager.slots(vm.zone)
        if pending.deadline <= slots.get_or_create(vm.vm_id).expires_at:
            return Ok(vm)
        number = id(pending)
        slots.add_long_request(vm.vm_id, number, pending.deadline)
        if await self._slot_manager.renew(vm.zone):
            return Ok(vm)
        slots.remove_long_request(vm.vm_id, number)
        pending.router.release(vm)
        detail = "the slot's grant could not be extended to the request's deadline"
        return Err(Refusal(Outcome.NOT_RUN, Reason.NO_SLOT, detail, RETRY_AFTER_S))

    async def _exchange(
        self, pending: _PendingRequest, vm: VirtualMachine
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Makes one attempt and waits for its response until the deadline.

        An exchange that has sent any part of the request goes on after the deadline, because the
        backend server may still be running the request in that slot.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        progress = SendProgress()
        response: asyncio.Future[Result[BackendResponse, ExchangeFailure]] = loop.create_future()
        task = asyncio.create_task(self._run_exchange(pending, vm, progress, response))
        self._exchanges.add(task)
        task.add_done_callback(self._exchanges.discard)
        try:
            async with asyncio.timeout_at(pending.deadline):
                return await response
        except TimeoutError:
            if progress.sent is Sent.NOTHING:
                task.cancel()
            self._record_timeout(pending.router, vm, loop.time() - started_at)
            detail = "the backend server sent no response before the deadline"
            return Err(ExchangeFailure(FailurePoint.DEADLINE, progress.sent, detail))

    async def _run_exchange(
        self,
        pending: _PendingRequest,
        vm: VirtualMachine,
        progress: SendProgress,
        response: "asyncio.Future[Result[BackendResponse, ExchangeFailure]]",
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.in_progress += 1
        is_streamed = False
        try:
            result = await self._client.exchange(
                vm.address, self._backend_request(pending, progress)
            )
            self._record(pending.router, vm, result, loop.time() - started_at)
            if isinstance(result, Ok) and result.ok_value.remaining_body is not None:
                is_streamed = not response.done()
                self._bind_stream(pending, vm, result.ok_value)
                if not is_streamed:
                    await result.ok_value.close()
            if not response.done():
                response.set_result(result)
            if _may_still_run(result):
                await asyncio.sleep(max(0.0, pending.deadline - loop.time()))
        finally:
            if not is_streamed:
                self._release_slot(pending, vm)

    def _release_slot(self, pending: _PendingRequest, vm: VirtualMachine) -> None:
        self.in_progress -= 1
        self._slot_manager.slots(vm.zone).remove_long_request(vm.vm_id, id(pending))
        pending.router.release(vm)

    def _bind_stream(
        self, pending: _PendingRequest, vm: VirtualMachine, response: BackendResponse
    ) -> None:
        """Makes a streamed response fail at the deadline and release its slot when closed."""
        close_connection, remaining_body = response.close, response.remaining_body
        if remaining_body is None:
            return

        async def close() -> None:
            try:
                await close_connection()
            finally:
                self._release_slot(pending, vm)

        response.remaining_body = _stream_until(remaining_body, pending.deadline)
        response.close = close

    def _backend_request(self, pending: _PendingRequest, progress: SendProgress) -> BackendRequest:
        request = pending.request
        idle_timeout_s = None
        if request.is_idempotent:
            idle_timeout_s = max(
                MIN_IDLE_TIMEOUT_S,
                IDLE_TIMEOUT_FACTOR * pending.router.queue.times.expected_s(),
            )
        return BackendRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            f"{request.request_id}.{next(self._attempt_numbers)}",
            pending.deadline,
            idle_timeout_s,
            progress,
        )

    def _record(
        self,
        router: ServiceRouter,
        vm: VirtualMachine,
        result: Result[BackendResponse, ExchangeFailure],
        seconds: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        response_or_failure = result.ok_value if isinstance(result, Ok) else result.err_value
        if response_or_failure.is_draining:
            router.health.record_drain(vm.vm_id, now)
        if (
            isinstance(response_or_failure, BackendResponse)
            and response_or_failure.status < SERVER_ERROR
        ):
            router.queue.times.record(seconds)
            router.health.record_response(vm.vm_id, seconds, now)
        elif (
            isinstance(response_or_failure, BackendResponse)
            or response_or_failure.point is not FailurePoint.REFUSED_BY_BACKEND
        ):
            router.health.record_failure(vm.vm_id, now)

    def _record_timeout(self, router: ServiceRouter, vm: VirtualMachine, seconds: float) -> None:
        if seconds > SLOW_FACTOR * router.queue.times.mean_s:
            router.health.record_failure(vm.vm_id, asyncio.get_running_loop().time())

    def _router(self, name: str, service: Service) -> ServiceRouter:
        router = self._routers_by_service.get(name)
        if router is None:
            router = ServiceRouter(
                self._zone,
                lambda: self._vms.backends(name),
                self._slot_manager.slots,
                self._queue_budget,
                self._queues,
                self._random,
            )
            self._routers_by_service[name] = router
        router.queue.priority = router.spillover.priority = service.priority
        return router

    def _retry_budget(self, name: str) -> RetryBudget:
        return self._retry_budgets_by_service.setdefault(name, RetryBudget())

    def _count_waiting(self, name: str) -> int:
        router = self._routers_by_service.get(name)
        return 0 if router is None else len(router.queue) + len(router.spillover)

    def _request_remote_slots(self, name: str) -> None:
        for zone in {vm.zone for vm in self._vms.backends(name)} - {self._zone}:
            self._slot_manager.request_remote_slots(zone)

    def _dispatch_waiting(self) -> None:
        for router in self._routers_by_service.values():
            router.assign_free_slots()


def _may_still_run(result: Result[BackendResponse, ExchangeFailure]) -> bool:
    """Whether a backend server may still be running a request whose exchange has failed."""
    if isinstance(result, Ok) or result.err_value.sent is Sent.NOTHING:
        return False
    return result.err_value.point in _FAILURES_BEFORE_RESPONSE


async def _stream_until(
    remaining_body: AsyncIterator[bytes], deadline: float
) -> AsyncIterator[bytes]:
    while True:
        try:
            async with asyncio.timeout_at(deadline):
                chunk = await anext(remaining_body, None)
        except TimeoutError as error:
            raise ResponseTruncatedError("the response was incomplete at the deadline") from error
        if chunk is None:
            return
        yield chunk


def _refusal(failure_class: FailureClass, failure: ExchangeFailure, outcome: Outcome) -> Refusal:
    may_repeat = outcome is Outcome.NOT_RUN and failure_class.reason is not Reason.CALLER_GONE
    retry_after_s = RETRY_AFTER_S if may_repeat else None
    return Refusal(outcome, failure_class.reason, failure.detail, retry_after_s)
