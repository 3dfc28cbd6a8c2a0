"""A runner leaves a start unanswered; its next life, behind a cut, carries the start out."""

import asyncio
import contextlib
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from standins_2 import Deployment, free_port, now, run_case, serve

JOB = "5c0e7a21d94b36f8"
RUNNERS = {f"i-{number}": ["a", f"r{number}"] for number in range(1, 9)}
WORK_MS = 20_000
# An order is carried out 2 to 12 s late; a cut takes 5.5 s at most.
CUT_AFTER_S, CUT_S, DOWN_S = 1.5, 5.5, 1.5


class Relay:
    """Passes the orders to one runner on, but keeps the first start of all runners.

    Attributes:
        kept: the relay that has kept the start, None before that.
        is_keeping: whether the next start is kept.
        is_cut: whether the runner is cut off from the nodes, so that nothing passes.
    """

    kept: "Relay | None" = None
    is_keeping = False

    def __init__(self, deployment: Deployment, name: str, session: ClientSession) -> None:
        self.name = name
        self.order: dict[str, Any] = {}
        self.is_cut = False
        self._deployment = deployment
        self._address = deployment.settings_by_id[name]["addr"]
        self._session = session

    async def start(self) -> None:
        """Listens at the address that the runner registers."""
        address = f"127.0.0.1:{free_port()}"
        self._deployment.settings_by_id[self.name]["relay"] = address
        app = web.Application()
        app.router.add_post("/v1/{order}", self._pass)
        await serve(app, address)

    async def _pass(self, request: web.Request) -> web.Response:
        order, body = request.match_info["order"], await request.json()
        if order == "run-start" and Relay.is_keeping:
            Relay.is_keeping, Relay.kept = False, self
            self.order = body
            self._deployment.note("unanswered", runner=self.name, run=body["run"])
            await asyncio.sleep(60)
        await self._wait_cut()
        try:
            url = f"http://{self._address}/v1/{order}"
            headers = {"Expect-Instance": request.headers["Expect-Instance"]}
            async with self._session.post(url, json=body, headers=headers) as response:
                answer = web.json_response(await response.json(), status=response.status)
        except ClientError:
            await self._wait_cut()
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPBadGateway from None
        await self._wait_cut()
        return answer

    async def _wait_cut(self) -> None:
        if self.is_cut:
            await asyncio.sleep(60)

    async def carry_out(self) -> None:
        """Delivers the kept start as soon as the runner is up."""
        while True:
            with contextlib.suppress(ClientError):
                url = f"http://{self._address}/v1/run-start"
                async with self._session.post(url, json=self.order) as response:
                    self._deployment.note("carried out", runner=self.name, status=response.status)
                    return
            await asyncio.sleep(0.005)


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Submits one job of one task, and looks for two of its runs at the same time."""
    Relay.is_keeping = is_troubled
    step = {"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": WORK_MS}
    await deployment.submit(JOB, {"spec": f'{{"ms":[{WORK_MS}]}}', "steps": [step]})
    await asyncio.sleep(CUT_AFTER_S)
    killed: dict[str, float] = {}
    if is_troubled:
        relay = Relay.kept
        if relay is None:
            raise RuntimeError("no start was kept")
        cut_at = now()
        relay.is_cut = True
        deployment.note("cut", runner=relay.name)
        await deployment.kill(relay.name)
        killed[relay.name] = now()
        await asyncio.sleep(DOWN_S)
        await deployment.start_runner(relay.name)
        await relay.carry_out()
        await asyncio.sleep(cut_at + CUT_S - now())
        relay.is_cut = False
        deployment.note("healed", runner=relay.name)
    await asyncio.sleep(8)
    runs: dict[tuple[str, int], list[float]] = {}
    for row in deployment.runner_events():
        if row["event"] == "start":
            runs[row["runner"], row["run"]] = [row["at"], now()]
        elif row["event"] == "end":
            runs[row["runner"], row["run"]][1] = row["at"]
    for (runner, _), times in runs.items():
        if times[0] < killed.get(runner, 0.0) < times[1]:
            times[1] = killed[runner]
    ordered = sorted(runs.items(), key=lambda item: item[1][0])
    for (first, (_, end)), (second, (begin, other_end)) in zip(ordered, ordered[1:], strict=False):
        if begin < end:
            overlap_s = min(end, other_end) - begin
            return [f"TWICE: runs {first} and {second} at the same time, for {overlap_s:.2f} s"]
    return [] if runs else ["LOST: no run"]


class RelayedDeployment(Deployment):
    """A deployment with a relay in front of each runner."""

    async def start(self) -> None:
        """Starts the relays first, as the runners register their addresses."""
        self._relay_session = ClientSession(timeout=ClientTimeout(total=5.0))
        for name in self.settings_by_id:
            await Relay(self, name, self._relay_session).start()
        await super().start()

    async def stop(self, record: Path) -> None:
        """Ends all processes and writes the record."""
        await super().stop(record)
        await self._relay_session.close()


run_case(play, RUNNERS, kind=RelayedDeployment)
