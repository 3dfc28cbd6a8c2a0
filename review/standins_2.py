"""Stand-ins of the second review: the platform's store, a runner, and a small deployment.

They follow PROTOCOL.md and DEPLOY.md. `python3 review/standins_2.py runner SETTINGS` serves one
runner until it is killed; the store is served by the process of the case.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from aiohttp import ClientSession, ClientTimeout, web

ROOT = Path(__file__).resolve().parent.parent
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
ZONES = ("lima-sur-a", "lima-sur-b", "lima-sur-c")
HEARTBEAT_S = 1.1
PAGE_ITEMS = 500
MIN_TTL_MS = 1000
STOP_S = 0.1
STARTUP_S = 0.3
GANG_S = 3.0
FAIL_S = 0.2
HOLD_MAX_MS = 6000
ENDS_PER_REPORT = 500
ROUTE = {
    "name": "r-3hwrr6x",
    "host": HOST,
    "prefix": PREFIX,
    "kind": "non_idempotent",
    "timeoutMs": 3000,
    "targetLatencyMs": 250,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": 4,
    "stretch": 1.5,
}
SETTINGS = """\
node = "edge-{zone}-1"
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
heartbeatMs = 1100
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice"]
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
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
crossRackFactor = 3
saveS = 0.5
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


def now() -> float:
    """Returns the steady clock, which all processes of the machine share."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


_given_ports: set[int] = set()


def free_port() -> int:
    """Returns a free loopback port, below those that Linux gives to outgoing connections."""
    while True:
        port = random.choice([p for p in range(20_000, 32_000) if p not in _given_ports])
        _given_ports.add(port)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port


def free_ip() -> str:
    """Returns a loopback address at which the ports of an edge process are free."""
    while True:
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        with contextlib.suppress(OSError):
            for port in (8161, 8167, 9464, 7720):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip


async def serve(app: web.Application, address: str) -> web.AppRunner:
    """Serves an application and returns its runner."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner


# The store.


@dataclasses.dataclass
class Item:
    """A key's value and its revisions."""

    value: bytes
    revision: int
    created: int
    lease: int

    def row(self, key: str) -> dict[str, Any]:
        """Returns the item as the store's responses contain it."""
        value = base64.b64encode(self.value).decode()
        fields = {"key": key, "value": value, "revision": self.revision}
        return fields | {"created": self.created, "lease": self.lease}


