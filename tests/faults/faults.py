"""The faults of the matrix: each is injected at a failpoint and healed some seconds later."""

import asyncio
import enum
from collections.abc import Callable

from pollengate.jobs import Resources
from pollengate.ownership import owner_key
from pollengate.worker_entry import WORKER_LEASE_S

from tests.faults.deployment import Deployment
from tests.faults.fault_injection import STORE_LATENCY_S, ProcessControl
from tests.utils import build_spec

__all__ = ["HEAL_AFTER_S", "Fault", "inject"]

HEAL_AFTER_S = 8.0
# Longer than a worker's lease, so that the lease expires.
WORKER_HEALS_AFTER_S = WORKER_LEASE_S + 4.0
SLOW_CALL_S = 0.7
LOST_WRITES = 3
WAVE_JOBS = 40


class Fault(enum.StrEnum):
    """A fault of a process, a worker or the platform."""

    KILLED = "killed"
    FROZEN = "frozen"
    CUT_FROM_STORE = "cut from store"
    CUT_FROM_WORKERS = "cut from workers"
    ONE_WORKER_CUT_OFF = "one worker cut off"
    WORKER_ANSWERS_LOST = "one-way cut: worker answers lost"
    WORKER_CALL_LATE = "worker call delivered late"
    CONFIGURATION_SILENT = "configuration reads hang"
    HEARTBEATS_LOST = "one-way cut: heartbeats lost"
    HEARTBEAT_ANSWERS_LOST = "one-way cut: heartbeat answers lost"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    REPLY_LOST = "store answer lost after the effect"
    LATE_WRITE = "store write takes effect late"
    LEASE_EXPIRED = "lease lapsed"
    WATCH_SILENT = "watch silent"
    WORKER_REPLACED = "worker VM replaced"
    WORKER_LEAVES = "worker VM leaves"
    VM_LIST_STALE = "VM list stale"
    CONFIGURATION_RACE = "zone out and in within a second"
    CANCELLATION_WAVE = "cancellation wave"


def inject(fault: Fault, deployment: Deployment, control: ProcessControl) -> None:
    """Injects a fault now and, if it is not transient, schedules its end.

    Args:
        fault: the fault.
        deployment: the deployment that it affects.
        control: the process that reached the failpoint; the fault affects it or its zone.
    """
    _INJECTORS[fault](deployment, control)


def _call_later(delay_s: float, heal: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, heal)


def _add_worker(deployment: Deployment, zone: str) -> None:
    deployment.add_worker(zone)


def _kill(deployment: Deployment, control: ProcessControl) -> None:
    deployment.kill(control)


def _freeze(deployment: Deployment, control: ProcessControl) -> None:
    control.freeze()
    _call_later(HEAL_AFTER_S, control.unfreeze)


def _set_on_control(
    name: str, heal_after_s: float = HEAL_AFTER_S
) -> Callable[[Deployment, ProcessControl], None]:
    def set_and_reset(deployment: Deployment, control: ProcessControl) -> None:
        setattr(control, name, True)
        _call_later(heal_after_s, lambda: setattr(control, name, False))

    return set_and_reset


def _cut_from_workers(deployment: Deployment, control: ProcessControl) -> None:
    _set_on_control("is_cut_from_workers", WORKER_HEALS_AFTER_S)(deployment, control)
    _set_on_control("loses_heartbeats", WORKER_HEALS_AFTER_S)(deployment, control)


def _delay_worker_call(deployment: Deployment, control: ProcessControl) -> None:
    control.late_worker_calls = 1


def _cut_off_worker(deployment: Deployment, control: ProcessControl) -> None:
    worker = deployment.busiest_worker(deployment.find_process(control).zone)
    worker.is_cut_off = True
    _call_later(WORKER_HEALS_AFTER_S, lambda: setattr(worker, "is_cut_off", False))


def _mark_worker_leaving(deployment: Deployment, control: ProcessControl) -> None:
    zone = deployment.find_process(control).zone
    deployment.set_leaving(deployment.busiest_worker(zone).worker_id)
    _call_later(HEAL_AFTER_S, lambda: _add_worker(deployment, zone))


def _stop_store(deployment: Deployment, control: ProcessControl) -> None:
    deployment.platform.is_down = True
    _call_later(HEAL_AFTER_S, lambda: setattr(deployment.platform, "is_down", False))


