"""The cells of the fault matrix: every fault at every failpoint, and sampled pairs of faults."""

import concurrent.futures
import dataclasses
import functools
import multiprocessing
import random
from collections.abc import Sequence

from pollengate.failpoints import Failpoint

from tests.faults.faults import Fault
from tests.faults.scenario import Cell, CellResult, run_cell

__all__ = [
    "CellFailure",
    "close_pool",
    "sample_fault_pairs",
    "render_table",
    "single_fault_cells",
    "run_cells",
]

PROCESSES = 4
CELLS_PER_CHUNK = 4
MAX_OCCURRENCE = 4

FLOWS = {
    "submit": ("submit_received", "submit_recorded"),
    "start": ("start_planned", "intent_recorded", "start_sending", "start_answered"),
    "renew": ("owner_renewing", "owner_renewed", "heartbeat_received", "heartbeat_answering"),
    "checkpoint, evict": (
        "evict_requested",
        "stop_sending",
        "stop_answered",
        "checkpoint_reported",
        "checkpoint_recorded",
    ),
    "resume": ("resume_sending",),
    "finish": (
        "finish_reported",
        "ledger_writing",
        "ledger_written",
        "ledger_folding",
        "ledger_folded",
    ),
    "cancel": ("cancel_received", "cancel_recorded"),
    "take over": (
        "take_started",
        "lease_granted",
        "owner_taken",
        "ledger_read",
        "attach_sending",
        "worker_attached",
        "worker_recorded",
        "recovery_finished",
    ),
    "hand over, stop": (
        "stop_requested",
        "starts_drained",
        "handover_writing",
        "handover_written",
        "lease_released",
    ),
    "zone out, zone in": (
        "drain_started",
        "transfer_writing",
        "transfer_written",
        "transfer_received",
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class CellFailure:
    """A cell in which a rule was violated."""

    cell: Cell
    result: CellResult

    def __str__(self) -> str:
        where = " and ".join(f"{f.value} at {s.value} #{n}" for s, f, n in self.cell.faults)
        return f"{where}: {self.result.violations[0]}"


def single_fault_cells(fault: Fault) -> list[Cell]:
    """Returns the cells of one fault: one per failpoint, when it is first reached."""
    return [Cell(((failpoint, fault, 1),)) for failpoint in Failpoint]


def sample_fault_pairs(seed: int, count: int) -> list[Cell]:
    """Returns cells with two faults each, at sampled occurrences of sampled failpoints."""
    generator = random.Random(seed)
    failpoints, faults = list(Failpoint), list(Fault)

    def sample() -> tuple[Failpoint, Fault, int]:
        occurrence = generator.randint(1, MAX_OCCURRENCE)
        return generator.choice(failpoints), generator.choice(faults), occurrence

    return [Cell((sample(), sample())) for _ in range(count)]


def run_cells(cells: Sequence[Cell]) -> list[CellResult]:
    """Runs cells in parallel processes; the result of each is deterministic."""
    return list(_pool().map(run_cell, cells, chunksize=CELLS_PER_CHUNK))


def close_pool() -> None:
    """Ends the processes of the pool that runs cells."""
    _pool().shutdown()
    _pool.cache_clear()


@functools.cache
def _pool() -> concurrent.futures.ProcessPoolExecutor:
    context = multiprocessing.get_context("spawn")
    return concurrent.futures.ProcessPoolExecutor(PROCESSES, mp_context=context)


def render_table(injected_by_fault: dict[Fault, set[Failpoint]]) -> str:
    """Returns the table of the cells that were run.

    For each fault and flow, it shows at how many of the flow's failpoints the fault was injected.
    """
    lines = [
        "| fault | " + " | ".join(FLOWS) + " | cells |",
        "|---|" + "---|" * (len(FLOWS) + 1),
    ]
    for fault in Fault:
        hit = injected_by_fault[fault]
        counts = [
            f"{sum(Failpoint(n) in hit for n in names)}/{len(names)}" for names in FLOWS.values()
        ]
        lines.append(f"| {fault.value} | " + " | ".join(counts) + f" | {len(hit)} |")
    total = sum(len(hit) for hit in injected_by_fault.values())
    lines.append(f"\n{total} cells of one fault.")
    return "\n".join(lines) + "\n"
