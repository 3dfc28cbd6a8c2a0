"""A stand-in of a runner of the platform, with its registration."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from http_3 import NoReply, Request, Server
from store_3 import Store

MAX_ENDS = 500
STOP_S = 0.05


@dataclasses.dataclass
class Run:
    """A run in progress."""

    task: str
    number: int
    token: int
    spec: str
    began_at: float
    duration_s: float
    how: str = "done"
    saved: str = ""
    is_stopping: bool = False
    # Whether it is a member of a gang that waits for the others.
    is_waiting: bool = False


class Gangs:
    """The members of gangs that are present, over all runners.

    Attributes:
        sizes: number of members by step (ID.K.STEP), filled in by the case.
    """

    def __init__(self, wait_s: float = 3.0) -> None:
        self.sizes: dict[str, int] = {}
        self.wait_s = wait_s
        self._present: dict[tuple[str, int], dict[str, tuple[Runner, Run]]] = {}

    def size(self, task: str) -> int:
        return self.sizes.get(task.rpartition(".")[0], 1)

    def join(self, runner: "Runner", run: Run) -> None:
        """Adds a member; the work begins when all are present."""
        members = self._members(run)
        members[run.task] = runner, run
        if len(members) == self.size(run.task):
            now = time.monotonic()
            for _, member in members.values():
                member.is_waiting, member.began_at = False, now

    def leave(self, run: Run, how: str) -> None:
        """Removes a member; unless it is done, the others that are at work end as `broken`."""
        members = self._members(run)
        if members.pop(run.task, None) is None or how == "done" or run.is_waiting:
            return
        for runner, member in list(members.values()):
            runner.end(member, "broken")

    def _members(self, run: Run) -> dict[str, tuple["Runner", Run]]:
        return self._present.setdefault((run.task.rpartition(".")[0], run.number), {})


class Runner:
    """One runner; `crash` and `restart` begin a new life under the same id.

    Args:
        store: where it registers.
        runner_id: its id.
        plan: returns the seconds that a task runs and how it ends; infinite for a task that lasts.
        log: called with each event.
    """

    def __init__(
        self,
        store: Store,
        runner_id: str,
        service: str,
        zone: str,
        labels: tuple[str, str],
        capacity: dict[str, int],
        plan: Callable[[str, str], tuple[float, str]],
        log: Callable[..., None],
        hold_max_s: float = 6.0,
        heartbeat_s: float = 1.1,
        gangs: Gangs | None = None,
    ) -> None:
        self._gangs = gangs or Gangs()
        self.store, self.id, self.service, self.zone = store, runner_id, service, zone
        self.labels, self.capacity, self.plan, self._log = labels, capacity, plan, log
        self._hold_max_s, self._heartbeat_s = hold_max_s, heartbeat_s
        self.server = Server(self._handle)
        self.state = "ready"
        self.is_registering = True
        self.is_up = False
        self._has_lived = False
        # A hook for calls: returns True if the call gets no answer; it may act before.
        self.hook: Callable[[Request], bool] = lambda request: False
        self._sequence = 0
        self._tasks: list[asyncio.Task] = []
        self.address = ""

    async def start(self) -> None:
        """Begins a life."""
        self.server.life += 1
        self.born = int(time.time() * 1000)
        # The clock starts anew; the first life began before the case.
        age_s = 0.0 if self._has_lived else random.uniform(100, 900)
        self._has_lived = True
        self._clock_zero = time.monotonic() - age_s
        self.token = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list] = []
        self._ends = 0
        self._blocked: dict[str, int] = {}
        self.until_ms = 0
        self._changed = asyncio.Event()
        if not self.server.is_open:
            host, _, port = self.address.rpartition(":")
            self.address = await self.server.start(host or "127.0.0.1", int(port or 0))
        self.is_up = True
        self._sequence = 0
        self._log("runner up", runner=self.id, born=self.born, labels=self.labels)
        self.register()
        self._tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self) -> None:
        """Ends a life and its connections; nothing of it is left but the registration."""
        self.lose_power()
        await self.server.close()

    def lose_power(self) -> None:
        """Ends a life without a sign: its connections are silent until the next one begins."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        runs, self.runs = self.runs, {}
        for run in runs.values():
            self._log("run lost", runner=self.id, task=run.task, run=run.number)
            self._gangs.leave(run, "lost")
        self._log("runner down", runner=self.id)

    def register(self) -> None:
        """Writes its entry in the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldMs": 0,
            "sequence": self._sequence,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "born": self.born,
        }
        if self.is_registering:
            self.store.put(f"servers/{self.id}", entry)

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(self._heartbeat_s)
            self.register()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if run.is_waiting:
                    if now - run.began_at >= self._gangs.wait_s:
                        self.end(run, "alone")
                elif now - run.began_at >= run.duration_s:
                    self.end(run, run.how)
            if self.runs and self.clock_ms() > self.until_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self._ends += 1
        self.ended.append([self._ends, run.task, run.number, how, run.saved])
        self._block(run.task, run.number)
        self._log("run ended", runner=self.id, task=run.task, run=run.number, how=how)
        self._gangs.leave(run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    def _block(self, task: str, number: int) -> None:
        self._blocked[task] = max(self._blocked.get(task, 0), number)

    async def _handle(self, request: Request) -> tuple[int, object]:
        if not self.is_up or self.hook(request):
            raise NoReply
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms()}
        born = self.born
        response = await self.carry_out(request)
        if not self.is_up or self.born != born:
            raise NoReply
        return response

    async def carry_out(self, request: Request) -> tuple[int, object]:
        """Carries out a call, also one that arrives late."""
        call = request.json()
        token = call.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if request.path == "/v1/run-start":
            return self._start_run(call)
        if request.path == "/v1/run-stop":
            self._stop_run(call["task"], call["run"])
            return 200, {"clockMs": self.clock_ms()}
        if request.path == "/v1/hold":
            return await self._hold(call)
        if request.path == "/v1/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def _extend(self, until_ms: int) -> None:
        longest_ms = self.clock_ms() + int(self._hold_max_s * 1000)
        self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def _start_run(self, call: dict) -> tuple[int, object]:
        task, number = call["task"], call["run"]
        answer = {"clockMs": self.clock_ms()}
        if (task, number) in self.runs:
            self._extend(call["untilMs"])
            return 200, answer
        if call["untilMs"] <= self.clock_ms():
            return 409, answer | {"reason": "late"}
        self._extend(call["untilMs"])
        if number <= self._blocked.get(task, 0):
            return 409, answer | {"reason": "old"}
        duration_s, how = self.plan(task, call["spec"])
        run = Run(task, number, self.token, call["spec"], time.monotonic(), duration_s, how)
        run.saved = call.get("checkpoint", "")
        self.runs[task, number] = run
        self._log("run began", runner=self.id, task=task, run=number, token=self.token)
        if self._gangs.size(task) > 1:
            run.is_waiting = True
            self._gangs.join(self, run)
        return 200, answer

    def _stop_run(self, task: str, number: int) -> None:
        self._block(task, number)
        run = self.runs.get((task, number))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")

    async def _hold(self, call: dict) -> tuple[int, object]:
        if "untilMs" in call:
            self._extend(call["untilMs"])
        noted = [row for row in self.ended if row[0] <= call.get("ackedUpto", 0)]
        for _, task, number, how, _ in noted:
            self._log("end noted", runner=self.id, task=task, run=number, how=how)
        self.ended = self.ended[len(noted) :]
        token = call.get("fencingToken", 0)
        if not self.ended and call.get("waitMs"):
            try:
                async with asyncio.timeout(call["waitMs"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        now = time.monotonic()
        running = [
            [run.task, run.number, run.saved, self._percent(run, now), 0]
            for run in self.runs.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:MAX_ENDS],
        }

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        if run.is_waiting:
            return 0
        if run.duration_s == float("inf"):
            return 100 if now - run.began_at > 0.3 else 50
        return min(99, int(100 * (now - run.began_at) / max(run.duration_s, 0.001)))
