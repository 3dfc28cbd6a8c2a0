"""The `pollengated` binary."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
from result import Err

from pollengated.compose import run_gate, run_scheduler
from pollengated.settings import Settings, read_settings

__all__ = ["main"]

EXIT_USAGE = 2

_SETTINGS = click.option(
    "--settings", "path", required=True, type=click.Path(path_type=Path), help="Settings file."
)


@click.group()
def main() -> None:
    """Runs one process of the scheduler."""


@main.command()
@_SETTINGS
def gate(path: Path) -> None:
    """Answers callers and operators."""
    _run(path, run_gate)


@main.command()
@_SETTINGS
def scheduler(path: Path) -> None:
    """Owns shards of its zone, or stands by for them."""
    _run(path, run_scheduler)


def _run(path: Path, role: Callable[[Settings], Awaitable[None]]) -> None:
    result = read_settings(path)
    if isinstance(result, Err):
        for fault in result.err_value:
            click.echo(str(fault), err=True)
        sys.exit(EXIT_USAGE)
    asyncio.run(role(result.ok_value))  # type: ignore[arg-type]
