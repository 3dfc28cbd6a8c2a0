"""The command line that starts a stand-in."""

import asyncio
from pathlib import Path
from typing import Any

import click
import uvicorn
from grpclib.server import Server
from pollengate.jobs import Resources
from pollengate_net.calls import split_address

from pollengate_standins.backend_server import create_backend_app
from pollengate_standins.store_server import create_store_app
from pollengate_standins.vm_list_server import create_vm_list_app
from pollengate_standins.worker_server import WorkerModel, WorkerService

__all__ = ["main"]


@click.group()
def main() -> None:
    """Stand-ins for the platform."""


@main.command()
@click.option("--address", required=True)
def store(address: str) -> None:
    """Serves an empty in-memory store."""
    _serve_http(create_store_app(), address)


@main.command("vm-list")
@click.option("--address", required=True)
@click.option("--file", "path", required=True, type=click.Path(path_type=Path, exists=True))
def vm_list(address: str, path: Path) -> None:
    """Serves the VM list of a file."""
    _serve_http(create_vm_list_app(path), address)


@main.command()
@click.option("--address", required=True)
@click.option("--service", required=True)
@click.option("--slots", default=8)
@click.option("--work-ms", default=5.0)
def backend(address: str, service: str, slots: int, work_ms: float) -> None:
    """Serves one backend server."""
    _serve_http(create_backend_app(service, slots, work_ms / 1000), address)


@main.command()
@click.option("--address", required=True)
@click.option("--id", "worker_id", required=True)
@click.option("--cores", default=64)
@click.option("--memory-mb", default=250_000)
@click.option("--accelerators", default=0)
def worker(address: str, worker_id: str, cores: int, memory_mb: int, accelerators: int) -> None:
    """Serves one worker."""
    capacity = Resources(cores, memory_mb, accelerators)
    asyncio.run(_serve_worker(address, WorkerModel(worker_id, capacity)))


async def _serve_worker(address: str, model: WorkerModel) -> None:
    service = WorkerService(model)
    server = Server([service])
    await server.start(*split_address(address))
    await service.send_heartbeats()


def _serve_http(app: Any, address: str) -> None:
    host, port = split_address(address)
    uvicorn.run(app, host=host, port=port, log_level="warning")
