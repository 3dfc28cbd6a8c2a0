"""Formats plain text tables."""

from collections.abc import Iterable, Sequence

__all__ = ["format_table"]

COLUMN_GAP = "  "


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns a table with aligned columns; columns of numbers are right-aligned.

    Args:
        headings: one for each column.
        rows: cells of each row; None and "" are shown as `-`, booleans as `yes` or `no`.
    """
    cells = [list(row) for row in rows]
    text_rows = [list(headings), *([_format_cell(cell) for cell in row] for row in cells)]
    widths = [max(len(row[column]) for row in text_rows) for column in range(len(headings))]
    is_number = [_is_number_column(cells, column) for column in range(len(headings))]
    lines = []
    for row in text_rows:
        aligned = [
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(row, widths, is_number, strict=True)
        ]
        lines.append(COLUMN_GAP.join(aligned).rstrip())
    return "\n".join(lines)


def _format_cell(cell: object) -> str:
    if cell is None or cell == "":
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)


def _is_number_column(rows: list[list[object]], column: int) -> bool:
    return bool(rows) and all(
        isinstance(row[column], int | float) and not isinstance(row[column], bool) for row in rows
    )
