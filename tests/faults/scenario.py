"""A scenario that passes every failpoint of the scheduler, with faults injected at some of them."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Sequence
from unittest import mock

from pollengate.failpoints import Failpoint
from pollengate.jobs import JobSpec, Resources

from tests.faults.deployment import Deployment, DisabledRule
from tests.faults.fault_injection import ProcessControl
from tests.faults.faults import Fault, inject
from tests.faults.rules import MAX_START_LAG_S, Violation, check, is_complete
from tests.utils import build_spec, run_virtual

__all__ = ["Cell", "CellResult", "run_cell"]

COMPLETION_TIMEOUT_S = 150.0
PROCESSES_PER_ZONE = 2
WORKERS_PER_ZONE = 2
# Low enough for the ledger to be compacted within the scenario.
COMPACT_AFTER_SEGMENTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """The faults that are injected in one run of the scenario.

    Attributes:
        faults: each fault with its failpoint and the occurrence at which it is injected, counted
            from 1 over all processes.
        disabled_rule: rule that is disabled, None for the full protocol.
    """

    faults: tuple[tuple[Failpoint, Fault, int], ...] = ()
    disabled_rule: DisabledRule | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CellResult:
    """The result of one cell.

    Attributes:
        violations: violations of rules.
        injected: number of faults that were injected.
        reached_failpoints: failpoints that were reached.
        duration_s: virtual time until every accepted job had ended, or until the time-out.
    """

    violations: tuple[Violation, ...]
    injected: int
    reached_failpoints: frozenset[Failpoint]
    duration_s: float


def run_cell(cell: Cell) -> CellResult:
    """Runs the scenario once, on virtual time."""
    with mock.patch("pollengate.ledger.COMPACT_AFTER_SEGMENTS", COMPACT_AFTER_SEGMENTS):
        return run_virtual(_run(cell))


async def _run(cell: Cell) -> CellResult:
    reached: Counter[Failpoint] = Counter()
    injected = 0

    def on_failpoint(failpoint: Failpoint, control: ProcessControl) -> None:
        nonlocal injected
        reached[failpoint] += 1
        for at, fault, occurrence in cell.faults:
            if at is failpoint and occurrence == reached[failpoint]:
                injected += 1
                inject(fault, deployment, control)

    deployment = Deployment(on_failpoint, cell.disabled_rule)
    try:
        await _drive(deployment)
        await _wait_until_complete(deployment)
        duration_s = asyncio.get_running_loop().time()
        violations = check(deployment)
    finally:
        await deployment.close()
    return CellResult(
        tuple(violations), injected, frozenset(deployment.reached_failpoints), duration_s
    )


async def _drive(deployment: Deployment) -> None:
    for zone in ("a", "b"):
        for _ in range(WORKERS_PER_ZONE):
            deployment.add_worker(zone)
        for _ in range(PROCESSES_PER_ZONE):
            deployment.start_process(zone)
    await _submit_all(deployment, _first_jobs(), "a")
    await asyncio.sleep(4.0)
    deployment.evictions_by_zone["a"] = ["long.0"]
    await asyncio.sleep(1.0)
    cancelling = asyncio.create_task(deployment.cancel("doomed"))
    await asyncio.sleep(2.0)
    deployment.set_zone("a", in_service=False)
    probing = asyncio.create_task(deployment.submit(_job("probe", 100), "a", retry=False))
    await asyncio.sleep(MAX_START_LAG_S + 0.5)
    submitting = asyncio.create_task(_submit_all(deployment, [_job("late", 200, count=3)], "a"))
    await asyncio.sleep(4.5)
    deployment.set_zone("a", in_service=True)
    await _submit_all(deployment, [_job("back", 3_000, count=4)], "a")
    await _stop_owner(deployment, "a")
    await asyncio.sleep(2.0)
    _kill_owner(deployment, "a")
    await _submit_all(deployment, [_job("last", 500, count=3)], "a")
    await asyncio.gather(cancelling, probing, submitting)


async def _submit_all(deployment: Deployment, specs: Sequence[JobSpec], zone: str) -> None:
    async with asyncio.timeout(COMPLETION_TIMEOUT_S):
        await asyncio.gather(*(deployment.submit(spec, zone) for spec in specs))


def _first_jobs() -> list[JobSpec]:
    return [
        _job("array", 1_500, count=8),
        _job("once", 6_000, count=2, idempotent=False),
        _job("long", 20_000),
        _job("doomed", 60_000),
    ]


def _job(job_id: str, duration_ms: int, count: int = 1, idempotent: bool = True) -> JobSpec:
    return build_spec(
        job_id,
        count=count,
        duration_ms=duration_ms,
        idempotent=idempotent,
        resources=Resources(1, 100),
    )


async def _stop_owner(deployment: Deployment, zone: str) -> None:
    process = deployment.serving(zone)
    if process is not None and not process.control.is_frozen:
        await deployment.stop(process)


def _kill_owner(deployment: Deployment, zone: str) -> None:
    process = deployment.serving(zone)
    if process is not None:
        deployment.kill(process.control)


async def _wait_until_complete(deployment: Deployment) -> None:
    deadline = asyncio.get_running_loop().time() + COMPLETION_TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline:
        if is_complete(deployment):
            return
        await asyncio.sleep(0.5)
