"""Renders the tables of docs/CAPACITY.md from the measurements."""

from pathlib import Path

from benchmarks.capacity.fits import Fit
from benchmarks.capacity.measurements import Measurements
from benchmarks.capacity.roles import role_costs, store_totals, vm_list_bytes_per_s
from benchmarks.capacity.sizes import LIMITS, TARGET

__all__ = ["PAGE", "render", "extract_tables", "write_page"]

PAGE = Path(__file__).parents[2] / "docs/CAPACITY.md"
BEGIN, END = "<!-- tables -->\n", "<!-- end of tables -->\n"


def render(m: Measurements) -> str:
    """Returns all tables as Markdown."""
    return "\n".join([_slopes(m), _roles(m), _store(m), _limits(m)])


def extract_tables(text: str) -> str:
    """Returns the part of the page's text between the table markers."""
    return text.partition(BEGIN)[2].partition(END)[0]


def write_page(m: Measurements) -> None:
    """Replaces the tables of `PAGE`; the text around them stays."""
    before, _, rest = PAGE.read_text().partition(BEGIN)
    PAGE.write_text(before + BEGIN + render(m) + END + rest.partition(END)[2])


def _slopes(m: Measurements) -> str:
    store, memory, processor = m.store, m.memory, m.processor
    rows = [_fit_row(f"{name} message, bytes", "task", fit) for name, fit in m.messages.items()]
    rows += [
        _fit_row("wire bytes beyond messages", "call on a kept connection", m.framing),
        _fit_row("configuration reads/s", "zone", store.reads_by_zone),
        _fit_row("configuration reads/s, 5 zones", "process of a kind", store.reads_by_process),
        _fit_row("member lease renewals/s", "process", store.lease_calls_by_process),
        _fit_row("peer calls/s a process", "process of its zone", store.peer_calls_by_process),
        _fit_row(
            "peer calls/s of all, store down", "pair of zones", store.outage_peer_calls_by_pair
        ),
        _fit_row("ledger writes/s a shard", "start/s", store.shard_writes_by_start),
        _fit_row("ledger bytes/s a shard", "start/s", store.shard_bytes_by_start),
        _fit_row("books, bytes", "worker", memory.by_worker),
        _fit_row("books, bytes", "queued task", memory.by_queued),
        _fit_row("books, bytes", "running task", memory.by_running),
        _fit_row("owner, share of a core", "worker", processor.owner_by_worker),
        _fit_row("owner, share of a core", "start/s", processor.owner_by_start),
    ]
    head = (
        "## Measured slopes\n\n"
        "| what | grows by | base | slope | residual |\n"
        "|---|---|---|---|---|\n"
    )
    return head + "".join(rows)


def _fit_row(what: str, unit: str, fit: Fit) -> str:
    return f"| {what} | {unit} | {fit.base:.4g} | {fit.slope:.4g} | {100 * fit.residual:.1f} % |\n"


def _roles(m: Measurements) -> str:
    head = (
        "## Each role at the target size (extrapolated)\n\n"
        "| role | state | calls/s | bytes/s | share of a core | memory, MB | carried by |\n"
        "|---|---|---|---|---|---|---|\n"
    )
    rows = [
        f"| {c.name} | {c.state} | {c.calls_per_s:.1f} | {c.bytes_per_s:,.0f} "
        f"| {_percent_of_core(c.core_share)} | {_megabytes(c.memory_mb)} | {c.mitigation} |\n"
        for c in role_costs(m, TARGET)
    ]
    return head + "".join(rows)


def _percent_of_core(core_share: float | None) -> str:
    return "not measured" if core_share is None else f"{100 * core_share:.2f} %"


def _megabytes(memory_mb: float | None) -> str:
    return "–" if memory_mb is None else f"{memory_mb:.0f}"


def _store(m: Measurements) -> str:
    totals = store_totals(m, TARGET)
    head = "## The store, everything together (extrapolated)\n\n| source | calls/s |\n|---|---|\n"
    rows = [f"| read: {name} | {value:.1f} |\n" for name, value in totals.reads_by_source.items()]
    rows += [
        f"| write: {name} | {value:.1f} |\n" for name, value in totals.writes_by_source.items()
    ]
    return head + "".join(rows)


def _limits(m: Measurements) -> str:
    worker, owner, _, gate, *_ = role_costs(m, TARGET)
    totals = store_totals(m, TARGET)
    shares = {c.name: c.core_share or 0.0 for c in (worker, owner, gate)}
    per_node = shares[worker.name] + shares[owner.name] / TARGET.workers_per_shard
    rows = [
        _limit(
            "processor a worker node, its share of its owner included, % of a core",
            100 * per_node,
            100 * LIMITS.node_core_share,
        ),
        _limit("traffic of a worker node, bytes/s", worker.bytes_per_s, LIMITS.node_bytes_per_s),
        _limit(
            "processor of an entry VM with a gate and a shard's owner, % of a core",
            100 * (shares[owner.name] + shares[gate.name]),
            100 * LIMITS.node_core_share,
        ),
        _limit("traffic of an owner, bytes/s", owner.bytes_per_s, LIMITS.node_bytes_per_s),
        _limit("memory of an owner, MB", owner.memory_mb or 0.0, LIMITS.node_memory_mb),
        _limit("memory of a gate, MB", gate.memory_mb or 0.0, LIMITS.node_memory_mb),
        _limit(
            "traffic of a gate without the VM list, bytes/s",
            gate.bytes_per_s,
            LIMITS.node_bytes_per_s,
        ),
        _limit(
            "VM list read by one process, bytes/s",
            vm_list_bytes_per_s(TARGET),
            LIMITS.node_bytes_per_s,
        ),
        _limit("store reads and watches/s", totals.reads, LIMITS.store_reads_per_s),
        _limit("store writes and renewals/s", totals.writes, LIMITS.store_writes_per_s),
        _limit(
            "ledger of a shard, bytes/s",
            m.store.shard_bytes_by_start.at(TARGET.starts_per_shard_s),
            LIMITS.node_bytes_per_s,
        ),
    ]
    head = "## Against the limits\n\n| what | value | limit | |\n|---|---|---|---|\n"
    return head + "".join(rows)


def _limit(what: str, value: float, limit: float) -> str:
    verdict = "met" if value <= limit else "**not met**"
    return f"| {what} | {value:,.2f} | {limit:,.1f} | {verdict} |\n"
