"""Hosts the platform and the workers of one zone, and starts schedulers as real processes."""

import asyncio
import dataclasses
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import uvicorn
from grpclib.server import Server
from litestar import Litestar
from pollengate.configuration import CONFIGURATION_KEY
from pollengate.jobs import JobSpec, Resources
from pollengate.memory_store import MemoryStore
from pollengate.ownership import OWNERS_PREFIX, Owner, decode_owner
from pollengate.store import CommitResult, Operation, Put, StoreFailure, Unchanged
from pollengate.worker import OrderReply, TaskOrder
from pollengate_net.scheduler_client import SchedulerClient
from pollengate_net.worker_messages import order_to_message
from pollengate_standins.store_server import create_store_app
from pollengate_standins.vm_list_server import create_vm_list_app
from pollengate_standins.worker_server import WorkerModel, WorkerService
from result import Err, Result

__all__ = [
    "CountingStore",
    "SchedulerProcess",
    "ZoneHost",
    "cpu_seconds",
    "free_address",
    "memory_mb",
]

HOST = "127.0.0.1"
ZONE = "bench"
BIN = Path(sys.executable).parent
POLL_INTERVAL_S = 0.02


class CountingStore(MemoryStore):
    """An in-memory store that counts calls by kind and the bytes written."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: Counter[str] = Counter()
        self.bytes_written = 0

    async def get(self, key: str) -> Any:
        """Reads one key."""
        self.calls["get"] += 1
        return await super().get(key)

    async def list(self, prefix: str) -> Any:
        """Reads every key below a prefix."""
        self.calls["list"] += 1
        return await super().list(prefix)

    async def renew_lease(self, lease_id: int) -> Any:
        """Renews a lease."""
        self.calls["keep_lease"] += 1
        return await super().renew_lease(lease_id)

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Applies a transaction."""
        self.calls["commit"] += 1
        self.bytes_written += sum(len(o.value) for o in operations if isinstance(o, Put))
        return await super().commit(conditions, operations)


@dataclasses.dataclass(slots=True)
class SchedulerProcess:
    """A scheduler that this process started."""

    process: subprocess.Popen[bytes]
    address: str

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, but not to its children."""
        self.process.send_signal(number)


class _TimedWorkerModel(WorkerModel):
    """A worker that records the loop time of each start and counts the bytes of start orders."""

    started_at: list[float]
    order_bytes: int

    def start(self, epoch: int, session: int, orders: Sequence[TaskOrder]) -> list[OrderReply]:
        replies = super().start(epoch, session, orders)
        now = asyncio.get_running_loop().time()
        self.started_at += [now] * sum(reply.accepted for reply in replies)
        self.order_bytes += sum(order_to_message(order).ByteSize() for order in orders)
        return replies


class ZoneHost:
    """The store, the VM list and the workers of one zone on the loopback interface."""

    def __init__(self, workers: int, cores: int) -> None:
        self.store = CountingStore()
        self.models = [
            _TimedWorkerModel(f"w{number}", Resources(cores, 10**6)) for number in range(workers)
        ]
        for model in self.models:
            model.started_at = []
            model.order_bytes = 0
        self.schedulers: list[SchedulerProcess] = []
        self._cores = cores
        self._client = SchedulerClient()
        self._directory = Path(tempfile.mkdtemp())
        self._store_address, self._vm_list_address = free_address(), free_address()
        self._tasks: list[asyncio.Task[Any]] = []
        self._servers: list[Server] = []

    async def start(self) -> None:
        """Starts the servers and puts the zone in service."""
        machines = [await self._serve_worker(model) for model in self.models]
        listing = self._directory / "vms.json"
        listing.write_text(json.dumps(machines))
        self._serve_http(create_store_app(self.store), self._store_address)
        self._serve_http(create_vm_list_app(listing), self._vm_list_address)
        document = {"zones": {ZONE: {"in_service": True}}}
        value = json.dumps({"version": 1, "configuration": document}).encode()
        await self.store.commit((), (Put(CONFIGURATION_KEY, value),))

    def start_scheduler(self) -> SchedulerProcess:
        """Starts another scheduler process."""
        name, address = f"s{len(self.schedulers)}", free_address()
        path = self.write_settings(name, address)
        log = (self._directory / f"{name}.log").open("wb")
        command = [str(BIN / "pollengated"), "scheduler", "--settings", str(path)]
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.schedulers.append(SchedulerProcess(process, address))
        return self.schedulers[-1]

    def write_settings(self, name: str, rpc_address: str) -> Path:
        """Writes the settings file of one process and returns its path."""
        path = self._directory / f"{name}.toml"
        path.write_text(
            f'[process]\nid = "{name}"\nzone = "{ZONE}"\n'
            f'[listen]\nhttp = "{free_address()}"\nrpc = "{rpc_address}"\n'
            f'[platform]\nstore = "{self._store_address}"\nvm_list = "{self._vm_list_address}"\n'
        )
        return path

    async def owner(self) -> Owner:
        """Waits until the zone's shard has an owner and returns it."""
        while True:
            listing = (await MemoryStore.list(self.store, OWNERS_PREFIX)).unwrap()
            if listing.entries:
                return decode_owner(listing.entries[0])
            await asyncio.sleep(POLL_INTERVAL_S)

    async def owner_process(self) -> SchedulerProcess:
        """Waits until the zone's shard has an owner and returns its process."""
        address = (await self.owner()).address
        return next(one for one in self.schedulers if one.address == address)

    async def submit(self, spec: JobSpec) -> None:
        """Submits a job and retries until it is accepted."""
        while True:
            reply = await self._client.submit((await self.owner()).address, spec, ZONE, 0)
            if not isinstance(reply, Err) and not reply.ok_value.HasField("refusal"):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def starts(self) -> list[float]:
        """Returns the loop times of all starts, sorted."""
        return sorted(at for model in self.models for at in model.started_at)

    async def stop(self) -> None:
        """Stops the scheduler processes and the servers."""
        for scheduler in self.schedulers:
            if scheduler.process.poll() is None:
                scheduler.signal(signal.SIGTERM)
        await asyncio.to_thread(lambda: [s.process.wait() for s in self.schedulers])
        self._client.close()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve_worker(self, model: WorkerModel) -> dict[str, object]:
        address = free_address()
        service = WorkerService(model)
        server = Server([service])
        await server.start(HOST, int(address.rpartition(":")[2]))
        self._servers.append(server)
        self._tasks.append(asyncio.create_task(service.send_heartbeats()))
        return {
            "vm_id": model.worker_id,
            "zone": ZONE,
            "rack": "r0",
            "kind": "worker",
            "state": "live",
            "address": address,
            "cores": self._cores,
            "memory_mb": 10**6,
            "accelerators": 0,
        }

    def _serve_http(self, app: Litestar, address: str) -> None:
        port = int(address.rpartition(":")[2])
        config = uvicorn.Config(app, host=HOST, port=port, log_level="error", lifespan="off")
        server = uvicorn.Server(config)
        self._tasks.append(asyncio.create_task(server._serve()))


def cpu_seconds(process_id: int) -> float:
    """Returns the processor seconds that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process_id: int) -> float:
    """Returns the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_address() -> str:
    """Returns an unused loopback address."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"
