"""Stand-in of a runner and of what it runs, as PROTOCOL.md describes them."""

import asyncio
import json
import pathlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from http_io import Abort, HttpServer, Request
from store import Store

MAX_ENDS = 500


@dataclass
class Bounds:
    """Figures of the deployment that the runners keep to."""

    hold_max_ms: int = 6000
    stop_ms: int = 400
    gang_ms: int = 3000
    save_s: float = 0.5
    heartbeat_ms: int = 1100


@dataclass(eq=False)
class Run:
    """One run of a task; `work` is what its `spec` says of its step."""

    task: str
    run: int
    runner: "Runner"
    began_at: float
    checkpoint: str
    work: dict[str, Any]
    saved: str = ""
    done_ms: float = 0.0
    stop_at: float | None = None
    percent: int = 0

    @property
    def group(self) -> tuple[str, int]:
        """The gang that the run belongs to."""
        return self.task.rpartition(".")[0], self.run


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._began_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f}  {text}\n")


class Floor:
    """All runners, their gangs and their checkpoints.

    `spec` of a job is a JSON object. Its `steps` says for each step `ms`, how long a task works
    (0: until it is stopped), and `gang`, how many members it has (0: no gang). A gang works from
    when all members of one run are there with the same checkpoint.
    """

    def __init__(self, store: Store, bounds: Bounds, record: Record) -> None:
        self.store, self.bounds, self.record = store, bounds, record
        self.runners: dict[str, Runner] = {}
        self.starts: list[tuple[float, str, int, str, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.on_start: Callable[[Run], None] = lambda run: None
        self._progress_by_checkpoint: dict[str, float] = {"": 0.0}
        self._saves = 0
        self._ticked_at = time.monotonic()

    async def run(self) -> None:
        """Advances all runs."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            elapsed_ms, self._ticked_at = (now - self._ticked_at) * 1000, now
            for runner in self.runners.values():
                runner.expire(now)
            groups: dict[tuple[str, int], list[Run]] = {}
            for runner in self.runners.values():
                for run in list(runner.runs.values()):
                    if run.stop_at is not None:
                        if now >= run.stop_at:
                            self._save([run])
                            self.end(run, "stopped")
                    elif run.work.get("gang"):
                        groups.setdefault(run.group, []).append(run)
                    else:
                        self._work([run], elapsed_ms)
            for members in groups.values():
                self._work_gang(members, elapsed_ms, now)

    def _work_gang(self, members: list[Run], elapsed_ms: float, now: float) -> None:
        at_work = [run for run in members if run.percent > 0]
        if at_work:
            self._work(members, elapsed_ms)
            return
        same = len({run.checkpoint for run in members}) == 1
        if len(members) == members[0].work["gang"] and same:
            for run in members:
                run.percent = 1
            self.record.write(
                f"gang {members[0].group} works, checkpoint {members[0].checkpoint!r}"
            )
            return
        for run in members:
            if now - run.began_at >= self.bounds.gang_ms / 1000:
                self.end(run, "alone")

    def _work(self, members: list[Run], elapsed_ms: float) -> None:
        """Advances a task, or the tasks of a gang, which save and end together."""
        length_ms = members[0].work["ms"]
        before_ms = members[0].done_ms
        for run in members:
            run.done_ms = before_ms + elapsed_ms
            run.percent = 100 if not length_ms else max(1, int(100 * run.done_ms / length_ms))
        save_ms = self.bounds.save_s * 1000
        if members[0].work.get("saves") and before_ms // save_ms != members[0].done_ms // save_ms:
            self._save(members)
        if length_ms and members[0].done_ms >= length_ms:
            for run in members:
                self.end(run, "failed" if run.work.get("fails") else "done", together=True)

    def _save(self, members: list[Run]) -> None:
        if not members[0].work.get("saves"):
            return
        self._saves += 1
        value = f"{self._saves:08x}{int(members[0].done_ms):08x}"
        self._progress_by_checkpoint[value] = members[0].done_ms
        for run in members:
            run.saved = value

    def progress(self, checkpoint: str) -> float:
        return self._progress_by_checkpoint.get(checkpoint, 0.0)

    def end(self, run: Run, how: str, together: bool = False) -> None:
        """Ends a run; the others of a gang at work end as broken."""
        run.runner.list_end(run, how)
        if run.work.get("gang") and not together and run.percent > 0:
            self.break_gang(run)

    def break_gang(self, ended: Run) -> None:
        for runner in self.runners.values():
            for run in list(runner.runs.values()):
                if run is not ended and run.group == ended.group:
                    runner.list_end(run, "broken")

    def running(self, task: str) -> list[Run]:
        return [
            r for runner in self.runners.values() for r in runner.runs.values() if r.task == task
        ]


@dataclass(eq=False)
class Runner:
    """One runner; `crash` and `restart` begin a new incarnation under the same id."""

    floor: Floor
    runner_id: str
    zone: str
    service: str
    host: str
    kind: str = "a"
    rack: str = "r1"
    cpu: int = 64000
    mem_mb: int = 256000
    guards: bool = True
    state: str = "ready"
    remaining_ms: int | None = None
    rejects_starts: bool = False
    registers: bool = True
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    is_up: bool = False

    async def start(self) -> None:
        if not hasattr(self, "server"):
            self.server = HttpServer(self._handle, self.host)
        await self.server.start()
        self._begin()
        self._beats = asyncio.create_task(self._beat())

    def _begin(self) -> None:
        self.is_up = True
        self.born_ms = time.time_ns() // 1_000_000
        self._born_at = time.monotonic()
        self.token = 0
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._until_ms = 0
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._news = asyncio.Event()
        self.floor.record.write(f"{self.runner_id} is up, kind {self.kind}, born {self.born_ms}")

    async def crash(self) -> None:
        """Ends all runs at once; the runner is silent until `restart`."""
        self.is_up = False
        self._beats.cancel()
        await self.server.stop()
        runs, self.runs = list(self.runs.values()), {}
        self.floor.record.write(f"{self.runner_id} crashes with {[(r.task, r.run) for r in runs]}")
        for run in runs:
            if run.work.get("gang") and run.percent > 0:
                self.floor.break_gang(run)

    async def restart(self) -> None:
        await self.server.start()
        self._begin()
        self._beats = asyncio.create_task(self._beat())

    async def leave(self) -> None:
        """Exits after a drain; everything that runs ends."""
        self.floor.store.remove(f"servers/{self.runner_id}")
        await self.crash()

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(self.floor.bounds.heartbeat_ms / 1000)

    def register(self) -> None:
        """Writes the registration, unless the store is down."""
        if not self.registers or self.floor.store.mode != "up":
            return
        self._sequence += 1
        entry = {
            "service": self.service,
            "addr": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            "labels": [self.kind, self.rack],
            "clockMs": self.clock_ms(),
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        if self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        self.floor.store.put_json(f"servers/{self.runner_id}", entry)

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._born_at) * 1000)

    def expire(self, now: float) -> None:
        if self.is_up and self.runs and self.clock_ms() > self._until_ms:
            for run in list(self.runs.values()):
                self.floor.end(run, "lapsed")

    def list_end(self, run: Run, how: str) -> None:
        self.runs.pop((run.task, run.run), None)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, how, run.saved])
        self._news.set()
        floor = self.floor
        floor.ends.append((floor.record.now(), run.task, run.run, how, self.runner_id))
        floor.record.write(
            f"{self.runner_id} end {run.task} run {run.run}: {how}, saved {run.saved!r}"
        )

    async def _handle(self, request: Request) -> tuple[int, Any]:
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.runner_id:
            return 421, None
        if request.path == "/health":
            return 200, None
        body = request.body
        token = body.get("fencingToken", 0)
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        if request.path == "/v1/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 400, None

    def _refuse(self, reason: str) -> tuple[int, Any]:
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + self.floor.bounds.hold_max_ms
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        text = (
            f"{self.runner_id} start {task} run {number}, checkpoint {body.get('checkpoint', '')!r}"
        )
        if self.rejects_starts:
            self.floor.record.write(f"{text}: 503")
            return 503, {"clockMs": self.clock_ms()}
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self._highest.get(task, 0):
            self._extend(body["untilMs"])
            return self._refuse("old")
        if body["untilMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["untilMs"])
        spec = json.loads(body["spec"])
        work = spec["steps"][int(task.split(".")[2])]
        if self.guards and work.get("cpu", 0) + self._used() > self.cpu:
            return self._refuse("room")
        run = Run(task, number, self, time.monotonic(), body.get("checkpoint", ""), work)
        run.done_ms = self.floor.progress(run.checkpoint)
        run.saved = run.checkpoint
        self.runs[task, number] = run
        self.floor.starts.append(
            (self.floor.record.now(), task, number, self.runner_id, run.checkpoint)
        )
        self.floor.record.write(
            f"{text}: 200, token {body.get('fencingToken', 0)}, kind {self.kind}"
        )
        self.floor.on_start(run)
        return 200, {"clockMs": self.clock_ms()}

    def _used(self) -> int:
        return sum(run.work.get("cpu", 0) for run in self.runs.values())

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        self.floor.record.write(f"{self.runner_id} stop {task} run {number}")
        run = self.runs.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + self.floor.bounds.stop_ms / 2000
        self._highest[task] = max(self._highest.get(task, 0), number)
        return 200, {"clockMs": self.clock_ms()}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body.get("untilMs") is not None:
            self._extend(body["untilMs"])
        self._ended = [end for end in self._ended if end[0] > body.get("ackedUpto", 0)]
        token, born_ms = body.get("fencingToken", 0), self.born_ms
        if not self._ended and body.get("waitMs"):
            self._news.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
            if born_ms != self.born_ms or not self.is_up:
                raise Abort
            if token < self.token:
                return self._refuse("fence")
        figure = 5 if any(run.work.get("serves") for run in self.runs.values()) else 0
        rows = [[run.task, run.run, run.saved, run.percent, figure] for run in self.runs.values()]
        ended = self._ended[:MAX_ENDS]
        answer = {"clockMs": self.clock_ms(), "running": rows, "ended": ended}
        return 200, answer | {"born": self.born_ms}
