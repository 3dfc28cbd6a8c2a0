"""One ownership term of a shard, from its acquisition to its loss or handover."""

import asyncio
from collections.abc import Collection

from pollengate.explain.explainer import JobExplainer
from pollengate.failure_evidence import FailureEvidence
from pollengate.interference.speeds import SpeedController
from pollengate.store import PolledStore
from pollengate.workflow.clients import AdviceClient, WorkerClient
from pollengate.workflow.decision_guard import DecisionGuard
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.leases import WORKER_LEASE_S
from pollengate.workflow.placement import Placer
from pollengate.workflow.planner import Planner
from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.punctuality import Punctuality
from pollengate.workflow.settings import NodeSettings
from pollengate.workflow.shard_lease import ShardLease, previous_lease_expiry
from pollengate.workflow.shard_room import ShardRoom
from pollengate.workflow.start_pacer import StartPacer
from pollengate.workflow.tickets import TicketCache
from result import Err

from pollengated.edge.accepted_work import AcceptedWork, max_accepted_bytes
from pollengated.edge.account_shares import AccountShares
from pollengated.edge.advice_requester import AdviceRequester
from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, record_progress
from pollengated.edge.decision_failures import DecisionFailures
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.interference_learning import InterferenceLearning
from pollengated.edge.job_end_log import JobEndLog
from pollengated.edge.job_request_handler import JobRequestHandler
from pollengated.edge.job_restore import restore_jobs
from pollengated.edge.job_retention import JobRetention
from pollengated.edge.layout import Layout
from pollengated.edge.loop_supervisor import LoopSupervisor
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.other_shards import NoOtherShards, OtherShards
from pollengated.edge.periodic_decisions import PeriodicDecisions
from pollengated.edge.placement_context import PlacementContext
from pollengated.edge.plan_delay import PLAN_DELAY_S, next_plan_delay_s
from pollengated.edge.previous_term import load_previous_term
from pollengated.edge.recorded_workers import RecordedWorkers
from pollengated.edge.run_mover import RunMover
from pollengated.edge.section_timer import Section
from pollengated.edge.settled_incarnations import SettledIncarnations
from pollengated.edge.shard_load_log import ShardLoadLog
from pollengated.edge.shard_records import ShardRecords, ShardRecordsReader
from pollengated.edge.start_policy import StartPolicy
from pollengated.edge.takeover import Takeover
from pollengated.edge.term_tasks import TermTasks
from pollengated.edge.unanswered_start_records import UnansweredStartRecords
from pollengated.edge.worker_assignments import WorkerAssignments
from pollengated.edge.worker_controller import WorkerController
from pollengated.edge.worker_registry import WorkerRegistry
from pollengated.edge.worker_transfers import WorkerTransfers
from pollengated.logs import Log

__all__ = ["ShardTerm"]

# Interval of the checks that depend on time only.
TICK_INTERVAL_S = 0.1
# Time until a worker on which all tasks fail is tried again; a task takes a second or two.
FIRST_PROBE_AFTER_S = 4.0
# A job may stand still for this long while all workers with room are quarantined.
MAX_PROBE_AFTER_S = 8.0


