"""A shard with several candidate owners, a store and workers, in one process on virtual time."""

import asyncio
import collections
import contextvars
import dataclasses
import json
import unittest
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any, TypeVar

from pollengate.accounts.job_access import Requester
from pollengate.memory_store import MAX_VALUE_BYTES, MemoryStore
from pollengate.store import (
    Changes,
    CommitResult,
    Delete,
    FailureKind,
    Listing,
    Operation,
    PolledStore,
    Put,
    StoreFailure,
    Unchanged,
)
from pollengate.workflow.clients import AdviceClient
from pollengate.workflow.job_service import JobResponse, OwnerResponse, Undecided
from pollengate.workflow.keys import owner_key, shard_of_job
from pollengate.workflow.model import Demand, Workflow
from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.progress import JobProgress
from pollengate.workflow.settings import Bounds, NodeSettings
from pollengate.workflow.shard_lease import ShardLease
from pollengate.workflow.shard_room import RoomSummary
from pollengate_standins.lease_worker import (
    MAX_LEASE_S,
    LeaseWorker,
    LeaseWorkerClient,
    StartRecord,
)
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.job_request_handler import JobRequestHandler
from pollengated.edge.layout import Layout
from pollengated.edge.membership import Membership
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.other_shards import (
    OtherShards,
    PlacementOutcome,
    PlacementRequest,
    PlacementUnknown,
    Refused,
)
from pollengated.edge.shard_elector import ShardElector
from pollengated.edge.shard_term import ShardTerm
from result import Err, Result

from tests.faulty_store import FaultyStore
from tests.run_history import overlapping_runs, runs_after_completion

__all__ = ["EdgeCluster", "EdgeNode", "EdgeTestCase"]

T = TypeVar("T")

LOST_CALL_TIMEOUT_S = 0.8
DEFAULT_CAPACITY = Demand(4000, 4000)
QUEUES = {"queue": "service"}
LEASE_RENEW_INTERVAL_S = 0.25
HEARTBEAT_S = 0.3
BOUNDS = Bounds(MAX_LEASE_S, 0.4, 3.0, 3.0, 0.25, 120.0, 3.0, 0.25, 0.5, 6.0, 4.0, 4.5)


class NodeStore(FaultyStore, PolledStore):
    """Access of one process to the shared store, with fault injection.

    Attributes:
        is_silent: whether calls get no reply and have no effect.
        unreadable_prefix: listings of this prefix get no reply; empty for none.
    """

    def __init__(self, shared_store: MemoryStore) -> None:
        super().__init__(shared_store, LOST_CALL_TIMEOUT_S)
        self.is_silent = False
        self.unreadable_prefix = ""

    async def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Lists the shared store unless the prefix is unreadable."""
        if prefix == self.unreadable_prefix:
            await asyncio.sleep(LOST_CALL_TIMEOUT_S)
            return Err(StoreFailure(FailureKind.UNKNOWN, "unreadable"))
        return await super().list(prefix)

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Polls the shared store unless it is down or silent."""
        if self.is_down or self.is_silent:
            await asyncio.sleep(LOST_CALL_TIMEOUT_S)
            return Err(StoreFailure(FailureKind.UNKNOWN, "silent"))
        return await self.shared_store.changes(prefix, after_revision, wait_s, max_bytes)

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies a transaction unless the store is silent."""
        if self.is_silent:
            await asyncio.sleep(LOST_CALL_TIMEOUT_S)
            return Err(StoreFailure(FailureKind.UNKNOWN, "silent"))
        return await super().commit(conditions, operations)

    async def forward(self, kind: Any, send: Any) -> Any:
        """Forwards a call unless the store is silent."""
        if self.is_silent:
            await asyncio.sleep(LOST_CALL_TIMEOUT_S)
            return Err(StoreFailure(FailureKind.UNKNOWN, "silent"))
        return await super().forward(kind, send)


@dataclasses.dataclass
class EdgeNode:
    """One edge process."""

    name: str
    store: NodeStore
    workers: LeaseWorkerClient
    electors: list[ShardElector]
    tasks: list[asyncio.Task[None]]
    membership: Membership
    metrics: EdgeMetrics
    context: contextvars.Context

    @property
    def elector(self) -> ShardElector:
        """The elector of shard 0."""
        return self.electors[0]

    async def run(self, main: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine as part of the process."""
        return await asyncio.create_task(main, context=self.context)

    def kill(self) -> None:
        """Ends the process at once; it writes and sends nothing more."""
        self.store.is_down = True
        self.workers.unreachable_worker_ids = set(self.workers.workers_by_id)
        for task in self.tasks:
            task.cancel()


