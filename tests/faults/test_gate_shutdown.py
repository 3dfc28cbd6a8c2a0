"""Graceful shutdown of gates under load by SIGTERM, with real processes."""

import asyncio
import collections
import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

import httpx

from scripts.local_run import free_addresses

BIN = Path(sys.executable).parent
ZONE, SERVICE = "lima-sur-a", "scoring"
GATES = 6
SHUTDOWNS = 10
CALLERS = 4
# Longer than the test: a second SIGTERM ends the delay once the balancer sends no more requests.
STOP_DELAY_S = 600
POLL_S = 0.05
READY_S = 30.0
SLOW_MS = 400


class Deployment:
    """One zone: a store, a VM list, backend servers, a scheduler and gates."""

    def __init__(self, directory: Path, gates: int = GATES, backends: int = 2) -> None:
        self._directory = directory
        self._gate_count = gates
        self._processes: list[subprocess.Popen[bytes]] = []
        self._store, self._vm_list, *self.backends = free_addresses(2 + backends)
        self.gates: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Starts all processes and waits until every gate responds."""
        self._start("pollengate-standins", "store", "--address", self._store)
        for address in self.backends:
            options = ("--address", address, "--service", SERVICE, "--work-ms", "30")
            self._start("pollengate-standins", "backend", *options)
        listing = self._directory / "vms.json"
        listing.write_text(json.dumps([_backend(address) for address in self.backends]))
        options = ("--address", self._vm_list, "--file", str(listing))
        self._start("pollengate-standins", "vm-list", *options)
        self._start_role("scheduler", *free_addresses(2))
        for _ in range(self._gate_count):
            self.start_gate()
        wait_until(lambda: _configure(self.any_gate()))
        for gate in self.gates:
            wait_until(lambda gate=gate: _get(gate, "standings") == 200)  # type: ignore[misc]

    def any_gate(self) -> str:
        """Returns the address of the gate that was started first."""
        return next(iter(self.gates))

    def start_gate(self) -> str:
        """Starts a gate and returns its address."""
        http, rpc = free_addresses(2)
        self.gates[http] = self._start_role("gate", http, rpc)
        return http

    def stop(self) -> None:
        """Kills all processes of the deployment."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _start_role(self, role: str, http: str, rpc: str) -> subprocess.Popen[bytes]:
        path = self._directory / f"{role}-{http}.toml"
        path.write_text(
            f'[process]\nid = "{role}-{http.rpartition(":")[2]}"\nzone = "{ZONE}"\n'
            f'[listen]\nhttp = "{http}"\nrpc = "{rpc}"\n'
            f'[platform]\nstore = "{self._store}"\nvm_list = "{self._vm_list}"\n'
            f"[requests]\nstop_delay_s = {STOP_DELAY_S}\n"
        )
        return self._start("pollengated", role, "--settings", str(path))

    def _start(self, *command: str) -> subprocess.Popen[bytes]:
        log = (self._directory / f"{len(self._processes)}.log").open("wb")
        process = subprocess.Popen([str(BIN / command[0]), *command[1:]], stdout=log, stderr=log)
        log.close()
        self._processes.append(process)
        return process


class Balancer:
    """A load balancer that sends requests to the gates that were ready at its last poll."""

    def __init__(self, gates: list[str]) -> None:
        self.ready = list(gates)
        self.succeeded = 0
        self.failures: list[str] = []
        self.in_progress_by_gate: collections.Counter[str] = collections.Counter()
        self._request_count = 0

    async def poll_readiness(self, client: httpx.AsyncClient, gates: dict[str, object]) -> None:
        """Polls the readiness of every gate until cancelled."""
        while True:
            ready = []
            for gate in list(gates):
                try:
                    response = await client.get(f"http://{gate}/readyz")
                except httpx.HTTPError:
                    continue
                if response.status_code == 200:
                    ready.append(gate)
            self.ready = ready
            await asyncio.sleep(POLL_S)

    async def send_requests(self, client: httpx.AsyncClient, stop: asyncio.Event) -> None:
        """Sends requests one after the other until `stop` is set, and records the failures."""
        while not stop.is_set():
            self._request_count += 1
            gate = self.ready[self._request_count % len(self.ready)]
            self.in_progress_by_gate[gate] += 1
            try:
                response = await client.post(f"http://{gate}/services/{SERVICE}/results")
            except httpx.HTTPError as error:
                self.failures.append(f"{gate}: {error!r}")
                continue
            finally:
                self.in_progress_by_gate[gate] -= 1
            if response.status_code == 200:
                self.succeeded += 1
            else:
                self.failures.append(f"{gate}: {response.status_code} {response.text}")