def _slow_store(deployment: Deployment, control: ProcessControl) -> None:
    deployment.platform.delay_s = SLOW_CALL_S
    _call_later(HEAL_AFTER_S, lambda: setattr(deployment.platform, "delay_s", STORE_LATENCY_S))


def _lose_store_replies(deployment: Deployment, control: ProcessControl) -> None:
    deployment.platform.lost_replies = LOST_WRITES


def _delay_write(deployment: Deployment, control: ProcessControl) -> None:
    deployment.platform.late_writes = 1


def _expire_owner_lease(deployment: Deployment, control: ProcessControl) -> None:
    zone = deployment.find_process(control).zone
    asyncio.ensure_future(_revoke_owner_lease(deployment, zone))


async def _revoke_owner_lease(deployment: Deployment, zone: str) -> None:
    entry = (await deployment.store.get(owner_key(zone, 0))).unwrap()
    if entry is not None and entry.lease_id:
        await deployment.store.revoke_lease(entry.lease_id)


def _silence_watches(deployment: Deployment, control: ProcessControl) -> None:
    deployment.platform.watches_open.clear()
    _call_later(HEAL_AFTER_S, deployment.platform.watches_open.set)


def _replace_worker(deployment: Deployment, control: ProcessControl) -> None:
    zone = deployment.find_process(control).zone
    deployment.remove_worker(deployment.busiest_worker(zone).worker_id)
    _call_later(HEAL_AFTER_S, lambda: _add_worker(deployment, zone))


def _freeze_vm_list(deployment: Deployment, control: ProcessControl) -> None:
    deployment.is_listing_stale = True
    _call_later(HEAL_AFTER_S, lambda: setattr(deployment, "is_listing_stale", False))


def _flip_zone(deployment: Deployment, control: ProcessControl) -> None:
    zone = deployment.find_process(control).zone
    was_in_service = deployment.configuration.is_in_service(zone)
    deployment.set_zone(zone, not was_in_service)
    _call_later(1.0, lambda: deployment.set_zone(zone, was_in_service))


def _start_cancellation_wave(deployment: Deployment, control: ProcessControl) -> None:
    asyncio.ensure_future(_run_cancellation_wave(deployment, deployment.find_process(control).zone))


async def _run_cancellation_wave(deployment: Deployment, zone: str) -> None:
    specs = [
        build_spec(f"wave-{number}", count=5, duration_ms=5_000, resources=Resources(2, 10))
        for number in range(WAVE_JOBS)
    ]
    await asyncio.gather(*(deployment.submit(spec, zone) for spec in specs))
    await asyncio.gather(*(deployment.cancel(spec.job_id) for spec in specs))


_INJECTORS = {
    Fault.KILLED: _kill,
    Fault.FROZEN: _freeze,
    Fault.CUT_FROM_STORE: _set_on_control("is_cut_from_store"),
    Fault.CUT_FROM_WORKERS: _cut_from_workers,
    Fault.ONE_WORKER_CUT_OFF: _cut_off_worker,
    Fault.WORKER_ANSWERS_LOST: _set_on_control("loses_worker_replies", WORKER_HEALS_AFTER_S),
    Fault.WORKER_CALL_LATE: _delay_worker_call,
    Fault.CONFIGURATION_SILENT: _set_on_control("is_configuration_silent"),
    Fault.HEARTBEATS_LOST: _set_on_control("loses_heartbeats", WORKER_HEALS_AFTER_S),
    Fault.HEARTBEAT_ANSWERS_LOST: _set_on_control("loses_heartbeat_replies", WORKER_HEALS_AFTER_S),
    Fault.STORE_DOWN: _stop_store,
    Fault.STORE_SLOW: _slow_store,
    Fault.REPLY_LOST: _lose_store_replies,
    Fault.LATE_WRITE: _delay_write,
    Fault.LEASE_EXPIRED: _expire_owner_lease,
    Fault.WATCH_SILENT: _silence_watches,
    Fault.WORKER_REPLACED: _replace_worker,
    Fault.WORKER_LEAVES: _mark_worker_leaving,
    Fault.VM_LIST_STALE: _freeze_vm_list,
    Fault.CONFIGURATION_RACE: _flip_zone,
    Fault.CANCELLATION_WAVE: _start_cancellation_wave,
}
