"""A zone on virtual time with an in-memory store, modelled workers and shard owners."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from pollengate.configuration import Configuration, Limits, Zone
from pollengate.failpoints import Failpoint, FailpointHook, NoFailpoints
from pollengate.freshness import Freshness
from pollengate.jobs import JobSpec, Resources, TaskState
from pollengate.memory_store import MemoryStore
from pollengate.policy_builders import ShardPolicyBuilders
from pollengate.refusals import Refusal
from pollengate.store import Store
from pollengate.virtual_machines import VirtualMachine
from pollengate.worker import Heartbeat, HeartbeatReply, TaskRef
from pollengate_standins.memory_worker import MemoryWorkerClient
from pollengate_standins.worker_model import WorkerModel
from pollengate_standins.worker_server import run_heartbeats
from pollengated.metrics import Metrics
from pollengated.shard_owner import ShardOwner
from result import Err

from tests.utils import build_spec, build_worker

__all__ = ["BlockingFailpoint", "StubConfigurationCache", "ZoneFake", "run_until"]

CORES_PER_WORKER = 4


class StubConfigurationCache:
    """A configuration set by the test; it is fresh unless `is_fresh` is False."""

    def __init__(self, *zones: str) -> None:
        self.is_fresh = True
        self.current = Configuration(1, {name: Zone() for name in zones}, {}, {}, Limits())

    @property
    def freshness(self) -> Freshness:
        """A freshness that was confirmed just now, or never if `is_fresh` is False."""
        freshness = Freshness()
        if self.is_fresh:
            freshness.confirm(asyncio.get_running_loop().time())
        return freshness

    def set_zone(self, name: str, **fields: Any) -> None:
        """Replaces the settings of one zone in a new version of the configuration."""
        zones = self.current.zones_by_name | {name: Zone(**fields)}
        self.current = dataclasses.replace(
            self.current, version=self.current.version + 1, zones_by_name=zones
        )


class BlockingFailpoint(FailpointHook):
    """Blocks every caller that reaches one failpoint until `released` is set."""

    def __init__(self, failpoint: Failpoint) -> None:
        self.failpoint = failpoint
        self.reached = asyncio.Event()
        self.released = asyncio.Event()

    async def reach(self, failpoint: Failpoint, subject: str = "") -> None:
        """Waits for `released` at the chosen failpoint; passes all others."""
        if failpoint is self.failpoint:
            self.reached.set()
            await self.released.wait()


class ZoneFake:
    """A zone with workers, one shard and any number of processes that may own it."""

    def __init__(
        self, store: Store | None = None, workers: int = 2, zone: str = "a", **worker: Any
    ) -> None:
        self.zone = zone
        self.store = store if store is not None else MemoryStore()
        self.configuration_cache = StubConfigurationCache("a", "b")
        self.machines: list[VirtualMachine] = []
        self.models_by_id: dict[str, WorkerModel] = {}
        self.clients_by_id: dict[str, MemoryWorkerClient] = {}
        self.owners: list[ShardOwner] = []
        self.workers_without_heartbeat: set[str] = set()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._heartbeat_tasks: list[asyncio.Task[None]] = []
        for number in range(workers):
            self.add_worker(f"{zone}-w{number}", **worker)

    def add_worker(
        self,
        worker_id: str,
        cores: int = CORES_PER_WORKER,
        memory_mb: int = 1000,
        kind: type[WorkerModel] = WorkerModel,
    ) -> None:
        """Adds a worker that sends heartbeats and is in the VM listing."""
        vm = build_worker(worker_id, self.zone, address=worker_id, cores=cores, memory_mb=memory_mb)
        self.machines.append(vm)
        model = kind(worker_id, Resources(cores, memory_mb))
        self.models_by_id[worker_id] = model
        self.clients_by_id[worker_id] = MemoryWorkerClient(model)
        self._heartbeat_tasks.append(
            asyncio.create_task(run_heartbeats(model, self._send_heartbeat))
        )

    def workers(self, zone: str) -> list[VirtualMachine]:
        """Returns the workers of a zone; stands in for `VmDirectory.workers`."""
        return [vm for vm in self.machines if vm.zone == zone]

    def start_owner(
        self,
        failpoints: FailpointHook | None = None,
        policies: ShardPolicyBuilders | None = None,
        store: Store | None = None,
        connect: Callable[[str], Any] | None = None,
        metrics: Metrics | None = None,
    ) -> ShardOwner:
        """Starts another process, which acquires the shard or becomes a standby."""
        number = len(self.owners)
        owner = ShardOwner(
            self.zone,
            0,
            f"{self.zone}-s{number}",
            f"{self.zone}-s{number}",
            store if store is not None else self.store,
            self.configuration_cache,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            connect if connect is not None else self.clients_by_id.__getitem__,
            metrics if metrics is not None else Metrics(),
            policies,
            failpoints if failpoints is not None else NoFailpoints(),
        )
        self.owners.append(owner)
        self._tasks[number] = asyncio.create_task(owner.run())
        return owner

    def kill(self, owner: ShardOwner) -> None:
        """Kills a process: it neither hands over nor writes anything."""
        number = self.owners.index(owner)
        self._tasks[number].cancel()
        owner.ownership.drop()

    async def stop(self, owner: ShardOwner) -> None:
        """Shuts a process down gracefully, as SIGTERM does."""
        owner.stop()
        await self._tasks[self.owners.index(owner)]

    async def serving(self, timeout_s: float = 30.0) -> ShardOwner:
        """Waits until an owner is serving and returns it."""
        await run_until(lambda: any(owner.is_serving() for owner in self.owners), timeout_s)
        return next(owner for owner in self.owners if owner.is_serving())

    async def submit(self, **fields: Any) -> JobSpec:
        """Submits a job to the serving owner.

        Raises:
            AssertionError: the job was refused.
        """
        spec = build_spec(**fields)
        result = await (await self.serving()).submit(spec)
        if isinstance(result, Err):
            refusal: Refusal = result.err_value
            raise AssertionError(f"refused: {refusal}")
        return spec

    async def state_of(self, job_id: str) -> TaskState:
        """Returns a job's state as the serving owner knows it."""
        return (await self.serving()).shard_state.jobs_by_id[job_id].state()

    async def wait_for(self, job_id: str, state: TaskState, timeout_s: float = 60.0) -> None:
        """Waits until a job is in a state, as a serving owner knows it."""

        def is_in_state() -> bool:
            for owner in self.owners:
                if owner.is_serving() and job_id in owner.shard_state.jobs_by_id:
                    return owner.shard_state.jobs_by_id[job_id].state() is state
            return False

        await run_until(is_in_state, timeout_s)

    def running(self) -> list[TaskRef]:
        """Returns the attempts that are running on the zone's workers."""
        return [ref for model in self.models_by_id.values() for ref in model.running()]

    def starts(self) -> list[TaskRef]:
        """Returns every attempt that the zone's workers have started."""
        return [ref for model in self.models_by_id.values() for ref in model.starts]

    async def _send_heartbeat(self, address: str, heartbeat: Heartbeat) -> HeartbeatReply | None:
        await asyncio.sleep(0.001)
        if heartbeat.worker_id in self.workers_without_heartbeat:
            return None
        for owner, task in zip(self.owners, self._tasks.values(), strict=True):
            if address == f"{self.zone}-s{self.owners.index(owner)}" and not task.done():
                return await owner.heartbeat(heartbeat)
        return None


async def run_until(is_done: Callable[[], bool], timeout_s: float = 60.0) -> None:
    """Waits until a condition is true.

    Raises:
        TimeoutError: it was still false after `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        while not is_done():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
