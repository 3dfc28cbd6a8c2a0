"""A deployment of two zones on virtual time whose processes can be killed, frozen and cut off."""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable

from pollengate.configuration import Configuration, Limits, Zone
from pollengate.failpoints import Failpoint, FailpointHook
from pollengate.freshness import Freshness
from pollengate.jobs import JobSpec, Resources, TaskState
from pollengate.memory_store import MemoryStore
from pollengate.policy_builders import ShardPolicyBuilders
from pollengate.reaction import Action, Evict, Observation, Reaction
from pollengate.refusals import Outcome
from pollengate.virtual_machines import VirtualMachine, VmState
from pollengate.worker import Heartbeat, HeartbeatReply, WorkerCallFailure, WorkerClient
from pollengate_standins.memory_worker import MemoryWorkerClient
from pollengate_standins.worker_server import run_heartbeats
from pollengated.metrics import Metrics
from pollengated.shard_owner import ShardOwner
from result import Err

from tests.faults.fault_injection import FaultyStore, FaultyWorkerClient, Platform, ProcessControl
from tests.faults.records import CallerRecord, Recorder, RecordingWorker
from tests.utils import build_worker

__all__ = ["Deployment", "Process", "DisabledRule", "ZONES"]

ZONES = ("a", "b")
CORES_PER_WORKER = 4
MEMORY_MB = 1000
CONFIGURATION_READ_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 2.0
LISTING_LAG_S = 3.0
RESTART_AFTER_S = 2.0


@dataclasses.dataclass(slots=True)
class Process:
    """One scheduler process.

    Attributes:
        zone: its availability zone.
        control: injects faults into it.
        owner: its shard owner.
        tasks: the owner's main loop and the loop that reads the configuration.
    """

    zone: str
    control: ProcessControl
    owner: ShardOwner
    tasks: list[asyncio.Task[None]]


class DisabledRule(enum.StrEnum):
    """A rule of the protocol that is disabled to show that the matrix detects its absence."""

    WORKER_IGNORES_EPOCH = "worker ignores epoch and session"
    WORKER_IGNORES_LEASE = "worker runs tasks after its lease has expired"
    FRESH_CONFIGURATION_NOT_REQUIRED = "starts do not require a fresh configuration"
    OWNER_IGNORES_LEASE = "owner acts on an expired lease"


class _ConfigurationReader:
    """Polls the deployment's configuration, as a process does that reads it from the store."""

    def __init__(self, deployment: "Deployment", control: ProcessControl) -> None:
        self.current = deployment.configuration
        self.freshness = Freshness()
        self._deployment = deployment
        self._control = control

    async def run(self) -> None:
        """Reads the configuration until cancelled."""
        store = FaultyStore(self._deployment.store, self._control, self._deployment.platform)
        while True:
            requested_at = asyncio.get_running_loop().time()
            if self._control.is_configuration_silent:
                await asyncio.sleep(CONFIGURATION_READ_INTERVAL_S)
                continue
            if not isinstance(await store.get("/configuration"), Err):
                self.current = self._deployment.configuration
                self.freshness.confirm(requested_at)
            if self._deployment.disabled_rule is DisabledRule.FRESH_CONFIGURATION_NOT_REQUIRED:
                self.freshness.confirm(math.inf)
            await asyncio.sleep(CONFIGURATION_READ_INTERVAL_S)


class _RecordingFailpointHook(FailpointHook):
    def __init__(self, deployment: "Deployment", control: ProcessControl) -> None:
        self._deployment = deployment
        self._control = control

    async def reach(self, failpoint: Failpoint, subject: str = "") -> None:
        await self._control.wait_while_frozen()
        self._deployment.reach_failpoint(failpoint, self._control)
        await self._control.wait_while_frozen()