class ShardTerm:
    """Schedules the jobs of a shard on its workers while this process owns it.

    Args:
        shard: number of the shard.
        layout: the shards of the deployment.
        settings: settings of this process.
        store: the platform's store.
        client: sends orders to workers.
        advice: client of the advice service, None if there is no such service.
        shard_lease: the owner's lease; orders are sent only while it is valid.
        operator_view: configuration and evacuated zones.
        clocks: the process's clocks.
        metrics: metrics of this process.
        policy: settings of scheduling decisions.
        other_shards: reaches the owners of other shards; None if there are none.
        pacer: paces the start orders of the process; None if it owns no other shard.

    Attributes:
        is_serving: whether the shard's records have been loaded and the term has not ended.
        has_stalled: whether the term ended by an error or could not read the shard's records.
        fleet: workers of the shard.
        job_table: jobs of the shard; set once the records have been loaded.
        room: room of the shard; set once the records have been loaded.
        request_handler: handles clients' requests; set once the records have been loaded.
        explainer: explains decisions to operators; set once the records have been loaded.
    """

    def __init__(
        self,
        shard: int,
        layout: Layout,
        settings: NodeSettings,
        store: PolledStore,
        client: WorkerClient,
        advice: AdviceClient | None,
        shard_lease: ShardLease,
        operator_view: OperatorView,
        clocks: Clocks,
        metrics: EdgeMetrics,
        policy: SchedulingPolicy,
        other_shards: OtherShards | None = None,
        pacer: StartPacer | None = None,
    ) -> None:
        self.shard = shard
        self._layout = layout
        self.shard_lease = shard_lease
        self.is_serving = False
        self.has_stalled = False
        self._settings = settings
        self._store = store
        self._client = client
        self._advice = advice
        self._operator_view = operator_view
        self._clocks = clocks
        self._metrics = metrics
        self._policy = policy
        self._other_shards = other_shards or NoOtherShards()
        self._pacer = pacer or StartPacer()
        self._log = Log("owner")
        self._acquired_at = clocks.monotonic_s()
        self._punctuality = Punctuality(TICK_INTERVAL_S, self._acquired_at)
        max_lease_s = settings.bounds.max_worker_lease_s
        lease_s = min(WORKER_LEASE_S, max_lease_s)
        expire_at = previous_lease_expiry(self._acquired_at, lease_s)
        self.fleet = Fleet(lease_s, expire_at, max_lease_s)
        self._registry = WorkerRegistry(store, clocks, self._workers_changed, metrics)
        self._assignments = WorkerAssignments(
            shard, layout, store, clocks, self._workers_changed, metrics
        )
        self._account_shares = AccountShares(shard, layout.shards, store, shard_lease, clocks)
        self._controllers_by_id: dict[str, WorkerController] = {}
        self._controller_tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._interference = InterferenceLearning(
            shard, layout, store, clocks, metrics, policy.interference
        )
        self._latency_model = self._interference.latency_model
        self._speed_controller = SpeedController(self._latency_model)
        self._tickets = TicketCache()
        self._guard = DecisionGuard(DecisionFailures(shard, metrics).record)
        self._wake = asyncio.Event()
        self._tasks = TermTasks(self._on_error)
        self._spawn = self._tasks.spawn
        self._is_handing_over = False

    async def run(self) -> None:
        """Serves the shard until its lease is lost or it is handed over."""
        try:
            if not await self._recover():
                return
            self.is_serving = True
            unsubscribe = self._operator_view.subscribe(self._operator_view_changed)
            self._operator_view_changed()
            for view in self.fleet.workers_by_id.values():
                self._add_controller(view)
            self._spawn(self._registry.cache.run())
            if self._assignments.is_used:
                self._spawn(self._assignments.cache.run())
            self._spawn(self._account_shares.run(self._request_planning))
            self._spawn(self._tick())
            self._spawn(self._committer.run())
            self._spawn(self._interference.run())
            if self._advice is not None:
                order = self._start_policy.order
                requester = AdviceRequester(
                    self.job_table, self._tickets, self._advice, order, self._clocks
                )
                self._spawn(LoopSupervisor(self._metrics).run("advice", requester.run))
            try:
                # Waiting raises no error of the loop: like any other task, it ends the term.
                await asyncio.wait((self._spawn(self._plan_loop()),))
            finally:
                unsubscribe()
                self._load_log.close()
                self._takeover.close()
        finally:
            self.is_serving = False
            self._log.warning(
                "ownership term ended; no longer serving the shard",
                shard=self.shard,
                token=self.shard_lease.token,
            )
            self._tasks.cancel()

    async def prepare_handover(self, timeout_s: float) -> None:
        """Stops accepting jobs and starting tasks, and waits until all records are durable."""
        self._is_handing_over = True
        if self.is_serving:
            self.request_handler.is_closing = True
        await asyncio.sleep(PLAN_DELAY_S)
        if self.is_serving:
            self._unanswered_starts.add_in_flight(self.fleet)
            self._record_changes()
            await self._takeover.run_lists.hand_over(timeout_s)

    @property
    def may_move(self) -> bool:
        """Whether a move to another process delays no task.

        A successor waits anew for the workers of which this owner still awaits a report.
        """
        is_settled = self.is_serving and self._takeover.is_settled()
        return is_settled and not self._committer.is_stalled

    def cancel_handover(self) -> None:
        """Accepts jobs and starts tasks again after a handover that has had no effect."""
        self._is_handing_over = False
        if self.is_serving:
            self.request_handler.is_closing = False
            self._takeover.run_lists.cancel_handover()
            self._request_planning()

    async def _recover(self) -> bool:
        """Loads the shard's records; returns False if the shard is given up instead."""
        reader = ShardRecordsReader(self.shard, self._store, self.shard_lease, self._clocks)
        records = await reader.read()
        if isinstance(records, Err):
            self.has_stalled = records.err_value.is_stalled
            return False
        with self._metrics.sections.measure(Section.RESTORE, self.shard):
            self._restore(records.ok_value)
        self._log.info(
            "shard records loaded",
            shard=self.shard,
            token=self.shard_lease.token,
            jobs=len(self.job_table.jobs_by_id),
            workers=len(self._recorded_workers.addresses_by_id),
            took_s=round(self._clocks.monotonic_s() - self._acquired_at, 3),
        )
        return True

    def _restore(self, records: ShardRecords) -> None:
        clocks, metrics, limit = self._clocks, self._metrics, self._settings.max_value_bytes
        committer = self._committer = Committer.resume(
            self._store, self.shard, self.shard_lease, records.commit, clocks, metrics, limit
        )
        self._interference.restore(records.interference, self._committer)
        evidence = FailureEvidence(self._clocks.monotonic_s, FIRST_PROBE_AFTER_S, MAX_PROBE_AFTER_S)
        self.job_table = JobTable(self.fleet, evidence, committer.term_number)
        self.job_table.durable_record_number = lambda: committer.durable_record_number
        unanswered = self.job_table.unanswered_starts
        self._unanswered_starts = UnansweredStartRecords(self.shard, committer, unanswered, clocks)
        self._unanswered_starts.load(records.unanswered_starts, self._acquired_at)
        self._job_end_log = JobEndLog(self._clocks, self._metrics)
        self._assignments.load(records.transfers)
        previous_term = load_previous_term(
            records,
            committer.previous_commit,
            self._assignments.is_assigned_elsewhere,
            self._acquired_at,
            self._settings.bounds,
        )
        self._takeover = Takeover(
            self.shard,
            self.job_table,
            committer,
            previous_term,
            self.shard_lease,
            self._punctuality,
            self._clocks,
            self._metrics,
        )
        is_settled = self._takeover.is_settled
        self.job_table.may_run_unseen = self._takeover.may_run_unseen
        self.job_table.may_all_run_unseen = self._takeover.may_all_run_unseen
        self._start_policy = StartPolicy(
            self.job_table, self._policy, self._account_shares, self._metrics, is_settled
        )
        order, start_filter = self._start_policy.order, self._start_policy.start_filter
        placer = Placer(evidence, self._latency_model, self._tickets)
        self._planner = Planner(
            self.job_table, placer, is_settled, order, start_filter, self._guard
        )
        self.explainer = JobExplainer(self._planner)
        self.room = ShardRoom(self.job_table, is_settled)
        shards, status_s = self._layout.shards, self._settings.bounds.status_s
        max_bytes = max_accepted_bytes(self._settings.memory_mb, shards)
        self._retention = JobRetention(self.shard, shards, self.job_table, committer, status_s)
        transfers = WorkerTransfers(
            self.shard,
            self._assignments,
            self.job_table,
            self._committer,
            self.shard_lease,
            self._clocks,
            is_settled,
            self._detach_worker,
            start_filter,
        )
        run_mover = RunMover(self.job_table, self._latency_model, start_filter, self._guard)
        self._load_log = ShardLoadLog(
            self.shard, self.job_table, is_settled, start_filter, self._metrics, self._other_shards
        )
        self._decisions = PeriodicDecisions(
            self._guard,
            run_mover,
            transfers,
            self._interference,
            self._start_policy,
            self._load_log,
        )
        self._recorded_workers = RecordedWorkers(
            self.shard, committer, self.fleet, previous_term.addresses_by_id
        )
        self._settled_incarnations = SettledIncarnations(
            self.shard, committer, self.fleet, previous_term.leases
        )
        self.request_handler = JobRequestHandler(
            self.shard,
            self.job_table,
            self._committer,
            self.shard_lease,
            self._clocks,
            self._job_table_changed,
            self._start_policy.record_accepted,
            self._start_policy.find_refusal,
            self.room,
            AcceptedWork(self.shard, self.job_table, max_bytes, clocks, metrics),
        )
        self._create_placement()
        self.request_handler.placer.load(records.placements)
        restore_jobs(self.shard, records, self.job_table, self._clocks)
        self.request_handler.delegator.load(records.placements)
        self._recorded_workers.add_to_fleet(
            self._assignments.lowest_token, self._clocks.monotonic_s(), previous_term.leases
        )

    def _create_placement(self) -> None:
        """Creates what exchanges jobs with other shards' owners."""
        context = PlacementContext(
            self.shard,
            self.job_table,
            self._store,
            self._committer,
            self.shard_lease,
            self._clocks,
            self.room,
            self._takeover.is_settled,
            self._spawn,
        )
        self.request_handler.create_placement(
            context, self._other_shards, self._metrics, self._guard
        )

    # Workers.

    def _workers_changed(self, worker_ids: Collection[str]) -> None:
        """Applies changed registrations and assignments of workers to the fleet."""
        affected = [self._update_worker(worker_id) for worker_id in worker_ids]
        if any(affected):
            self._recorded_workers.update()
            self._request_planning()

    def _update_worker(self, worker_id: str) -> bool:
        """Updates one worker; returns whether it belongs or belonged to the shard."""
        lowest_token = self._assignments.lowest_token(worker_id)
        view = self.fleet.forget_transferred(worker_id, lowest_token)
        if view is not None:
            self._forget([view])
        worker = self._registry.workers_by_id.get(worker_id)
        if worker is None or self._assignments.shard_of(worker) != self.shard:
            return self.fleet.deregister(worker_id) or view is not None
        registered = self.fleet.register(worker, self._clocks.monotonic_s())
        registered.lowest_token = lowest_token
        if worker_id not in self._controllers_by_id:
            self._add_controller(registered)
        return True

    def _detach_worker(self, view: WorkerView) -> None:
        """Ends all orders to a worker that is about to be assigned to another shard."""
        self._controller_tasks_by_id[view.worker_id].cancel()

    def _add_controller(self, view: WorkerView) -> None:
        controller = WorkerController(
            view,
            self.job_table,
            self._client,
            self.shard_lease,
            self._committer,
            self._latency_model,
            self._speed_controller,
            self._tickets,
            self._planner,
            self._guard,
            self._clocks,
            self._metrics,
            self._pacer,
            self._punctuality,
            self._request_planning,
        )
        self._controllers_by_id[view.worker_id] = controller
        self._controller_tasks_by_id[view.worker_id] = self._spawn(controller.run())

    def _forget(self, views: list[WorkerView]) -> None:
        """Ends the control of workers that were removed from the fleet, and records the others."""
        for view in views:
            self._controllers_by_id.pop(view.worker_id)
            self._controller_tasks_by_id.pop(view.worker_id).cancel()
            self._speed_controller.forget(view.worker_id)
            self._planner.placer.fillers.forget(view)
            for run in list(view.runs.values()):
                self.job_table.mark_lost(run)
        if views:
            self._recorded_workers.update()

    def _operator_view_changed(self) -> None:
        if self._operator_view.deployment is not None:
            self.job_table.deployment = self._operator_view.deployment
        self.fleet.evacuated_zones = self._operator_view.evacuated_zones
        self._request_planning()

    # Planning and periodic checks.

    def _request_planning(self) -> None:
        """Queues changed jobs for writing and wakes the planner."""
        self._record_changes()
        self._takeover.run_lists.update_replying()
        self._wake.set()

    def _job_table_changed(self) -> None:
        """Sends the orders that result from a client's request without delay."""
        self._request_planning()
        self._flush_outbox()

    def _record_changes(self) -> None:
        changed = self.job_table.outbox.changed
        for job in changed.values():
            job.record_number = record_progress(self._committer, self.shard, job)
            if job.is_ended:
                self._job_end_log.record(job)
        changed.clear()
        self._unanswered_starts.update()

    def _may_start(self, now: float) -> bool:
        # In the grace period a successor may have started the same tasks, or know that they are
        # done. A worker that has crashed since does not tell.
        return not self._is_handing_over and self.shard_lease.is_confirmed(now)

    async def _plan_loop(self) -> None:
        delay_s = PLAN_DELAY_S
        while not self.shard_lease.is_lost:
            await self._wake.wait()
            await asyncio.sleep(delay_s)
            self._wake.clear()
            now = self._clocks.monotonic_s()
            if not self.shard_lease.is_valid(now):
                continue
            if self._may_start(now):
                with self._metrics.sections.measure(Section.PLAN, self.shard):
                    runs = self._planner.plan(now, self._pacer.free)
                for run in runs:
                    self._spawn(self._controllers_by_id[run.worker_id].start(run))
            self._flush_outbox()
            delay_s = next_plan_delay_s(self._clocks.monotonic_s() - now)

    def _flush_outbox(self) -> None:
        self._record_changes()
        outbox = self.job_table.take_outbox()
        for run in outbox.stops:
            if (controller := self._controllers_by_id.get(run.worker_id)) is not None:
                self._spawn(controller.stop(run))
        for worker_id, task, number in outbox.orphans:
            if (controller := self._controllers_by_id.get(worker_id)) is not None:
                self._log.info("stopping an orphaned run", worker=worker_id, task=task, run=number)
                self._spawn(controller.stop_orphan(task, number))

    async def _tick(self) -> None:
        while not self.shard_lease.is_lost:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clocks.monotonic_s()
            self._punctuality.record_tick(now)
            self.job_table.open_due_occurrences(now, self._clocks.unix_ms())
            self._decisions.update(now, self._may_start(now))
            self._settled_incarnations.update(now)
            self._record_changes()
            self._takeover.update()
            # Unless the shard lease is confirmed, a new owner may be renewing the workers' leases.
            if self.shard_lease.is_confirmed(now):
                self._forget(self.fleet.forget_departed(now))
            self._retention.update(now)
            self.request_handler.update(now)
            self._request_planning()
        self._wake.set()

    def _on_error(self, error: BaseException) -> None:
        """Ends the term after an error of one of its tasks."""
        self._log.error("internal task failed; ending ownership", error, shard=self.shard)
        if not self.has_stalled:
            self._metrics.failed_terms.inc()
        self.has_stalled = True
        self.shard_lease.mark_lost()
        self._wake.set()