class GateShutdownTest(unittest.TestCase):
    """A graceful shutdown does not interrupt requests."""

    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.deployment = Deployment(Path(directory.name))
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def test_no_request_fails_in_ten_shutdowns_under_load(self) -> None:
        balancer = asyncio.run(self.shut_down_gates_under_load())
        self.assertEqual([], balancer.failures)
        self.assertGreater(balancer.succeeded, SHUTDOWNS * CALLERS)
        for backend in self.deployment.backends:
            seen = httpx.get(f"http://{backend}/executions").json()
            self.assertEqual({1}, set(seen["executions_by_id"].values()))
            self.assertEqual(0, seen["refused"])

    async def shut_down_gates_under_load(self) -> Balancer:
        gates = self.deployment.gates
        balancer, stop = Balancer(list(gates)), asyncio.Event()
        async with httpx.AsyncClient(timeout=10) as client:
            polling = asyncio.create_task(balancer.poll_readiness(client, gates))  # type: ignore[arg-type]
            callers = [
                asyncio.create_task(balancer.send_requests(client, stop)) for _ in range(CALLERS)
            ]
            for _ in range(SHUTDOWNS - GATES + 1):
                self.deployment.start_gate()
            for _ in range(SHUTDOWNS):
                await self.shut_down_gate(balancer)
            stop.set()
            await asyncio.gather(*callers)
            polling.cancel()
        return balancer

    async def shut_down_gate(self, balancer: Balancer) -> None:
        """Shuts down the oldest gate once another one is ready."""
        gates = self.deployment.gates
        old = next(iter(gates))
        # Waits until the gate is in use; otherwise the two signals could arrive as one.
        await self.wait_until(lambda: old in balancer.ready and len(balancer.ready) > 1)
        gates[old].send_signal(signal.SIGTERM)
        await self.wait_until(
            lambda: old not in balancer.ready and not balancer.in_progress_by_gate[old]
        )
        gates[old].send_signal(signal.SIGTERM)
        await asyncio.to_thread(gates[old].wait, READY_S)
        self.assertEqual(0, gates.pop(old).returncode)

    async def wait_until(self, is_done: Callable[[], bool]) -> None:
        """Polls until `is_done()` returns true, for `READY_S` at most, while all gates run."""
        async with asyncio.timeout(READY_S):
            while not is_done():
                ended = [gate for gate, p in self.deployment.gates.items() if p.poll() is not None]
                self.assertEqual([], ended)
                await asyncio.sleep(POLL_S)

    def test_second_sigterm_ends_the_delay_and_interrupts_no_request(self) -> None:
        gate = self.deployment.any_gate()
        process = self.deployment.gates.pop(gate)
        for backend in self.deployment.backends:
            httpx.put(f"http://{backend}/behaviour", json={"work_s": SLOW_MS / 1000})

        async def main() -> tuple[int, float]:
            async with httpx.AsyncClient(timeout=10) as client:
                url = f"http://{gate}/services/{SERVICE}/results"
                sending = asyncio.create_task(client.post(url))
                await asyncio.sleep(0.1)
                started_at = time.monotonic()
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.05)
                process.send_signal(signal.SIGTERM)
                status = (await sending).status_code
                await asyncio.to_thread(process.wait, READY_S)
                return status, time.monotonic() - started_at

        status, _ = asyncio.run(main())
        self.assertEqual((200, 0), (status, process.returncode))


def wait_until(is_done: object) -> None:
    """Polls until `is_done()` returns true; a failed HTTP request counts as false.

    Raises:
        AssertionError: the condition did not hold within `READY_S` seconds.
    """
    end = time.monotonic() + READY_S
    while time.monotonic() < end:
        try:
            if is_done():  # type: ignore[operator]
                return
        except httpx.HTTPError:
            pass
        time.sleep(POLL_S)
    raise AssertionError("the deployment did not become ready")


def _get(gate: str, path: str) -> int:
    return httpx.get(f"http://{gate}/services/{SERVICE}/{path}").status_code


def _configure(gate: str) -> bool:
    patch = {"zones": {ZONE: {}}, "services": {SERVICE: {}}}
    version = httpx.get(f"http://{gate}/config").headers["etag"]
    response = httpx.patch(f"http://{gate}/config", json=patch, headers={"If-Match": version})
    return response.status_code == 200


def _backend(address: str) -> dict[str, object]:
    return {
        "vm_id": f"backend-{address.rpartition(':')[2]}",
        "zone": ZONE,
        "rack": f"{ZONE}-r0",
        "kind": "backend",
        "state": "live",
        "address": address,
        "service": SERVICE,
    }