class _ScriptedReaction(Reaction):
    """Evicts each task that the scenario lists for a zone once."""

    def __init__(self, deployment: "Deployment", zone: str) -> None:
        self._deployment = deployment
        self._zone = zone

    def observe(self, observation: Observation) -> None:
        """Ignores measurements."""

    def decide(self, now: float) -> list[Action]:
        """Returns an eviction for each listed task and clears the list."""
        wanted = self._deployment.evictions_by_zone.pop(self._zone, [])
        return [Evict("", task_id) for task_id in wanted]

    def on_task_left(self, task_id: str) -> None:
        """Does nothing, as there is no state."""


class Deployment:
    """The workers, scheduler processes, store, VM list and callers of two zones.

    Attributes:
        store: the store that every process uses.
        platform: faults of the store.
        recorder: observations of workers and callers.
        configuration: the newest accepted configuration.
        evictions_by_zone: tasks that a zone's owner is to evict.
        reached_failpoints: every failpoint that any process reached.
        is_listing_stale: whether the VM list is no longer updated.
        processes: every scheduler process, including dead ones.
        workers_by_id: every worker, including failed ones.
        disabled_rule: rule that is disabled, None for the full protocol.
    """

    def __init__(
        self,
        on_failpoint: Callable[[Failpoint, ProcessControl], None] | None = None,
        disabled_rule: DisabledRule | None = None,
    ) -> None:
        self.store = MemoryStore()
        self.platform = Platform()
        self.platform.watches_open.set()
        self.recorder = Recorder()
        self.configuration = Configuration(1, {z: Zone() for z in ZONES}, {}, {}, Limits())
        self.evictions_by_zone: dict[str, list[str]] = {}
        self.reached_failpoints: set[Failpoint] = set()
        self.is_listing_stale = False
        self.processes: list[Process] = []
        self.workers_by_id: dict[str, RecordingWorker] = {}
        self.disabled_rule = disabled_rule
        self._on_failpoint = on_failpoint
        self._machines_by_id: dict[str, VirtualMachine] = {}
        self._listed_machines: list[VirtualMachine] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._name_count = 0

    def reach_failpoint(self, failpoint: Failpoint, control: ProcessControl) -> None:
        """Records that a process reached a failpoint and calls the hook that injects faults."""
        self.reached_failpoints.add(failpoint)
        if self._on_failpoint is not None:
            self._on_failpoint(failpoint, control)

    def add_worker(self, zone: str) -> str:
        """Adds a worker to a zone and to the VM list, and returns its id."""
        self._name_count += 1
        worker_id = f"{zone}-w{self._name_count}"
        capacity = Resources(CORES_PER_WORKER, MEMORY_MB)
        model = RecordingWorker(
            zone,
            worker_id,
            capacity,
            self.recorder,
            ignores_epoch=self.disabled_rule is DisabledRule.WORKER_IGNORES_EPOCH,
            ignores_lease=self.disabled_rule is DisabledRule.WORKER_IGNORES_LEASE,
        )
        self.workers_by_id[worker_id] = model
        self._machines_by_id[worker_id] = build_worker(
            worker_id, zone, address=worker_id, cores=CORES_PER_WORKER, memory_mb=MEMORY_MB
        )
        self._tasks.append(asyncio.create_task(run_heartbeats(model, self._send_heartbeat)))
        return worker_id

    def remove_worker(self, worker_id: str) -> None:
        """Fails a worker's VM, which stays in the VM list for `LISTING_LAG_S` seconds."""
        self.workers_by_id[worker_id].fail_vm()
        asyncio.get_running_loop().call_later(
            LISTING_LAG_S, self._machines_by_id.pop, worker_id, None
        )

    def busiest_worker(self, zone: str) -> RecordingWorker:
        """Returns the worker of a zone that runs the most tasks."""
        workers = [
            worker
            for worker in self.workers_by_id.values()
            if worker.zone == zone and not worker.has_failed
        ]
        return max(workers, key=lambda worker: len(worker.running()))

    def set_leaving(self, worker_id: str) -> None:
        """Marks a worker as leaving in the VM list."""
        vm = self._machines_by_id[worker_id]
        self._machines_by_id[worker_id] = dataclasses.replace(vm, state=VmState.LEAVING)
        self.recorder.leaving_at_by_worker[worker_id] = asyncio.get_running_loop().time()

    def workers(self, zone: str) -> list[VirtualMachine]:
        """Returns the listed VMs of a zone, as the VM directory does."""
        if not self.is_listing_stale:
            self._listed_machines = list(self._machines_by_id.values())
        return [vm for vm in self._listed_machines if vm.zone == zone]

    def set_zone(self, name: str, in_service: bool) -> None:
        """Accepts a configuration that takes a zone out of service or back into service."""
        now = asyncio.get_running_loop().time()
        periods = self.recorder.out_periods_by_zone.setdefault(name, [])
        is_out = bool(periods) and periods[-1][1] == float("inf")
        if in_service and is_out:
            periods[-1] = (periods[-1][0], now)
        elif not in_service and not is_out:
            periods.append((now, float("inf")))
        zones = self.configuration.zones_by_name | {
            name: Zone(in_service=in_service, drain_grace_s=2.0)
        }
        self.configuration = dataclasses.replace(
            self.configuration, version=self.configuration.version + 1, zones_by_name=zones
        )

    def start_process(self, zone: str) -> Process:
        """Starts an additional scheduler process in a zone."""
        self._name_count += 1
        name = f"{zone}-s{self._name_count}"
        control = ProcessControl(name)
        configuration_reader = _ConfigurationReader(self, control)
        store = FaultyStore(self.store, control, self.platform)

        def connect(address: str) -> WorkerClient:
            return FaultyWorkerClient(self._worker_client(address), control)

        owner = ShardOwner(
            zone,
            0,
            name,
            name,
            store,
            configuration_reader,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            connect,
            Metrics(),
            ShardPolicyBuilders(build_reaction=lambda: _ScriptedReaction(self, zone)),
            _RecordingFailpointHook(self, control),
        )
        if self.disabled_rule is DisabledRule.OWNER_IGNORES_LEASE:
            _disable_lease_expiry(owner)
        tasks = [asyncio.create_task(owner.run()), asyncio.create_task(configuration_reader.run())]
        process = Process(zone, control, owner, tasks)
        self.processes.append(process)
        return process

    def kill(self, control: ProcessControl) -> None:
        """Kills a process and starts another one in its place after `RESTART_AFTER_S` seconds."""
        if control.is_dead:
            return
        control.kill()
        process = self.find_process(control)
        loop = asyncio.get_running_loop()
        # Deferred, because the failpoint may have been reached within one of these tasks.
        for task in process.tasks:
            loop.call_soon(task.cancel)
        loop.call_later(RESTART_AFTER_S, self.start_process, process.zone)

    async def stop(self, process: Process) -> None:
        """Shuts a process down gracefully, as on SIGTERM, and starts another one in its place."""
        process.owner.stop()
        await asyncio.wait(process.tasks[:1], timeout=CALL_TIMEOUT_S * 5)
        for task in process.tasks:
            task.cancel()
        process.control.kill()
        self.start_process(process.zone)

    def find_process(self, control: ProcessControl) -> Process:
        """Returns the process to which a control belongs."""
        return next(process for process in self.processes if process.control is control)

    def serving(self, zone: str) -> Process | None:
        """Returns a live process that considers itself owner of a zone, None if there is none."""
        for process in self.processes:
            control = process.control
            if process.zone == zone and not control.is_dead and process.owner.is_serving():
                return process
        return None

    async def submit(self, spec: JobSpec, zone: str, retry: bool = True) -> None:
        """Submits a job as a caller does, and retries until it is accepted.

        Args:
            spec: the job.
            zone: the zone to which it is submitted.
            retry: whether to retry after a refusal.
        """
        record = CallerRecord(spec)
        self.recorder.jobs_by_id[spec.job_id] = record
        while record.accepted_at is None:
            outcome = await self._submit_once(spec, zone)
            if outcome is None:
                record.accepted_at = asyncio.get_running_loop().time()
            elif not retry:
                record.refused_as_not_run = outcome is Outcome.NOT_RUN
                return
            else:
                await asyncio.sleep(0.5)

    async def cancel(self, job_id: str) -> None:
        """Cancels a job as a caller does, and retries until the cancellation is confirmed."""
        record = self.recorder.jobs_by_id[job_id]
        while record.cancelled_at is None:
            for zone in ZONES:
                if await self._cancel_once(job_id, zone):
                    record.cancelled_at = asyncio.get_running_loop().time()
                    return
            await asyncio.sleep(0.5)

    def states_seen_by_callers(self, job_id: str) -> set[TaskState]:
        """Returns the states of a job as the serving owners report them."""
        states: set[TaskState] = set()
        for zone in ZONES:
            process = self.serving(zone)
            job = process.owner.shard_state.jobs_by_id.get(job_id) if process is not None else None
            if job is not None:
                states.add(job.state())
        return states

    async def close(self) -> None:
        """Cancels every asyncio task of the deployment."""
        tasks = [*self._tasks, *(task for process in self.processes for task in process.tasks)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def process_errors(self) -> list[BaseException]:
        """Returns the exceptions that ended processes."""
        ended = [t for p in self.processes for t in p.tasks if t.done() and not t.cancelled()]
        return [error for t in ended if (error := t.exception()) is not None]

    async def _submit_once(self, spec: JobSpec, zone: str) -> Outcome | None:
        process = self.serving(zone)
        if process is None:
            return Outcome.NOT_RUN
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await process.control.wait_while_frozen()
                result = await process.owner.submit(spec)
                await process.control.wait_while_frozen()
        except TimeoutError:
            return Outcome.UNKNOWN
        return result.err_value.outcome if isinstance(result, Err) else None

    async def _cancel_once(self, job_id: str, zone: str) -> bool:
        process = self.serving(zone)
        if process is None:
            return False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await process.control.wait_while_frozen()
                result = await process.owner.cancel(job_id)
                await process.control.wait_while_frozen()
        except TimeoutError:
            return False
        return not isinstance(result, Err)

    def _worker_client(self, worker_id: str) -> WorkerClient:
        model = self.workers_by_id[worker_id]
        return _RecordedWorkerClient(model)

    async def _send_heartbeat(self, address: str, heartbeat: Heartbeat) -> HeartbeatReply | None:
        await asyncio.sleep(0.001)
        worker = self.workers_by_id[heartbeat.worker_id]
        process = next(p for p in self.processes if p.control.name == address)
        control = process.control
        if worker.has_failed or worker.is_cut_off or control.is_dead or control.loses_heartbeats:
            return None
        try:
            async with asyncio.timeout(1.0):
                await control.wait_while_frozen()
                reply = await process.owner.heartbeat(heartbeat)
                await control.wait_while_frozen()
        except TimeoutError:
            return None
        return None if control.loses_heartbeat_replies else reply


def _disable_lease_expiry(owner: ShardOwner) -> None:
    renew = owner.ownership.renew
    owner.ownership.renew = lambda requested_at, ttl_s: renew(  # type: ignore[method-assign]
        requested_at, ttl_s + 1_000
    )


class _RecordedWorkerClient(MemoryWorkerClient):
    """Calls a worker; fails if its VM has failed or is cut off."""

    def __init__(self, model: RecordingWorker) -> None:
        super().__init__(model)
        self._worker = model

    async def _deliver(self) -> Err[WorkerCallFailure] | None:
        self.is_disconnected = self._worker.has_failed or self._worker.is_cut_off
        return await super()._deliver()
