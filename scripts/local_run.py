"""Starts the whole system on loopback, drives it over HTTP and stops it.

With --serve it leaves the system up until interrupted.
"""

import dataclasses
import json
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
HOST = "127.0.0.1"
ZONES = ("lima-sur-a", "lima-sur-b", "lima-sur-c")
SERVICE = "scoring"
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 20.0
# Longer than the brief's "a few seconds" after which a zone that is out gets no start.
ZONE_OUT_WAIT_S = 4.0


@dataclasses.dataclass(slots=True)
class Deployment:
    """Processes that this script started and the addresses that it gave them."""

    directory: Path
    processes: list[subprocess.Popen[bytes]]
    gates: list[str]
    store: str
    vm_list: str


def free_addresses(count: int) -> list[str]:
    """Returns unused loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    addresses = [f"{HOST}:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return addresses


def start(deployment: Deployment, name: str, *command: str) -> None:
    """Starts one process with its log in the run directory."""
    log = (deployment.directory / f"{name}.log").open("wb")
    process = subprocess.Popen([str(BIN / command[0]), *command[1:]], stdout=log, stderr=log)
    deployment.processes.append(process)


def write_settings(deployment: Deployment, name: str, zone: str, http: str, rpc: str) -> str:
    """Writes the settings file of one process and returns its path."""
    path = deployment.directory / f"{name}.toml"
    path.write_text(
        f'[process]\nid = "{name}"\nzone = "{zone}"\n'
        f'[listen]\nhttp = "{http}"\nrpc = "{rpc}"\n'
        f'[platform]\nstore = "{deployment.store}"\nvm_list = "{deployment.vm_list}"\n'
    )
    return str(path)


def start_platform(deployment: Deployment) -> None:
    """Starts the store, the VM list, workers and backend servers."""
    start(deployment, "store", "pollengate-standins", "store", "--address", deployment.store)
    machines = []
    for zone in ZONES:
        for number in range(3):
            vm_id, address = f"worker-{zone}-{number}", free_addresses(1)[0]
            sizes = {"cores": 64, "memory_mb": 250_000, "accelerators": 0}
            machines.append(machine(vm_id, zone, "worker", address) | sizes)
            start(
                deployment,
                vm_id,
                "pollengate-standins",
                "worker",
                "--address",
                address,
                "--id",
                vm_id,
            )
        for number in range(2):
            vm_id, address = f"backend-{zone}-{number}", free_addresses(1)[0]
            machines.append(machine(vm_id, zone, "backend", address) | {"service": SERVICE})
            start(
                deployment,
                vm_id,
                "pollengate-standins",
                "backend",
                "--address",
                address,
                "--service",
                SERVICE,
            )
    listing = deployment.directory / "vms.json"
    listing.write_text(json.dumps(machines))
    start(
        deployment,
        "vm-list",
        "pollengate-standins",
        "vm-list",
        "--address",
        deployment.vm_list,
        "--file",
        str(listing),
    )


def machine(vm_id: str, zone: str, kind: str, address: str) -> dict[str, object]:
    """Returns the listing of one VM."""
    return {
        "vm_id": vm_id,
        "zone": zone,
        "rack": f"{zone}-r0",
        "kind": kind,
        "state": "live",
        "address": address,
    }


def start_system(deployment: Deployment) -> None:
    """Starts two gates and two schedulers a zone."""
    for zone in ZONES:
        for number in range(2):
            for role in ("gate", "scheduler"):
                name = f"{role}-{zone}-{number}"
                http, rpc = free_addresses(2)
                path = write_settings(deployment, name, zone, http, rpc)
                start(deployment, name, "pollengated", role, "--settings", path)
                if role == "gate":
                    deployment.gates.append(http)


def wait_until(what: str, is_done: Callable[[], bool]) -> None:
    """Polls until a condition holds.

    Raises:
        SystemExit: it did not hold in time.
    """
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        try:
            if is_done():
                return
        except httpx.HTTPError:
            pass
        time.sleep(POLL_INTERVAL_S)
    raise SystemExit(f"timed out: {what}")


def drive(deployment: Deployment) -> None:
    """Drives every kind of request over HTTP and prints what was done."""
    gate = httpx.Client(base_url=f"http://{deployment.gates[0]}", timeout=10)
    wait_until("gate is up", lambda: gate.get("/healthz").status_code == 200)
    zones = {zone: {"in_service": True} for zone in ZONES}
    configure(gate, {"zones": zones, "services": {SERVICE: {}}})
    wait_until("owners", lambda: owner_count(gate) == len(ZONES))
    wait_until("service", lambda: gate.get(f"/services/{SERVICE}/standings").status_code == 200)
    answer = gate.post(f"/services/{SERVICE}/results", json={"match": 7, "winner": "Rojas"})
    print(f"service request answered: {answer.status_code} {answer.json()}")
    run_task(gate, "standings-1")
    configure(gate, {"zones": {ZONES[0]: {"in_service": False}}})
    print(f"zone {ZONES[0]} out of service")
    time.sleep(ZONE_OUT_WAIT_S)
    run_array(gate, "archive-out", absent=ZONES[0])
    configure(gate, {"zones": {ZONES[0]: {"in_service": True}}})
    print(f"zone {ZONES[0]} back in service")
    run_until_started_in(gate, ZONES[0])


def owner_count(gate: httpx.Client) -> int:
    """Returns the number of shards whose owner answers."""
    return sum(int(zone["owners"]) for zone in gate.get("/status").json()["zones"])


def configure(gate: httpx.Client, patch: dict[str, object]) -> None:
    """Patches the configuration against its current version."""
    wait_until("patch", lambda: try_patch(gate, patch))


def try_patch(gate: httpx.Client, patch: dict[str, object]) -> bool:
    """Patches the configuration once."""
    version = gate.get("/config").headers["etag"]
    answer = gate.patch("/config", json=patch, headers={"If-Match": version})
    return answer.status_code == 200


def run_task(gate: httpx.Client, task_id: str, count: int = 1) -> dict[str, object]:
    """Submits a batch task, waits until it has finished and returns its status."""
    task = {"team": "league", "cores": 2, "memory_mb": 500, "count": count, "duration_ms": 300}
    wait_until("submit", lambda: gate.put(f"/tasks/{task_id}", json=task).status_code < 300)
    status: dict[str, object] = {}

    def is_finished() -> bool:
        status.update(gate.get(f"/tasks/{task_id}").json())
        return status.get("state") == "finished"

    wait_until(f"task {task_id}", is_finished)
    print(f"task {task_id} finished in {status['zone']} with {count} tasks")
    return status


def run_array(gate: httpx.Client, prefix: str, absent: str) -> None:
    """Runs arrays and checks that none ran in a zone that is out of service."""
    for number in range(6):
        status = run_task(gate, f"{prefix}-{number}", count=4)
        if status["zone"] == absent:
            raise SystemExit(f"task started in {absent}, which is out of service")


def run_until_started_in(gate: httpx.Client, zone: str) -> None:
    """Submits tasks until one runs in a zone."""
    for number in range(50):
        if run_task(gate, f"back-{number}")["zone"] == zone:
            return
    raise SystemExit(f"no task started in {zone}")


def stop(deployment: Deployment) -> None:
    """Stops the processes that this script started."""
    for process in reversed(deployment.processes):
        process.send_signal(signal.SIGTERM)
    for process in deployment.processes:
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()


@click.command()
@click.option("--serve", is_flag=True, help="Leave the system up until interrupted.")
def main(serve: bool) -> None:
    """Runs the whole system on loopback."""
    directory = Path("run")
    directory.mkdir(exist_ok=True)
    store, vm_list = free_addresses(2)
    deployment = Deployment(directory, [], [], store, vm_list)
    try:
        start_platform(deployment)
        start_system(deployment)
        drive(deployment)
        if serve:
            print("gates: " + " ".join(deployment.gates))
            signal.pause()
    except KeyboardInterrupt:
        print("stopping")
    finally:
        stop(deployment)
    print("done")


if __name__ == "__main__":
    main()
