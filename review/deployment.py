"""Starts a small deployment: the project's own programs, and stand-ins for what is around them."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from http_io import call
from runners import Bounds, Floor, Record, Runner
from store import Store

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("lima-sur-a", "lima-sur-b", "lima-sur-c")
SERVICE = "marcador"
HOST = "nony24.example"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# The figures of flipper-andina.
SETTINGS = """\
node = "{node}"
role = "edge"
class = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "{zone}"
region = "lima-sur"
internalPortRange = [7720,7735]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = {heartbeat_ms}
contracts = ["base","drain","config","cost","recover","sched","places","platform"]
controlMode = "request"
[zones]
lima-sur-a = "lima-sur"
lima-sur-b = "lima-sur"
lima-sur-c = "lima-sur"
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
downgradeMs = 250
maxStretchMs = 5000
evacuateMs = 5000
recoveryS = 12
holdMaxMs = {hold_max_ms}
stopMs = {stop_ms}
gangMs = {gang_ms}
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
crossRackFactor = 3
saveS = {save_s}
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
requireFence = false
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
addr = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Edge:
    """One process of the project's own edge role, started as the deploy file says."""

    def __init__(self, deployment: "Deployment", node: str, zone: str) -> None:
        self.node, self.zone = node, zone
        self.ip = deployment.new_ip()
        self.front, self.ready = f"{self.ip}:8161", f"{self.ip}:8167"
        self._deployment = deployment
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        bounds = self._deployment.bounds
        folder = pathlib.Path(self._deployment.folder)
        settings = folder / f"{self.node}.toml"
        settings.write_text(
            SETTINGS.format(
                node=self.node,
                ip=self.ip,
                zone=self.zone,
                store=self._deployment.store.server.address,
                hold_max_ms=bounds.hold_max_ms,
                stop_ms=bounds.stop_ms,
                gang_ms=bounds.gang_ms,
                save_s=bounds.save_s,
                heartbeat_ms=bounds.heartbeat_ms,
            )
        )
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        words = deploy["roles"]["edge"]["run"].split()
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = kept | {
            "POLLENGATE_BOOT": str(settings),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (folder / f"{self.node}.log").open("ab")
        self.process = subprocess.Popen(
            words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        self._deployment.record.write(f"{self.node} started, pid {self.process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._deployment.record.write(f"{self.node} gets {number.name}")
        self.process.send_signal(number)


class Deployment:
    """The store, the runners and the edge processes of one case."""

    def __init__(self, folder: str, record: Record, bounds: Bounds | None = None) -> None:
        self.folder, self.record = folder, record
        self.bounds = bounds or Bounds()
        self._network = f"127.{random.randint(64, 250)}.{random.randint(0, 250)}"
        self._next_ip = random.randint(2, 100)
        self.store = Store(self.new_ip())
        self.floor = Floor(self.store, self.bounds, record)
        self.edges: list[Edge] = []
        self.version = 1
        self.routes: list[dict[str, Any]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def new_ip(self) -> str:
        self._next_ip += 1
        return f"{self._network}.{self._next_ip}"

    def route(self, name: str, prefix: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 2.0,
        } | fields

    def configure(self, routes: list[dict[str, Any]], rejects_overload: bool = True) -> None:
        """Writes the next version of the configuration, as the operator does."""
        self.version += random.randint(1, 3)
        service = {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConns": 64,
            "protocol": "h1",
            "tls": False,
            "coldS": 0.0,
            "coldPerS": 0.0,
            "rejectsOverload": rejects_overload,
            "spare": False,
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        configuration = {
            "version": self.version,
            "routes": routes,
            "services": [service],
            "limits": limits,
        }
        self.store.put_json("op/config", configuration)
        names = [route["name"] for route in routes]
        self.record.write(f"operator: configuration {self.version}, routes {names}")

    async def start(
        self,
        routes: list[dict[str, Any]],
        runners: int = 7,
        kinds: dict[int, str] | None = None,
        edges: int = 3,
        rejects_overload: bool = True,
    ) -> None:
        """Starts everything and waits until all edges are ready."""
        await self.store.server.start()
        self._tasks.append(asyncio.create_task(self.store.run()))
        self._tasks.append(asyncio.create_task(self.floor.run()))
        self.configure(routes, rejects_overload)
        for number in range(runners):
            zone = ZONES[number % len(ZONES)]
            kind = (kinds or {}).get(number, "a")
            runner_id = f"i-{random.getrandbits(32):08x}"
            runner = Runner(self.floor, runner_id, zone, SERVICE, self.new_ip(), kind)
            runner.rack, runner.guards = f"r{number % 3}", rejects_overload
            self.floor.runners[runner_id] = runner
            await runner.start()
        for number in range(edges):
            zone = ZONES[number % len(ZONES)]
            edge = Edge(self, f"edge-{zone}-{number}", zone)
            self.edges.append(edge)
            edge.start()
        for _ in range(250):
            await asyncio.sleep(0.1)
            if any(edge.process.poll() is not None for edge in self.edges if edge.process):
                raise RuntimeError("an edge process has ended")
            probes = [await call(edge.ready, "GET", "/v1/readiness") for edge in self.edges]
            if all(status == 200 for status, _ in probes):
                break
        else:
            raise RuntimeError("the edges are not ready in 25 s")
        await asyncio.sleep(4.0)
        self.record.write("all edges are ready")

    def owner(self) -> Edge | None:
        """The edge that has the first shard, by the store."""
        for key in self.store.keys("pollengate/node/owner/"):
            value = self.store.get_value(key)
            for edge in self.edges:
                if value is not None and f'"{edge.node}"'.encode() in value:
                    return edge
        return None

    async def stop(self) -> None:
        for edge in self.edges:
            if edge.process is not None and edge.process.poll() is None:
                edge.process.send_signal(signal.SIGCONT)
                edge.process.kill()
                edge.process.wait()
        for task in self._tasks:
            task.cancel()
        for runner in self.floor.runners.values():
            await runner.server.stop()
        await self.store.server.stop()

    async def client(
        self, edge: Edge, method: str, path: str, body: Any = None, quiet: bool = False
    ) -> tuple[int, Any]:
        """Sends a client's request to an edge and records the answer."""
        status, answer = await call(edge.front, method, path, body, HOST)
        if not quiet:
            self.record.write(f"client: {method} {path} at {edge.node}: {status} {answer}")
        return status, answer

    async def submit(self, path: str, body: Any, edge: Edge | None = None) -> None:
        """Submits a job until it is accepted."""
        for attempt in range(20):
            at = edge or self.edges[attempt % len(self.edges)]
            status, _ = await self.client(at, "POST", path, body)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise RuntimeError("a job was not accepted")


Case = Callable[[Deployment, bool], Awaitable[int]]


def _keep_logs(folder: str) -> None:
    """Copies the logs of the edges to the folder that `KEEP_LOGS` names, if it is set."""
    kept = os.environ.get("KEEP_LOGS")
    for log in pathlib.Path(folder).glob("*.log") if kept else ():
        pathlib.Path(kept or "", log.name).write_bytes(log.read_bytes())


def run_case(case: Case, case_file: str, has_trouble: bool) -> None:
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    folder = pathlib.Path(case_file).resolve().parent
    record = Record(str(folder / "record.txt"))

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(temporary, record)
            try:
                async with asyncio.timeout(112):
                    return await case(deployment, has_trouble)
            except asyncio.CancelledError:
                return CANNOT_RUN
            except Exception:
                record.write(f"cannot run: {traceback.format_exc()}")
                return CANNOT_RUN
            finally:
                with contextlib.suppress(Exception):
                    await deployment.stop()
                _keep_logs(temporary)

    result = asyncio.run(main())
    record.write({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[result])
    sys.exit(result)