class ClusterShards(OtherShards):
    """Reaches the owners of all shards of a cluster."""

    def __init__(self, cluster: "EdgeCluster") -> None:
        self._cluster = cluster

    def summaries_by_shard(self, service: str) -> dict[int, RoomSummary]:
        """Returns the room of all shards, as their owners compute it now."""
        now = asyncio.get_running_loop().time()
        found: dict[int, RoomSummary] = {}
        for shard in range(self._cluster.shards):
            term = self._cluster.term(shard)
            summaries = term.request_handler.offered_room(now) if term else {}
            if service in summaries:
                found[shard] = summaries[service]
        return found

    async def place(self, shard: int, request: PlacementRequest) -> PlacementOutcome:
        """Asks the owner of a shard; the request takes effect even if its reply is lost."""
        term = self._cluster.term(shard)
        if term is None:
            return Refused("no_owner")
        accepting = asyncio.create_task(term.request_handler.acceptor.accept(request))
        await asyncio.wait((accepting,), timeout=LOST_CALL_TIMEOUT_S)
        if self._cluster.loses_placement_replies or not accepting.done():
            return PlacementUnknown("reply lost")
        return accepting.result()

    async def show(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Asks the owner of a shard for the state of a job."""
        return await self._call(shard, lambda handler: handler.show(job_id, requester))

    async def cancel(self, shard: int, job_id: str, requester: Requester) -> OwnerResponse:
        """Asks the owner of a shard to end a job; it takes effect even if its reply is lost."""
        return await self._call(shard, lambda handler: handler.cancel(job_id, requester))

    async def notify_returned(self, shard: int, task: str) -> None:
        """Tells the owner of a shard, unless calls are lost."""
        term = self._cluster.term(shard)
        if term is not None and not self._cluster.loses_placement_replies:
            term.request_handler.delegator.read_again(task)

    async def _call(
        self, shard: int, send: Callable[[JobRequestHandler], Awaitable[OwnerResponse]]
    ) -> OwnerResponse:
        term = self._cluster.term(shard)
        if term is None:
            return Undecided("no_owner")
        response = await send(term.request_handler)
        if self._cluster.loses_placement_replies:
            await asyncio.sleep(LOST_CALL_TIMEOUT_S)
            return Undecided("reply lost")
        return response


class EdgeCluster:
    """Edge processes that are candidate owners of all shards, with their store and workers.

    Args:
        workers: number of workers, which belong to the shards in turn.
        duration_s: duration of every task; if None, the workers choose it.
        shards: number of shards.
        places_elsewhere: whether owners reach each other to place jobs in other shards.
        capacity: capacity of every worker.
        zones: the workers' zones, in turn.
        max_lease_s: longest lease that the workers accept.

    Attributes:
        store: the store that all processes share.
        zone_by_worker: zone of each worker.
        rack_by_worker: rack of each worker.
        capacity_by_worker: capacity of each worker.
        service_by_worker: service of each worker.
        workers_by_id: the workers that all processes share.
        history: every run that has started.
        nodes_by_name: all processes, including killed ones.
        policy: settings of scheduling decisions, for processes that start afterwards.
        advice: client of the advice service, for processes that start afterwards; None for none.
        loses_placement_replies: whether requests to take a job of another shard get no reply.
    """

    def __init__(
        self,
        workers: int = 3,
        duration_s: float | None = None,
        shards: int = 1,
        places_elsewhere: bool = True,
        capacity: Demand = DEFAULT_CAPACITY,
        zones: Sequence[str] = ("a",),
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.store = MemoryStore()
        self.history: list[StartRecord] = []
        names = [f"w{number}" for number in range(workers)]
        self.capacity_by_worker = collections.defaultdict(lambda: capacity)
        self.service_by_worker = collections.defaultdict(lambda: "service")
        self.zone_by_worker = {name: zones[n % len(zones)] for n, name in enumerate(names)}
        self.rack_by_worker = {name: f"r{n % shards}" for n, name in enumerate(names)}
        self._layout = Layout(shards, {f"r{shard}": shard for shard in range(shards)})
        self.workers_by_id = {name: LeaseWorker(name, self.history) for name in names}
        self._bounds = dataclasses.replace(BOUNDS, max_worker_lease_s=max_lease_s)
        for worker in self.workers_by_id.values():
            worker.max_lease_s = max_lease_s
        if duration_s is not None:
            for worker in self.workers_by_id.values():
                worker.duration_of = lambda task: duration_s
        self.nodes_by_name: dict[str, EdgeNode] = {}
        self.policy = SchedulingPolicy()
        self.advice: AdviceClient | None = None
        self.loses_placement_replies = False
        self._places_elsewhere = places_elsewhere
        self._incarnations = 0

    @property
    def shards(self) -> int:
        """Number of shards."""
        return self._layout.shards

    async def open(self, nodes: int = 2) -> None:
        """Writes a configuration, registers workers, starts processes and waits for an owner."""
        await self.configure(1)
        for name in self.workers_by_id:
            await self.register(name)
        self._registrar = asyncio.create_task(self._register_restarted())
        for number in range(nodes):
            self.start_node(f"n{number}")
        for shard in range(self._layout.shards):
            await self.wait_for_term(shard=shard)

    async def configure(
        self, version: int, service_by_queue: Mapping[str, str] = QUEUES, **fields: Any
    ) -> None:
        """Writes a configuration with queues, by default one, and further fields."""
        routes = [
            {
                "name": queue,
                "host": "host",
                "prefix": "/jobs/" if queue == "queue" else f"/{queue}/",
                "service": service,
                "maxAttempts": 2,
                "stretch": 2.0,
            }
            for queue, service in service_by_queue.items()
        ]
        services = [{"name": service} for service in service_by_queue.values()]
        document = {"version": version, "routes": routes, "services": services}
        document |= fields
        await self.store.commit((), (Put("op/config", json.dumps(document).encode()),))

    async def register(self, worker_id: str, state: str = "ready") -> None:
        """Writes a worker's registration."""
        capacity = self.capacity_by_worker[worker_id]
        document = {
            "service": self.service_by_worker[worker_id],
            "addr": f"{worker_id}:1",
            "zone": self.zone_by_worker[worker_id],
            "state": state,
            "capacity": {
                "cpu": capacity.cpu_millis,
                "memMb": capacity.memory_mb,
                "gpu": capacity.accelerators,
            },
            "labels": ["k", self.rack_by_worker[worker_id]],
            "born": self.workers_by_id[worker_id].born_ms,
        }
        put = Put(f"servers/{worker_id}", json.dumps(document).encode())
        await self.store.commit((), (put,))

    async def _register_restarted(self) -> None:
        """Writes the registrations of workers that have started again under their ids."""
        born_by_id = {name: worker.born_ms for name, worker in self.workers_by_id.items()}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, worker in self.workers_by_id.items():
                is_up = not (worker.is_unreachable or worker.is_gone or worker.is_replaced)
                if worker.born_ms == born_by_id.setdefault(name, worker.born_ms) or not is_up:
                    continue
                born_by_id[name] = worker.born_ms
                if (await self.store.get(f"servers/{name}")).unwrap() is not None:
                    await self.register(name)

    async def drain_worker(self, worker_id: str) -> None:
        """Lets a worker drain for a second and leave."""
        await self.register(worker_id, "draining")
        await asyncio.sleep(1.0)
        await self.store.commit((), (Delete(f"servers/{worker_id}"),))
        self.workers_by_id[worker_id].crash()
        self.workers_by_id[worker_id].is_unreachable = True

    def start_node(self, name: str) -> EdgeNode:
        """Starts an edge process."""
        self._incarnations += 1
        clocks = Clocks.of_loop()
        context = self.create_context()
        store = self.create_store(context)
        workers = self.create_worker_client(context)
        record = NodeRecord(name, f"{name}:1", str(self._incarnations))
        directory = NodeDirectory(store, clocks)
        operator_view = OperatorView(store, clocks)
        metrics = EdgeMetrics()

        def create_term(shard: int, shard_lease: ShardLease) -> ShardTerm:
            return ShardTerm(
                shard,
                self._layout,
                build_settings(name, self._bounds),
                store,
                workers,
                self.advice,
                shard_lease,
                operator_view,
                clocks,
                metrics,
                self.policy,
                ClusterShards(self) if self._places_elsewhere else None,
            )

        electors = [
            ShardElector(shard, record, store, directory, clocks, create_term)
            for shard in range(self._layout.shards)
        ]
        membership = Membership(store, record)
        loops = [
            directory.cache.run(),
            operator_view.cache.run(),
            membership.run(),
            *(elector.run() for elector in electors),
        ]
        tasks = [asyncio.create_task(loop, context=context.copy()) for loop in loops]
        node = EdgeNode(name, store, workers, electors, tasks, membership, metrics, context)
        self.nodes_by_name[name] = node
        return node

    def create_context(self) -> contextvars.Context:
        """Returns the context in which all tasks of a new process run."""
        return contextvars.copy_context()

    def create_store(self, context: contextvars.Context) -> NodeStore:
        """Returns a new process's access to the shared store."""
        return NodeStore(self.store)

    def create_worker_client(self, context: contextvars.Context) -> LeaseWorkerClient:
        """Returns the client through which a new process calls the workers."""
        return LeaseWorkerClient(self.workers_by_id)

    def owner(self, other_than: str = "", shard: int = 0) -> EdgeNode | None:
        """Returns the process that serves a shard, None if there is none.

        Args:
            other_than: name of a process that does not count.
            shard: number of the shard.
        """
        for node in self.nodes_by_name.values():
            term = node.electors[shard].term
            now = asyncio.get_running_loop().time()
            is_serving = term is not None and term.is_serving and term.shard_lease.is_valid(now)
            if is_serving and node.name != other_than:
                return node
        return None

    def term(self, shard: int = 0) -> ShardTerm | None:
        """Returns the term of the process that serves a shard, None if there is none."""
        node = self.owner(shard=shard)
        return None if node is None else node.electors[shard].term

    def serving_node(self) -> EdgeNode:
        """Returns the process that serves the shard; fails if there is none."""
        node = self.owner()
        assert node is not None
        return node

    async def wait_for_term(
        self, other_than: str = "", timeout_s: float = 30.0, shard: int = 0
    ) -> ShardTerm:
        """Waits until a process serves a shard and returns its term."""
        async with asyncio.timeout(timeout_s):
            while True:
                node = self.owner(other_than, shard)
                term = node.electors[shard].term if node is not None else None
                if term is not None:
                    return term
                await asyncio.sleep(0.01)

    async def pause_store(self, pause_s: float) -> None:
        """Makes the store unavailable to all processes; the owner's lease does not expire."""
        entry = (await self.store.get(owner_key(0))).unwrap()
        assert entry is not None
        for node in self.nodes_by_name.values():
            node.store.is_down = True
        for _ in range(round(pause_s / LEASE_RENEW_INTERVAL_S)):
            await self.store.renew_lease(entry.lease_id)
            await asyncio.sleep(LEASE_RENEW_INTERVAL_S)
        for node in self.nodes_by_name.values():
            node.store.is_down = False

    async def submit(
        self,
        job_id: str,
        workflow: Workflow,
        other_than: str = "",
        account: str = "",
        queue: str = "queue",
    ) -> JobResponse:
        """Submits a job to the owner of its shard."""
        shard = shard_of_job(job_id, self._layout.shards)
        term = await self.wait_for_term(other_than, shard=shard)
        return await term.request_handler.submit(queue, job_id, workflow, account)

    async def wait_for_state(self, job_id: str, state: str, timeout_s: float = 60.0) -> float:
        """Waits until the visible state of a job is `state`; returns the seconds waited."""
        began_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(timeout_s):
            while True:
                job = self.find_job(job_id)
                if job is not None and job.visible_state == state:
                    return asyncio.get_running_loop().time() - began_at
                await asyncio.sleep(0.02)

    def find_job(self, job_id: str) -> JobProgress | None:
        """Returns a job from the table of the owner that has it, None if no owner has it."""
        for shard in range(self.shards):
            term = self.term(shard)
            job = term.job_table.jobs_by_id.get(job_id) if term else None
            if job is not None:
                return job
        return None

    def update_history(self) -> list[StartRecord]:
        """Returns the history after the workers have recorded the runs that have ended."""
        for worker in self.workers_by_id.values():
            worker.advance()
        return self.history


def build_settings(name: str, bounds: Bounds = BOUNDS) -> NodeSettings:
    """Returns the settings of an edge process."""
    return NodeSettings(
        node=name,
        zone="a",
        zones=("a",),
        client_address="",
        readiness_address="",
        rpc_address=f"{name}:1",
        metrics_address="",
        store_address="",
        max_value_bytes=MAX_VALUE_BYTES,
        advice_address="",
        cores=1.0,
        memory_mb=300,
        is_first_start=True,
        bounds=bounds,
    )


class EdgeTestCase(unittest.TestCase):
    """Base class with the check that ends most scenarios."""

    def check_single_execution(self, cluster: EdgeCluster) -> None:
        """Asserts that no task ran twice."""
        self.check_no_overlap(cluster)
        self.assertEqual(runs_after_completion(cluster.history), [])

    def check_no_overlap(self, cluster: EdgeCluster) -> None:
        """Asserts that no task had two runs at the same time; it may run again after a lost end."""
        self.assertEqual(overlapping_runs(cluster.update_history()), [])
