"""Runs every test cell with a single fault and updates the table of docs/design/fault-matrix.md."""

import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from tests.faults.faults import Fault  # noqa: E402
from tests.faults.matrix import (  # noqa: E402
    CellFailure,
    close_pool,
    render_table,
    run_cells,
    single_fault_cells,
)

PAGE = ROOT / "docs/design/fault-matrix.md"
BEGIN, END = "<!-- table -->\n", "<!-- end of table -->\n"


def main() -> None:
    """Runs the cells, prints those with violations and rewrites the table of `PAGE`."""
    hit = {}
    for fault in Fault:
        cells = single_fault_cells(fault)
        results = run_cells(cells)
        pairs = list(zip(cells, results, strict=True))
        hit[fault] = {cell.faults[0][0] for cell, result in pairs if result.injected}
        for cell, result in pairs:
            if result.violations:
                print(CellFailure(cell, result))
    close_pool()
    text = PAGE.read_text()
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    PAGE.write_text(before + BEGIN + render_table(hit) + END + after)


if __name__ == "__main__":
    main()
