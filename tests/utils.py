"""Builders and drivers that tests share."""

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime
from pollengate.jobs import JobSpec, Resources
from pollengate.virtual_machines import VirtualMachine, VmKind, VmState
from pollengate_settings import Settings

__all__ = ["build_settings", "build_spec", "build_worker", "free_addresses", "run_virtual"]

T = TypeVar("T")
LOOP_END_S = 36_000.0
# Enough for handles that a poll of the selector makes ready; the default of 42 costs most of the
# time.
NOOP_CYCLES = 1


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a loop whose clock jumps over idle time."""
    loop = looptime.new_event_loop(start=0, end=LOOP_END_S, noop_cycles=NOOP_CYCLES)
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_cancel_leftovers())
        asyncio.set_event_loop(None)
        loop.close()


async def _cancel_leftovers() -> None:
    """Ends the tasks that a test left running, so that none is destroyed while pending."""
    leftovers = asyncio.all_tasks() - {asyncio.current_task()}
    for task in leftovers:
        task.cancel()
    await asyncio.gather(*leftovers, return_exceptions=True)
    await asyncio.get_running_loop().shutdown_asyncgens()


def build_spec(job_id: str = "job", **changes: Any) -> JobSpec:
    """Returns a job of one small task."""
    fields: dict[str, Any] = {
        "job_id": job_id,
        "team": "team",
        "task_class": "default",
        "resources": Resources(1, 100),
    }
    return JobSpec(**(fields | changes))


def build_worker(worker_id: str = "w0", zone: str = "a", **changes: Any) -> VirtualMachine:
    """Returns a live worker with four cores."""
    fields: dict[str, Any] = {
        "vm_id": worker_id,
        "zone": zone,
        "rack": f"{zone}-r0",
        "kind": VmKind.WORKER,
        "state": VmState.LIVE,
        "address": "127.0.0.1:1",
        "cores": 4,
        "memory_mb": 1000,
    }
    return VirtualMachine(**(fields | changes))


def build_settings(**changes: Any) -> Settings:
    """Returns the settings of a process on loopback."""
    fields: dict[str, Any] = {
        "process_id": "gate-1",
        "zone": "a",
        "http_address": "127.0.0.1:8080",
        "rpc_address": "127.0.0.1:8081",
        "store_address": "127.0.0.1:2379",
        "vm_list_address": "127.0.0.1:8000",
    }
    return Settings(**(fields | changes))


def free_addresses(count: int) -> list[str]:
    """Returns unused loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return addresses
