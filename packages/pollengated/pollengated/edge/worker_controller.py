"""Sends orders to one worker, renews the leases of its runs and applies its reports."""

import asyncio
from collections.abc import Callable

from pollengate.interference.latency_model import LatencyModel
from pollengate.interference.speeds import SpeedChange, SpeedController
from pollengate.workflow.clients import (
    OrderFailure,
    OrderRejection,
    RenewOrder,
    Report,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerClient,
)
from pollengate.workflow.decision_guard import DecisionGuard
from pollengate.workflow.end_acknowledgement import EndAcknowledgement, SentOrder
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.order_fence import OrderFence
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import Run, RunState
from pollengate.workflow.punctuality import Punctuality
from pollengate.workflow.reports import MAX_ENDS_PER_REPORT, ReportReconciler
from pollengate.workflow.shard_lease import ShardLease
from pollengate.workflow.start_pacer import StartPacer
from pollengate.workflow.tickets import TicketCache
from result import Err, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.filler_throttle import FillerThrottle
from pollengated.edge.start_pauses import StartPauses
from pollengated.edge.worker_run_log import WorkerRunLog
from pollengated.logs import Log

__all__ = ["WorkerController"]

# Long poll: a worker replies to a renewal as soon as a run ends, otherwise after this time. This
# also limits the age of its measurements.
RENEW_WAIT_S = 1.0
# Shorter for workers on which fillers may interfere with serving tasks, whose latency measurements
# cover 0.5 s.
SHARED_RENEW_WAIT_S = 0.4
# Limits the wait for a reply whose parts keep arriving; lease expiry is checked only after a reply
# or a failure. Two such waits fit into a worker's lease.
RENEW_TIMEOUT_S = 2.5
# Times that a start order without a response is sent again until the run is given up.
MAX_REPEATED_STARTS = 2
# Pause between a reply and the next renewal, so that one report lists more ended runs.
RENEW_PAUSE_S = 0.03
# If results are not durable after this time, the next renewal does not acknowledge them; the worker
# then lists them again.
DURABLE_TIMEOUT_S = 0.5
RETRY_S = 0.15
# The runs of a silent worker are lost this long after their lease has expired, even if the owner is
# late all the while.
MAX_DEFERRAL_S = 10.0
_UNANSWERED = (OrderRejection.NO_ANSWER, OrderRejection.NOT_SENT)


