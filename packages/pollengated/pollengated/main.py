"""The `pollengated` binary."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
from result import Err

from pollengated.settings import Settings, read_settings

__all__ = ["main"]

# Roles are imported by their commands: a restarted process pays for what it needs alone.

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
    from pollengated.compose import run_gate

    _run(path, run_gate)


@main.command()
@_SETTINGS
def scheduler(path: Path) -> None:
    """Owns shards of its zone, or stands by for them."""
    from pollengated.compose import run_scheduler

    _run(path, run_scheduler)


@main.command()
def edge() -> None:
    """Takes jobs and runs them on the users' platform; its settings file is the platform's."""
    from pollengate_platform.boot import read_boot_settings

    from pollengated.edge.compose import run_edge

    result = read_boot_settings()
    if isinstance(result, Err):
        click.echo(result.err_value, err=True)
        sys.exit(EXIT_USAGE)
    asyncio.run(run_edge(result.ok_value))


def _run(path: Path, role: Callable[[Settings], Awaitable[None]]) -> None:
    result = read_settings(path)
    if isinstance(result, Err):
        for fault in result.err_value:
            click.echo(str(fault), err=True)
        sys.exit(EXIT_USAGE)
    asyncio.run(role(result.ok_value))  # type: ignore[arg-type]