class KvStore:
    """The platform's key-value store, linearizable, in memory.

    Attributes:
        on_commit: called with the keys of each transaction that was carried out.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self.on_commit = lambda keys: None

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=8 * 2**20)
        app.router.add_get("/v1/kv-key", self._key)
        app.router.add_get("/v1/kv-range", self._range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._txn)
        app.router.add_post("/v1/kv-lease", self._grant)
        app.router.add_post("/v1/kv-keep/{lease}", self._keep)
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._end)
        return app

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Writes a document as the operator does."""
        self._apply([(key, json.dumps(document).encode(), lease)], [])

    def remove(self, key: str) -> None:
        """Removes a key as the operator does."""
        self._apply([], [key])

    async def expire(self) -> None:
        """Ends leases whose time has passed, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, until) in list(self.leases.items()):
                if until <= now():
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        bound = [key for key, item in self.items.items() if item.lease == lease]
        if bound:
            self._apply([], bound)

    def _apply(self, puts: list[tuple[str, bytes, int]], removed: list[str]) -> int:
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            created = known.created if known else self.revision
            item = self.items[key] = Item(value, self.revision, created, lease)
            self.history.append(item.row(key))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        item = self.items.get(key)
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response(item.row(key) | {"currentRev": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [self.items[key].row(key) for key in keys[:PAGE_ITEMS]]
        page = {"items": rows, "truncated": len(keys) > PAGE_ITEMS, "currentRev": self.revision}
        return web.json_response(page)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        deadline = now() + int(request.query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [
                row
                for row in self.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            if events or now() >= deadline:
                return web.json_response({"events": events, "currentRev": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), deadline - now())

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected, puts, removed = body["expect"], body["puts"], body["remove"]
        if len(expected) + len(puts) + len(removed) > 32:
            return web.json_response({}, status=400)
        keys = [put["key"] for put in puts] + removed
        is_runner = request.headers.get("Writer") == "runner"
        if not is_runner and any(key.startswith(("op/", "servers/")) for key in keys):
            return web.json_response({}, status=403)
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((i.revision if (i := current[r["key"]]) else 0) != r["revision"] for r in expected):
            rows = [item.row(key) for key, item in current.items() if item]
            return web.json_response({"items": rows}, status=412)
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return web.json_response({}, status=404)
        decoded = [(put["key"], base64.b64decode(put["value"]), put["lease"]) for put in puts]
        revision = self._apply(decoded, removed)
        self.on_commit(keys)
        return web.json_response({"revision": revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = max(MIN_TTL_MS, (await request.json())["ttlMs"])
        lease = random.randint(1, 2**40)
        self.leases[lease] = ttl_ms / 1000, now() + ttl_ms / 1000
        return web.json_response({"lease": lease, "ttlMs": ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = ttl_s, now() + ttl_s
        return web.json_response({"ttlMs": int(ttl_s * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        self._end_lease(lease)
        return web.json_response({})


class Proxy:
    """Forwards TCP connections until it is cut; then all, also new ones, are silent.

    Attributes:
        is_cut: whether no byte passes.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self._target = target
        self.is_cut = False
        self._pumps: set[asyncio.Future[Any]] = set()

    async def start(self) -> None:
        """Listens."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._connect, host, int(port))

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        pumps = asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))
        self._pumps.add(pumps)
        with contextlib.suppress(asyncio.CancelledError):
            await pumps
        self._pumps.discard(pumps)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        if not self.is_cut:
            with contextlib.suppress(OSError):
                writer.close()

    def close(self) -> None:
        """Ends all connections."""
        self._server.close()
        for pumps in list(self._pumps):
            pumps.cancel()


# A runner.


@dataclasses.dataclass
class Run:
    """A run; `work_s` is None for one that lasts."""

    task: str
    number: int
    work_s: float | None
    began_at: float
    stops_at: float | None = None
    gang: int = 0
    fails: bool = False


class Runner:
    """One life of a runner. The `spec` of a job lists the work of each step in milliseconds.

    `{"ms":[500,null]}`: tasks of step 0 take half a second, those of step 1 last. With
    `"gang":[2,0]`, the two tasks of step 0 are a gang, all of which this runner gets. SIGUSR1 makes
    it fail all that it starts from then on, SIGUSR2 ends that.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._born_ms = time.time_ns() // 1_000_000
        self._born_at = now()
        self._token = 0
        self._until_ms = 0
        self._runs: dict[tuple[str, int], Run] = {}
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._highest_by_task: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._fails = False
        self._log = Path(settings["log"])

    async def run(self) -> None:
        """Serves and registers until killed."""
        app = web.Application()
        app.router.add_post("/v1/run-start", self._start)
        app.router.add_post("/v1/run-stop", self._stop)
        app.router.add_post("/v1/hold", self._hold)
        app.router.add_post("/v1/pace", self._pace)
        await serve(app, self._settings["addr"])
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._set_failing, True)
        loop.add_signal_handler(signal.SIGUSR2, self._set_failing, False)
        self._note("up")
        async with ClientSession() as session:
            await asyncio.gather(self._register(session), self._advance_forever())

    def _set_failing(self, fails: bool) -> None:
        self._fails = fails
        self._note("fails" if fails else "works")

    def _note(self, event: str, **fields: Any) -> None:
        row = {"at": now(), "runner": self._settings["id"], "event": event} | fields
        with self._log.open("a") as log:
            log.write(json.dumps(row) + "\n")

    async def _register(self, session: ClientSession) -> None:
        store = f"http://{self._settings['store']}/v1"
        ttl = {"ttlMs": int(3000 * HEARTBEAT_S)}
        async with session.post(f"{store}/kv-lease", json=ttl) as response:
            lease = (await response.json())["lease"]
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": SERVICE,
                "addr": self._settings.get("relay", self._settings["addr"]),
                "zone": self._settings["zone"],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldMs": 0,
                "capacity": self._settings["capacity"],
                "labels": self._settings["labels"],
                "clockMs": self._clock_ms(),
                "sequence": sequence,
                "born": self._born_ms,
            }
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            put = {"key": f"servers/{self._settings['id']}", "value": value, "lease": lease}
            txn = {"expect": [], "puts": [put], "remove": []}
            headers = {"Writer": "runner"}
            async with session.post(f"{store}/kv-txn", json=txn, headers=headers):
                pass
            async with session.post(f"{store}/kv-keep/{lease}"):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def _advance_forever(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self) -> None:
        has_lapsed = self._clock_ms() > self._until_ms
        for run in list(self._runs.values()):
            if (run.task, run.number) not in self._runs:
                continue
            if has_lapsed:
                self._end(run, "lapsed")
            elif run.stops_at is not None and now() >= run.stops_at:
                self._end(run, "stopped")
            elif len(self._members(run)) < run.gang:
                if now() - run.began_at >= GANG_S:
                    self._end(run, "alone")
            elif run.fails and now() - self._present_at(run) >= FAIL_S:
                self._end(run, "failed")
            elif run.work_s is not None and now() - self._present_at(run) >= run.work_s:
                self._end(run, "done")

    def _members(self, run: Run) -> list[Run]:
        """Returns the runs of a gang that are here; only the run itself if it is in none."""
        step = run.task.rpartition(".")[0]
        others = self._runs.values()
        found = [o for o in others if o.task.rpartition(".")[0] == step and o.number == run.number]
        return found if run.gang else [run]

    def _present_at(self, run: Run) -> float:
        return max(member.began_at for member in self._members(run))

    def _end(self, run: Run, how: str) -> None:
        members = self._members(run)
        del self._runs[run.task, run.number]
        for member in members:
            if member is not run and (member.task, member.number) in self._runs:
                self._end(member, "done" if how == "done" else "broken")
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self._note("end", task=run.task, run=run.number, how=how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _clock_ms(self) -> int:
        return 1000 + int((now() - self._born_at) * 1000)

    def _extend(self, until_ms: int) -> None:
        self._until_ms = max(self._until_ms, min(until_ms, self._clock_ms() + HOLD_MAX_MS))

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"clockMs": self._clock_ms(), "reason": reason}, status=409)

    def _confirm(self) -> web.Response:
        return web.json_response({"clockMs": self._clock_ms()})

    def _check(self, request: web.Request, body: dict[str, Any]) -> web.Response | None:
        if request.headers.get("Expect-Instance", self._settings["id"]) != self._settings["id"]:
            return web.json_response({}, status=421)
        self._advance()
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        return None

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if (refusal := self._check(request, body)) is not None:
            return refusal
        task, number = body["task"], body["run"]
        if (task, number) in self._runs:
            return self._confirm()
        if number <= self._highest_by_task.get(task, 0):
            self._extend(body["untilMs"])
            return self._refuse("old")
        if body["untilMs"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(body["untilMs"])
        self._highest_by_task[task] = number
        step = int(task.split(".")[2])
        spec = json.loads(body["spec"])
        work_ms = spec["ms"][step]
        work_s = None if work_ms is None else work_ms / 1000
        gang = spec["gang"][step] if "gang" in spec else 0
        self._runs[task, number] = Run(task, number, work_s, now(), gang=gang, fails=self._fails)
        self._note("start", task=task, run=number, token=body["fencingToken"])
        return self._confirm()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if (refusal := self._check(request, body)) is not None:
            return refusal
        task, number = body["task"], body["run"]
        self._highest_by_task[task] = max(number, self._highest_by_task.get(task, 0))
        run = self._runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = now() + STOP_S
        return self._confirm()

    async def _pace(self, request: web.Request) -> web.Response:
        refusal = self._check(request, await request.json())
        return refusal if refusal is not None else self._confirm()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if (refusal := self._check(request, body)) is not None:
            return refusal
        self._ended = [row for row in self._ended if row[0] > body["ackedUpto"]]
        if "untilMs" in body:
            self._extend(body["untilMs"])
        if not self._ended and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
        self._advance()
        running = [[run.task, run.number, "", self._percent(run), 0] for run in self._runs.values()]
        report = {"running": running, "ended": self._ended[:ENDS_PER_REPORT]}
        return web.json_response({"clockMs": self._clock_ms(), "born": self._born_ms} | report)

    def _percent(self, run: Run) -> int:
        if len(self._members(run)) < run.gang:
            return 0
        full_s = STARTUP_S if run.work_s is None else run.work_s
        return min(100, int(100 * (now() - self._present_at(run)) / full_s))


# The deployment.


class Deployment:
    """A small deployment on loopback: store, edge processes in three zones, and runners.

    Args:
        runners: labels of each runner, by its id; the zones take turns.
        route: fields of the only route that differ from the usual ones.
    """

    def __init__(self, runners: dict[str, list[str]], route: dict[str, Any] | None = None) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = KvStore()
        self.store_address = f"127.0.0.1:{free_port()}"
        self.ip_by_zone = {zone: free_ip() for zone in ZONES}
        self.proxy_by_zone = {
            zone: Proxy(f"127.0.0.1:{free_port()}", self.store_address) for zone in ZONES
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.events: list[dict[str, Any]] = []
        self.route = ROUTE | (route or {})
        self._version = 7
        self._tasks: list[asyncio.Task[None]] = []
        self.settings_by_id: dict[str, dict[str, Any]] = {
            name: {
                "id": name,
                "addr": f"127.0.0.1:{free_port()}",
                "zone": ZONES[number % len(ZONES)],
                "store": self.store_address,
                "capacity": {"cpu": 64000, "memMb": 256000, "gpu": 0},
                "labels": labels,
                "log": str(self.folder / f"{name}.events"),
            }
            for number, (name, labels) in enumerate(runners.items())
        }

    async def start(self) -> None:
        """Starts everything and waits until the edge processes are ready.

        Raises:
            TimeoutError: they were not ready in time.
        """
        self.session = ClientSession(timeout=ClientTimeout(total=3.0))
        self._server = await serve(self.store.app(), self.store_address)
        self._tasks.append(asyncio.create_task(self.store.expire()))
        self.configure(self.route)
        for name in self.settings_by_id:
            await self.start_runner(name)
        for zone in ZONES:
            await self.proxy_by_zone[zone].start()
            await self.start_edge(zone)
        for zone in ZONES:
            await self._wait_ready(zone)
        # The owner has to have contacted the runners.
        await asyncio.sleep(3)

    async def _wait_ready(self, zone: str) -> None:
        for _ in range(400):
            if await self.is_ready(zone):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"the process in {zone} is not ready")

    def configure(self, *routes: dict[str, Any]) -> None:
        """Writes the next version of the configuration, with these routes."""
        self._version += 1
        service = {"name": SERVICE, "rejectsOverload": True, "spare": False}
        document = {"version": self._version, "routes": list(routes), "services": [service]}
        self.store.put("op/config", document)
        self.note("config", version=self._version, routes=[route["prefix"] for route in routes])

    async def start_edge(self, zone: str) -> None:
        """Starts the edge process of a zone with the command of the deploy file."""
        settings = self.folder / f"{zone}.toml"
        ip = self.ip_by_zone[zone]
        store = self.proxy_by_zone[zone].address
        settings.write_text(SETTINGS.format(zone=zone, ip=ip, store=store))
        command = ("-m", "pollengated", "edge", "--policy", "deploy/policy.toml")
        await self._spawn(zone, *command, POLLENGATE_BOOT=str(settings))

    async def start_runner(self, name: str) -> None:
        """Starts a runner, or starts it again under its id."""
        settings = json.dumps(self.settings_by_id[name])
        await self._spawn(name, str(ROOT / "review" / "standins_2.py"), "runner", settings)

    async def _spawn(self, name: str, *arguments: str, **environment: str) -> None:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                env=kept | {"PYTHONPATH": str(ROOT / "target" / "deps")} | environment,
                stdout=log,
                stderr=log,
            )

    async def kill(self, name: str) -> None:
        """Kills a process."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()
        self.note("killed", process=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    async def is_ready(self, zone: str) -> bool:
        """Whether an edge process takes clients."""
        try:
            async with self.session.get(
                f"http://{self.ip_by_zone[zone]}:8167/v1/readiness", timeout=ClientTimeout(1)
            ) as response:
                return response.status == 200
        except OSError:
            return False

    def owner_zone(self) -> str | None:
        """Returns the zone of the process that owns the shard, as a log reader would find it."""
        item = self.store.items.get("pollengate/node/owner/0")
        return None if item is None else json.loads(item.value)["node"].split("-", 1)[1][:-2]

    def note(self, event: str, **fields: Any) -> None:
        """Records an event of the case."""
        self.events.append({"at": now(), "event": event} | fields)

    async def call(
        self, method: str, job: str, body: Any = None, zone: str = ZONES[0], prefix: str = PREFIX
    ) -> tuple[int, Any]:
        """Sends a client's request to a node; returns status 0 if there is no answer."""
        url = f"http://{self.ip_by_zone[zone]}:8161{prefix}{job}"
        sent_at = now()
        status, answer = 0, None
        try:
            headers = {"Host": HOST, "Deadline-Ms": "3000"}
            async with self.session.request(method, url, json=body, headers=headers) as response:
                status, answer = response.status, await response.json(content_type=None)
        except (OSError, TimeoutError):
            pass
        self.note("answer", method=method, job=job, status=status, body=answer, sent=sent_at)
        return status, answer

    async def submit(self, job: str, body: Any) -> None:
        """Submits a job until it is accepted, as clients do, at each node in turn.

        Raises:
            TimeoutError: it was not accepted in time.
        """
        async with asyncio.timeout(20):
            while True:
                for zone in ZONES:
                    status, _ = await self.call("POST", job, body, zone)
                    if status == 200:
                        return
                    await asyncio.sleep(0.3)

    def runner_events(self) -> list[dict[str, Any]]:
        """Returns what the runners have started and ended, in order."""
        rows = [
            json.loads(line)
            for path in self.folder.glob("*.events")
            for line in path.read_text().splitlines()
        ]
        return sorted(rows, key=lambda row: row["at"])

    async def stop(self, record: Path) -> None:
        """Ends all processes and writes the record."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            await process.wait()
        rows = sorted(self.events + self.runner_events(), key=lambda row: row["at"])
        first = rows[0]["at"] if rows else 0.0
        with record.open("w") as file:
            for row in rows:
                fields = " ".join(f"{k}={v}" for k, v in row.items() if k != "at")
                file.write(f"{row['at'] - first:8.3f} {fields}\n")
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        for task in self._tasks:
            task.cancel()
        for proxy in self.proxy_by_zone.values():
            proxy.close()
        await self.session.close()
        await self._server.cleanup()
        self._folder.cleanup()


def run_case(
    play: Any,
    runners: dict[str, list[str]],
    route: dict[str, Any] | None = None,
    kind: type[Deployment] = Deployment,
) -> None:
    """Plays a case and exits with 1 if it returns a broken rule, 0 if not, 2 if it can't run.

    Args:
        play: plays the case with a deployment and whether there is trouble; returns what broke.
        runners: see `Deployment`.
        route: see `Deployment`.
        kind: the kind of deployment.
    """
    record = Path(sys.argv[0]).resolve().parent / "record.txt"

    async def run() -> list[str]:
        deployment = kind(runners, route)
        try:
            await deployment.start()
            return await play(deployment, os.environ.get("TROUBLE") != "0")
        finally:
            await deployment.stop(record)

    async def run_until_terminated() -> list[str]:
        task = asyncio.create_task(asyncio.wait_for(run(), 115))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        broken = asyncio.run(run_until_terminated())
    except (Exception, asyncio.CancelledError) as error:
        with record.open("a") as file:
            file.write(f"could not run: {type(error).__name__}: {error}\n")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    with record.open("a") as file:
        file.writelines(f"BROKEN {line}\n" for line in broken)
    print("\n".join(broken) or "held")
    sys.exit(1 if broken else 0)


if __name__ == "__main__" and sys.argv[1:2] == ["runner"]:
    asyncio.run(Runner(json.loads(sys.argv[2])).run())