class WorkerController:
    """Controls one worker of a shard for its owner.

    Args:
        view: state of the worker.
        job_table: jobs of the shard.
        client: sends orders to workers.
        shard_lease: the owner's lease; orders are sent only while it is valid.
        committer: makes results durable.
        latency_model: learns from the latencies of serving tasks.
        speed_controller: decides the speed of fillers.
        tickets: tickets for steps of queues that use the advice service.
        planner: finds other workers for a filler.
        guard: contains the errors of what is learned and decided from a report.
        clocks: the process's clocks.
        metrics: counts orders.
        pacer: counts start orders that wait for their responses.
        punctuality: tells whether the owner could hear the worker.
        on_event: called after each change of the job table or the worker's state.
    """

    def __init__(
        self,
        view: WorkerView,
        job_table: JobTable,
        client: WorkerClient,
        shard_lease: ShardLease,
        committer: Committer,
        latency_model: LatencyModel,
        speed_controller: SpeedController,
        tickets: TicketCache,
        planner: Planner,
        guard: DecisionGuard,
        clocks: Clocks,
        metrics: EdgeMetrics,
        pacer: StartPacer,
        punctuality: Punctuality,
        on_event: Callable[[], None],
    ) -> None:
        self.view = view
        self._job_table = job_table
        self._client = client
        self._shard_lease = shard_lease
        self._committer = committer
        self._latency_model = latency_model
        self._tickets = tickets
        self._guard = guard
        self._fillers = FillerThrottle(
            view, job_table, speed_controller, planner, guard, self.throttle
        )
        self._clocks = clocks
        self._metrics = metrics
        self._pacer = pacer
        self._punctuality = punctuality
        self._on_event = on_event
        self._run_log = WorkerRunLog(metrics, clocks)
        self._reconciler = ReportReconciler(job_table, view, self._run_log.record_crash)
        self._log = Log("worker")
        self._acknowledgement = EndAcknowledgement(
            lambda task: job_table.may_start_again(task, clocks.monotonic_s())
        )
        self._report_record_number = 0
        self._is_failing = self._keeps_ends = False
        self._is_requesting_report = False
        self._fence = OrderFence(view, shard_lease)
        # Number of connections that had been opened when the newest report was requested.
        self._reported_connections: int | None = None
        self._pauses = StartPauses(view, RENEW_TIMEOUT_S)

    async def run(self) -> None:
        """Renews the leases of the worker's runs until cancelled or the shard lease is lost."""
        while not self._shard_lease.is_lost:
            now = self._clocks.monotonic_s()
            if not self._shard_lease.is_valid(now):
                # The leases on the worker may expire meanwhile, so it has to report before it gets
                # another start.
                self.view.is_attached = self.view.is_paging = False
                await asyncio.sleep(RETRY_S)
                continue
            if await self._renew(self._renew_wait_s()):
                await self._wait_for_durable_results()
                await self._pause()
            else:
                self._check_lease_expiry(now)
                await asyncio.sleep(RETRY_S)

    async def _pause(self) -> None:
        """Waits before the next renewal, for a commit if the worker has to be fenced first."""
        if self.view.is_fenced:
            # A worker does not wait for an end while it lists one.
            await asyncio.sleep(RETRY_S if self._keeps_ends else RENEW_PAUSE_S)
        else:
            await self._committer.wait_commit(RETRY_S)

    async def request_report(self) -> None:
        """Requests a report at once, in parallel to a renewal that waits for its reply."""
        if self._is_requesting_report or not self._shard_lease.is_valid(self._clocks.monotonic_s()):
            return
        self._is_requesting_report = True
        try:
            has_reported = await self._renew(0.0)
            while has_reported and not self.view.is_fenced and not self.view.is_released:
                await self._pause()
                has_reported = await self._renew(0.0)
        finally:
            self._is_requesting_report = False

    async def start(self, run: Run) -> None:
        """Sends a start order until it has a response, and applies its outcome to the job table.

        The run keeps its number, so that the worker carries out one of the orders at most.
        """
        # The worker may have started again, or stopped replying, since the start was planned.
        is_in_touch = self.view.is_attached and not self._is_failing
        rejection = await self._order_start(run) if is_in_touch else OrderRejection.NOT_SENT
        is_unanswered = rejection is OrderRejection.NO_ANSWER
        for _ in range(MAX_REPEATED_STARTS if is_unanswered else 0):
            self._on_event()
            if rejection not in _UNANSWERED or not await self._should_repeat(run):
                break
            rejection = await self._order_start(run)
        if is_unanswered and rejection is not None:
            self._job_table.mark_unknown(run)
        elif rejection is not None:
            self._job_table.mark_rejected(run)
        self._on_event()

    async def _should_repeat(self, run: Run) -> bool:
        """Waits for a report after an unanswered start; returns whether to send it again.

        The first order has to be durable: a successor would take the second one for the only one.
        """
        failed_at = self._clocks.monotonic_s()
        record_number = self._committer.last_record_number
        await self.request_report()
        while run.state is RunState.STARTING and not self._shard_lease.is_lost:
            now = self._clocks.monotonic_s()
            is_same = self.view.is_attached and self.view.born_ms == run.order_born_ms
            has_reported = is_same and self.view.lease.replied_at > failed_at
            is_durable = self._committer.durable_record_number >= record_number
            # In the grace period a successor may have started the task.
            if has_reported and is_durable and self._shard_lease.is_confirmed(now):
                return self._job_table.fleet.is_startable(self.view)
            await asyncio.sleep(RETRY_S)
        return False

    async def _order_start(self, run: Run) -> OrderRejection | None:
        """Sends a start order; returns None if it was confirmed."""
        now = self._clocks.monotonic_s()
        lease_until_ms = self._extend_lease(now)
        if lease_until_ms is None or not self._shard_lease.is_valid(now):
            return OrderRejection.NOT_SENT
        step = run.task.step
        order = StartOrder(
            task=run.task.name,
            run=run.number,
            payload=step.job.workflow.payload,
            lease_until_ms=lease_until_ms,
            token=self._fence.begin_effective_order(),
            checkpoint=run.checkpoint,
            ticket=self._tickets.ticket(step, self.view, now),
        )
        run.ordered_at = run.progressed_at = now
        run.order_token, run.order_born_ms = order.token, self.view.born_ms
        sent = self._acknowledgement.begin_order(now, is_start=True)
        run.is_being_ordered = True
        try:
            result = await self._send_start(order)
        finally:
            run.is_being_ordered = False
        rejection = self._apply_start_result(run, order.token, now, result)
        self._record_response(sent, result)
        return rejection

    async def _send_start(self, order: StartOrder) -> Result[int, OrderFailure]:
        is_answered: bool | None = None
        self._pacer.begin()
        try:
            result = await self._client.start(self.view.info.address, self.view.worker_id, order)
            is_answered = not isinstance(result, Err) or result.err_value.kind not in _UNANSWERED
        finally:
            self._pacer.end(is_answered, self._clocks.monotonic_s())
        return result

    async def stop(self, run: Run) -> None:
        """Sends a stop order until the worker has confirmed it or the run is gone.

        While the shard lease is not valid, the order waits.
        """
        while run.state is not RunState.ENDED and not self._shard_lease.is_lost:
            confirmed = await self._send_stop(run.task.name, run.number)
            if confirmed:
                run.replied_at = self._clocks.monotonic_s()
                await self.request_report()
                return
            await asyncio.sleep(RETRY_S)

    async def stop_orphan(self, task: str, number: int) -> None:
        """Stops an orphaned run; if that fails, the worker reports the run again."""
        await self._send_stop(task, number)

    async def throttle(self, change: SpeedChange) -> None:
        """Sends a filler's new speed; after a failure, the next report leads to another order."""
        run = change.run
        now = self._clocks.monotonic_s()
        if not self._shard_lease.is_valid(now):
            return
        token = self._fence.begin_effective_order()
        order = ThrottleOrder(run.task.name, run.number, change.percent, token)
        sent = self._acknowledgement.begin_order(now)
        result = await self._client.throttle(self.view.info.address, self.view.worker_id, order)
        self._record_response(sent, result)
        if isinstance(result, Err):
            run.is_speed_known = False  # the order may have taken effect
            self._handle_failure(result.err_value, token)
        else:
            change.apply(self._clocks.monotonic_s())
            self._metrics.throttle_changes.inc()

    def _renew_wait_s(self) -> float:
        if self._is_failing or not self.view.is_attached:
            return 0.0
        is_shared = self.view.serving and self.view.fillers
        return SHARED_RENEW_WAIT_S if is_shared else RENEW_WAIT_S

    def _extend_lease(self, now: float) -> int | None:
        """Extends the worker's lease for an order, no further than a successor waits for."""
        lease = self.view.lease
        return lease.extend(now, self._shard_lease.leases_end_by(lease.length_s))

    async def _renew(self, wait_s: float) -> bool:
        """Sends a renewal and applies the report in its reply; returns False if it failed."""
        sent_at = self._clocks.monotonic_s()
        is_durable = self._committer.durable_record_number >= self._report_record_number
        is_known = self.view.is_attached or self.view.is_paging
        # A worker that does not reply may have started again, with another clock.
        is_unconfirmed = self._is_failing or not is_known or not self.view.is_fenced
        if is_unconfirmed:
            order = self._build_bare_renewal()
        else:
            order = RenewOrder(
                token=self._fence.begin_effective_order(),
                acked_upto=self._acknowledgement.upto(sent_at) if is_durable else 0,
                lease_until_ms=self._extend_lease(sent_at),
                wait_ms=int(wait_s * 1000),
            )
        fenced_token = self._fence.fenced_token()
        opened_connections = self._client.opened_connections(self.view.info.address)
        result = await self._send_renewal(order)
        self._metrics.renewals.inc()
        if isinstance(result, Err):
            self._acknowledgement.record_failed_renewal(self._clocks.monotonic_s())
            self._metrics.failed_renewals.labels(result.err_value.kind.value).inc()
            self._handle_failure(result.err_value, order.token)
            return False
        self._reported_connections = opened_connections
        self._apply_report(result.ok_value, sent_at, fenced_token)
        return True

    def _build_bare_renewal(self) -> RenewOrder:
        """Returns a renewal that only requests a report, and fences earlier orders if it can."""
        view = self.view
        # The next owner of a released worker has the revision of its assignment as token.
        is_raised = view.is_released or self._fence.raise_token(self._committer.newest_revision)
        if not is_raised and not view.is_fenced:
            self._committer.request_commit()
        return RenewOrder(token=self._fence.token, acked_upto=0)

    async def _send_renewal(self, order: RenewOrder) -> Result[Report, OrderFailure]:
        address, worker_id = self.view.info.address, self.view.worker_id
        try:
            async with asyncio.timeout(RENEW_TIMEOUT_S):
                return await self._client.renew(address, worker_id, order)
        except TimeoutError:
            # No start may extend the lease until the next renewal has failed or succeeded.
            self._pauses.record_late_report(self._clocks.monotonic_s())
            return Err(OrderFailure(OrderRejection.NO_ANSWER, "reply is not complete in time"))

    def _apply_report(self, report: Report, sent_at: float, fenced_token: int) -> None:
        now = self._clocks.monotonic_s()
        if not self._acknowledgement.record_report(report, sent_at, now):
            return
        self.view.is_replaced = False
        report = self._run_log.limit_checkpoints(self.view.worker_id, report)
        if report.born_ms != self.view.born_ms:
            self._run_log.record_incarnation(self.view, report)
            self._fillers.forget()
        was_fenced = self.view.is_fenced
        self._pauses.record_report()
        self._run_log.record_late_starts(self.view, report, self._job_table.unanswered_starts)
        silent_s = now - self.view.lease.replied_at
        new_ends = self._reconciler.apply(
            report, sent_at, now, self._clocks.unix_ms(), fenced_token
        )
        self._run_log.record_ends(self.view.worker_id, new_ends)
        if self.view.is_fenced and not was_fenced:
            self._run_log.record_fence(self.view, fenced_token, now)
        if self._is_failing:
            self._is_failing = False
            self._log.info(
                "worker replies again", worker=self.view.worker_id, silent_s=round(silent_s, 2)
            )
        self._guard.attempt(
            "learn_latencies",
            self.view.worker_id,
            now,
            lambda: self._latency_model.observe(self.view, now),
        )
        self._fillers.adjust(now)
        self._on_event()
        self._report_record_number = self._committer.last_record_number
        kept = self._acknowledgement.find_kept()
        self._run_log.record_kept_end(self.view.worker_id, kept)
        self._keeps_ends = kept is not None
        # Further ends would not be in a report as long as these are kept.
        if kept is not None and len(report.ended) + len(self.view.runs) >= MAX_ENDS_PER_REPORT:
            self._pauses.record_kept_ends(now)

    async def _wait_for_durable_results(self) -> None:
        """Waits until the results of the last report are durable.

        The next renewal then acknowledges them, so that the worker does not list them again.
        """
        if not self._acknowledgement.listed_upto:
            return
        if not await self._committer.wait_durable(self._report_record_number, DURABLE_TIMEOUT_S):
            self._metrics.undurable_results.inc()

    def _apply_start_result(
        self, run: Run, token: int, sent_at: float, result: Result[int, OrderFailure]
    ) -> OrderRejection | None:
        now = self._clocks.monotonic_s()
        if not isinstance(result, Err):
            self._job_table.mark_started(run, now)
            self._run_log.record_start(run, token)
            if run.task.step.spec.is_filler:
                self._fillers.adjust(now)  # it runs at full speed until it is told otherwise
            return None
        failure = result.err_value
        self._run_log.record_failed_start(run, failure)
        self._handle_failure(failure, token)
        if failure.kind is OrderRejection.NO_ANSWER:
            if self._may_have_reached_another():
                run.may_outlast_until = self.view.lease.longest_expire_at(now)
            self._job_table.unanswered_starts.record(run, sent_at)
            if run.replied_at is not None:  # this order or an earlier one was carried out
                starts = self._job_table.unanswered_starts
                starts.settle(run.task.name, run.worker_id, run.number)
        elif failure.kind is OrderRejection.UNHEALTHY:
            self._job_table.evidence.record_rejection(run.task.step.job.job_id, self.view.worker_id)
        elif failure.kind is OrderRejection.NO_TICKET:
            self._tickets.revoke(run.task.step, self.view.worker_id)
        return failure.kind

    def _may_have_reached_another(self) -> bool:
        """Whether an order since the newest report may have reached a later incarnation."""
        if not self.view.is_registration_current:
            return True
        opened = self._client.opened_connections(self.view.info.address)
        return opened is None or opened != self._reported_connections

    async def _send_stop(self, task: str, number: int) -> bool:
        now = self._clocks.monotonic_s()
        if not self._shard_lease.is_valid(now):
            return False
        order = StopOrder(task, number, self._fence.begin_effective_order())
        sent = self._acknowledgement.begin_order(now)
        result = await self._client.stop(self.view.info.address, self.view.worker_id, order)
        self._record_response(sent, result)
        if isinstance(result, Err):
            self._handle_failure(result.err_value, order.token)
            return False
        self._metrics.stops.inc()
        return True

    def _record_response(self, sent: SentOrder, result: Result[int, OrderFailure]) -> None:
        """Requests a report at once if another incarnation than the known one has responded."""
        clock_ms = result.err_value.worker_clock_ms if isinstance(result, Err) else result.ok_value
        if clock_ms is not None and clock_ms < 0:
            clock_ms = None  # the response lacks it
        now = self._clocks.monotonic_s()
        if not self._acknowledgement.record_response(sent, clock_ms, now):
            return
        self._run_log.record_other_response(self.view, clock_ms, sent.lowest_clock_ms)
        self.view.is_attached = self.view.is_paging = self.view.is_fenced = False
        self.view.lease.begin_incarnation(now)
        asyncio.get_running_loop().create_task(self.request_report())

    def _handle_failure(self, failure: OrderFailure, token: int) -> None:
        """Applies a failed order.

        Args:
            failure: the failure.
            token: fencing token of the order.
        """
        now = self._clocks.monotonic_s()
        self._pauses.record_failure(failure.kind, now)
        if failure.kind is OrderRejection.FENCED and (
            self.view.is_released or self._fence.is_outdated(token)
        ):
            self._metrics.fenced_orders.inc()
            return  # sent before the worker was assigned to another shard or started again
        if failure.kind is OrderRejection.FENCED:
            self._run_log.record_later_owner(self.view, token)
            self._shard_lease.mark_lost()
        elif failure.kind is OrderRejection.OTHER_INCARNATION:
            self._reconciler.reset(now, self._clocks.unix_ms())
            self.view.born_ms = 0
            self.view.is_replaced = True
            self._on_event()
        elif failure.kind in _UNANSWERED and not self._is_failing:
            self._is_failing = True
            self._run_log.record_silence(self.view, failure.detail)

    def _check_lease_expiry(self, sent_at: float) -> None:
        """Marks the runs of a worker as lost if its lease has expired.

        Neither silence nor the end of its registration shows that a worker has stopped: one that is
        cut off loses its registration, too, and runs its tasks until its lease expires.

        Args:
            sent_at: clock time at which the renewal was sent that has failed.
        """
        now = self._clocks.monotonic_s()
        is_deferred = now < self.view.lease.expires_at() + MAX_DEFERRAL_S
        if is_deferred and self._punctuality.was_late_since(sent_at, now):
            return  # the worker may have replied in time; it is asked again
        # Unless the shard lease is confirmed, a new owner may be renewing the worker's lease.
        has_expired = self._shard_lease.is_confirmed(now) and now > self.view.lease.expires_at()
        lapsed = self._reconciler.mark_lapsed(now) if has_expired else 0
        if not lapsed:
            return
        self._run_log.record_lapse(self.view, lapsed)
        self.view.is_attached = self.view.is_paging = False
        self._on_event()
