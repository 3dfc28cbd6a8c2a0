"""Runs the whole system on the loopback interface and sends it requests of every kind.

With --serve the system runs until interrupted; otherwise it stops after the requests. Logs and
settings are written to `run/`.
"""

import contextlib
import dataclasses
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import click
import httpx

BIN = Path(sys.executable).parent
RUN_DIRECTORY = Path(__file__).parent.parent / "run"
HOST = "127.0.0.1"
# Below the ports that Linux assigns to outgoing connections.
LISTEN_PORTS = range(20_000, 32_768)
ZONES = ("lima-sur-a", "lima-sur-b", "lima-sur-c")
SERVICE = "scoring"
GATES_PER_ZONE = 2
SCHEDULERS_PER_ZONE = 2
WORKERS_PER_ZONE = 3
BACKENDS_PER_ZONE = 2
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 20.0
# Longer than the few seconds within which tasks may still start in a zone taken out of service.
ZONE_OUT_WAIT_S = 4.0
ARRAYS_WHILE_OUT = 6
TASKS_PER_ARRAY = 4
MAX_TASKS_UNTIL_BACK = 50
_listen_ports = itertools.cycle(
    random.Random(os.getpid()).sample(LISTEN_PORTS, k=len(LISTEN_PORTS))
)


@dataclasses.dataclass(slots=True)
class Deployment:
    """The processes that this script has started, and their addresses.

    Attributes:
        store: address of the store.
        vm_list: address of the VM list.
        processes_by_name: every process that was started.
        gates: HTTP addresses of the gates.
    """

    store: str
    vm_list: str
    processes_by_name: dict[str, subprocess.Popen[bytes]] = dataclasses.field(default_factory=dict)
    gates: list[str] = dataclasses.field(default_factory=list)

    def start(self, name: str, *command: str) -> None:
        """Starts a process that logs to `<name>.log` in the run directory."""
        log = (RUN_DIRECTORY / f"{name}.log").open("wb")
        arguments = [str(BIN / command[0]), *command[1:]]
        self.processes_by_name[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def check_processes(self) -> None:
        """Checks that every process is still running.

        Raises:
            SystemExit: a process has ended.
        """
        for name, process in self.processes_by_name.items():
            if process.poll() is not None:
                raise SystemExit(f"{name} exited with {process.returncode}; see run/{name}.log")

    def stop(self) -> None:
        """Stops all processes in reverse order; one that does not end in time is killed."""
        for process in reversed(self.processes_by_name.values()):
            process.send_signal(signal.SIGTERM)
        for process in self.processes_by_name.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()


def free_addresses(count: int) -> list[str]:
    """Returns different unused loopback addresses that no outgoing connection can take."""
    addresses: list[str] = []
    while len(addresses) < count:
        port = next(_listen_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            addresses.append(f"{HOST}:{port}")
    return addresses


def start_platform(deployment: Deployment) -> None:
    """Starts the store, the VM list, workers and backend servers."""
    stand_in = "pollengate-standins"
    deployment.start("store", stand_in, "store", "--address", deployment.store)
    vm_entries = []
    for zone in ZONES:
        addresses = free_addresses(WORKERS_PER_ZONE + BACKENDS_PER_ZONE)
        for number, address in enumerate(addresses[:WORKERS_PER_ZONE]):
            name = f"worker-{zone}-{number}"
            sizes = {"cores": 64, "memory_mb": 250_000, "accelerators": 0}
            vm_entries.append(vm_entry(name, zone, "worker", address) | sizes)
            deployment.start(name, stand_in, "worker", "--address", address, "--id", name)
        for number, address in enumerate(addresses[WORKERS_PER_ZONE:]):
            name = f"backend-{zone}-{number}"
            vm_entries.append(vm_entry(name, zone, "backend", address) | {"service": SERVICE})
            deployment.start(name, stand_in, "backend", "--address", address, "--service", SERVICE)
    listing = RUN_DIRECTORY / "vms.json"
    listing.write_text(json.dumps(vm_entries))
    options = ("--address", deployment.vm_list, "--file", str(listing))
    deployment.start("vm-list", stand_in, "vm-list", *options)


def vm_entry(vm_id: str, zone: str, kind: str, address: str) -> dict[str, object]:
    """Returns the entry of a VM in the VM list."""
    return {
        "vm_id": vm_id,
        "zone": zone,
        "rack": f"{zone}-r0",
        "kind": kind,
        "state": "live",
        "address": address,
    }


def start_system(deployment: Deployment) -> None:
    """Starts the gates and schedulers of every zone."""
    for zone in ZONES:
        for number in range(GATES_PER_ZONE):
            deployment.gates.append(start_role(deployment, "gate", zone, number))
        for number in range(SCHEDULERS_PER_ZONE):
            start_role(deployment, "scheduler", zone, number)


def start_role(deployment: Deployment, role: str, zone: str, number: int) -> str:
    """Starts a gate or scheduler and returns its HTTP address."""
    name = f"{role}-{zone}-{number}"
    http, rpc = free_addresses(2)
    path = RUN_DIRECTORY / f"{name}.toml"
    path.write_text(
        f'[process]\nid = "{name}"\nzone = "{zone}"\n'
        f'[listen]\nhttp = "{http}"\nrpc = "{rpc}"\n'
        f'[platform]\nstore = "{deployment.store}"\nvm_list = "{deployment.vm_list}"\n'
    )
    deployment.start(name, "pollengated", role, "--settings", str(path))
    return http


class Driver:
    """Sends requests to a deployment as callers and operators do."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._gate = httpx.Client(base_url=f"http://{deployment.gates[0]}", timeout=10)

    def run(self) -> None:
        """Sends every kind of request and prints the results.

        Raises:
            SystemExit: a request had no success in time, or a task ran in the wrong zone.
        """
        self.wait("gates are ready", self.are_ready)
        zones = {zone: {"in_service": True} for zone in ZONES}
        self.wait("first patch", lambda: self.patch({"zones": zones, "services": {SERVICE: {}}}))
        self.wait("owners", lambda: self.owner_count() == len(ZONES))
        path = f"/services/{SERVICE}/standings"
        self.wait("service", lambda: self._gate.get(path).status_code == 200)
        response = self._gate.post(f"/services/{SERVICE}/results", json={"winner": "Rojas"})
        print(f"service request answered: {response.status_code} {response.json()}")
        self.run_task("standings-1")
        self.take_out_and_bring_back(ZONES[0])

    def take_out_and_bring_back(self, zone: str) -> None:
        """Takes a zone out of service, checks that no task starts there, and puts it back.

        Raises:
            SystemExit: a task ran in the zone while it was out, or none did afterwards.
        """
        self.run_cli("zone", "out", zone)
        time.sleep(ZONE_OUT_WAIT_S)
        for number in range(ARRAYS_WHILE_OUT):
            if self.run_task(f"archive-out-{number}", TASKS_PER_ARRAY) == zone:
                raise SystemExit(f"a task ran in zone {zone}, which is out of service")
        self.run_cli("zone", "in", zone)
        for number in range(MAX_TASKS_UNTIL_BACK):
            if self.run_task(f"back-{number}") == zone:
                return
        raise SystemExit(
            f"none of {MAX_TASKS_UNTIL_BACK} tasks ran in zone {zone} after it was back in service"
        )

    def are_ready(self) -> bool:
        """Returns True if every gate reports that it is ready."""
        addresses = self._deployment.gates
        return all(httpx.get(f"http://{a}/readyz").status_code == 200 for a in addresses)

    def patch(self, patch: dict[str, object]) -> bool:
        """Patches the current version of the configuration; returns True if that succeeded."""
        version = self._gate.get("/config").headers["etag"]
        headers = {"If-Match": version, "Idempotency-Key": os.urandom(8).hex()}
        return self._gate.patch("/config", json=patch, headers=headers).status_code == 200

    def owner_count(self) -> int:
        """Returns the number of shard owners that the status reports."""
        return sum(int(zone["owners"]) for zone in self._gate.get("/status").json()["zones"])

    def run_task(self, task_id: str, count: int = 1) -> str:
        """Submits an array of `count` tasks, waits until it has finished and returns its zone."""
        task = {"team": "league", "cores": 2, "memory_mb": 500, "count": count, "duration_ms": 300}
        path = f"/tasks/{task_id}"
        self.wait(f"submit {task_id}", lambda: self._gate.put(path, json=task).is_success)
        self.wait(
            f"finish {task_id}", lambda: self._gate.get(path).json().get("state") == "finished"
        )
        zone = str(self._gate.get(path).json()["zone"])
        print(f"task {task_id} finished in {zone} with {count} tasks")
        return zone

    def run_cli(self, *arguments: str) -> None:
        """Runs `pollengate` with the addresses of all gates."""
        environment = os.environ | {"POLLENGATE_GATE": " ".join(self._deployment.gates)}
        command = [str(BIN / "pollengate"), *arguments]
        print("$ pollengate " + " ".join(arguments), flush=True)
        subprocess.run(command, env=environment, check=True)

    def wait(self, what: str, is_done: Callable[[], bool]) -> None:
        """Polls until `is_done` returns True; an HTTP error or invalid response counts as False.

        Raises:
            SystemExit: the time is over, or a process has ended.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            self._deployment.check_processes()
            try:
                if is_done():
                    return
            except (httpx.HTTPError, ValueError):
                pass
            time.sleep(POLL_INTERVAL_S)
        raise SystemExit(f"timed out after {READY_TIMEOUT_S:.0f} s: {what}")


@click.command()
@click.option("--serve", is_flag=True, help="Keep the system running until interrupted.")
def main(serve: bool) -> None:
    """Runs the whole system on the loopback interface."""
    RUN_DIRECTORY.mkdir(exist_ok=True)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    store, vm_list = free_addresses(2)
    deployment = Deployment(store, vm_list)
    try:
        start_platform(deployment)
        start_system(deployment)
        Driver(deployment).run()
        if serve:
            print(f'export POLLENGATE_GATE="{" ".join(deployment.gates)}"', flush=True)
            signal.pause()
    except KeyboardInterrupt:
        print("stopping")
    finally:
        deployment.stop()
    print("done")


if __name__ == "__main__":
    main()
