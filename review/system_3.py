"""Starts edge processes with the command of the deploy file, on loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from http_3 import call
from runner_3 import Gangs, Runner
from store_3 import Store

ROOT = Path(__file__).resolve().parents[1]
SERVICE, ZONES = "svc", ("zone-a", "zone-b", "zone-c")
HOST, PREFIX = "jobs.example", "/q/"
# Of deploy/system.toml.
METRICS_PORT = 9464


class Recorder:
    """Writes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()
        self.rows: list[dict] = []

    def __call__(self, event: str, **fields: object) -> None:
        row = {"t": round(time.monotonic() - self._began_at, 3), "event": event} | fields
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")

    def flush(self) -> None:
        self._file.flush()

    def now(self) -> float:
        return time.monotonic() - self._began_at


def free_address() -> str:
    """Returns a loopback address on which the port for metrics is free."""
    while True:
        address = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        if are_free(address, [METRICS_PORT]):
            return address


def are_free(address: str, ports: list[int]) -> bool:
    """Returns whether all ports of an address are free."""
    try:
        for port in ports:
            with socket.socket() as probe:
                probe.bind((address, port))
    except OSError:
        return False
    return True


class Edge:
    """One edge process."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.folder = folder
        self.port = 0
        while not self.port or not are_free(ip, [*range(self.port, self.port + 10)]):
            self.port = random.randint(20_000, 28_000)
        self.front = f"{ip}:{self.port}"
        self.ready = f"{ip}:{self.port + 1}"
        self.process: subprocess.Popen | None = None

    def write_settings(self, store_address: str, bounds: dict, advice: str = "") -> None:
        lines = [
            f'node = "{self.name}"',
            'role = "edge"',
            'class = "edge"',
            'serves = ["edge","control"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "region"',
            f"internalPortRange = [{self.port + 2},{self.port + 9}]",
            "bootstrap = true",
            'discovery = "platform"',
            "heartbeatMs = 1100",
            'controlMode = "request"',
            *([f'advice = "{advice}"'] if advice else []),
            "[zones]",
            *(f'{zone} = "region"' for zone in ZONES),
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ready}"',
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "[platform]",
            f'addr = "{store_address}"',
            'form = "kv"',
            "valueBytes = 1048576",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in bounds.items()),
        ]
        (self.folder / f"{self.name}.toml").write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["edge"]["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "POLLENGATE_BOOT": str(self.folder / f"{self.name}.toml"),
        }
        with (self.folder / f"{self.name}.log").open("a") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_lines(self) -> list[dict]:
        rows = []
        for line in (self.folder / f"{self.name}.log").read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                rows.append({"message": line})
        return rows


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "maxStretchMs": 5000,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopMs": 400,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "crossRackFactor": 3,
    "saveS": 0.5,
    "restoreMs": 250,
    "noticeMs": 4500,
    "moveS": 1.5,
    "upkeepS": 2,
    "requireFence": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class System:
    """A small deployment: edge processes, the store, runners and one queue."""

    def __init__(self, record_path: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Recorder(record_path)
        self.store = Store()
        self.edges: list[Edge] = []
        self.runners: list[Runner] = []
        self.gangs = Gangs()
        self.plan: Callable[[str, str], tuple[float, str]] = lambda task, spec: (1.0, "done")
        self.version = 3
        self.routes: list[dict] = [self.route("queue", SERVICE)]
        self.services = [{"name": SERVICE, "rejectsOverload": True}]

    @staticmethod
    def route(name: str, service: str, prefix: str = PREFIX, **fields: object) -> dict:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "service": service,
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "maxAttempts": 4,
            "stretch": 2.0,
        } | fields

    def configure(self) -> None:
        """Writes a new version of the configuration, as the operator."""
        self.version += 2
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {"maxHeaderBytes": 65536, "maxBodyBytes": 262144},
        }
        self.store.put("op/config", document)
        self.record("configuration", version=self.version)

    async def start(
        self,
        edges: int,
        runners: int,
        advice: str = "",
        capacity: dict | None = None,
        bounds: dict | None = None,
        labels: Callable[[int], tuple[str, str]] | None = None,
    ) -> None:
        self.configure()
        for number in range(runners):
            runner = Runner(
                self.store,
                f"i-{number:04d}",
                SERVICE,
                ZONES[number % 3],
                labels(number) if labels else ("a", f"r{number // 4}"),
                capacity or {"cpu": 64000, "memMb": 256000, "gpu": 0},
                lambda task, spec: self.plan(task, spec),
                self.record,
                gangs=self.gangs,
            )
            await runner.start()
            self.runners.append(runner)
        for number in range(edges):
            edge = Edge(f"edge-{number}", free_address(), ZONES[number % 3], self.folder)
            address = await self.store.open(edge.name)
            edge.write_settings(address, BOUNDS | (bounds or {}), advice)
            edge.start()
            self.edges.append(edge)
        async with asyncio.timeout(40):
            for edge in self.edges:
                while True:
                    response = await call(edge.ready, "GET", "/v1/readiness", timeout_s=1)
                    if response is not None and response[0] == 200:
                        break
                    if edge.process.poll() is not None:
                        raise RuntimeError(f"{edge.name} has ended")
                    await asyncio.sleep(0.1)
        self.record("ready")

    def owner(self, shard: int = 0) -> Edge | None:
        """Returns the process that owns a shard, as registered in the store."""
        for key in self.store.items:
            if "/owner" in key and key.endswith(f"/{shard}"):
                value = self.store.value(key)
                for edge in self.edges:
                    if edge.name == value.get("node"):
                        return edge
        return None

    async def request(
        self, edge: Edge, method: str, path: str, document: object = None, timeout_s: float = 3.0
    ) -> tuple[int, dict] | None:
        began_at = self.record.now()
        headers = {"Host": HOST, "Deadline-Ms": str(int(timeout_s * 1000))}
        response = await call(edge.front, method, path, document, headers, timeout_s)
        self.record(
            "request",
            method=method,
            path=path,
            to=edge.name,
            sent_at=round(began_at, 3),
            status=response and response[0],
            body=response and response[1],
        )
        return response

    async def stop(self) -> None:
        self.record.flush()
        for edge in self.edges:
            edge.send(signal.SIGCONT)
            edge.send(signal.SIGKILL)
        for edge in self.edges:
            if edge.process is not None:
                edge.process.wait()
        for runner in self.runners:
            if runner.is_up:
                await runner.crash()
        for server in self.store.servers.values():
            await server.close()

    def remove_folder(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)


def job_id() -> str:
    """Returns an id as a client chooses it."""
    return f"{random.getrandbits(64):016x}"


def began(record: Recorder, job: str) -> list[dict]:
    """Returns the starts of a job, in their order."""
    return [r for r in record.rows if r["event"] == "run began" and r["task"].startswith(job)]


def run_case(main: Callable[[], Awaitable[int]], limit_s: float) -> None:
    """Ends the script with the code that a case returns, or with 2 if it could not run."""

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main()

    code = 2
    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
    sys.exit(code)
