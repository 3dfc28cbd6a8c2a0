"""Command line of the `pollengated` daemon."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click
from result import Err, Ok

if TYPE_CHECKING:
    from pollengated.settings import Settings

__all__ = ["main"]

# Each command imports its own role, so that a restart does not load the modules of the others.

EXIT_USAGE = 2

_SETTINGS = click.option(
    "--settings", "path", required=True, type=click.Path(path_type=Path), help="Settings file."
)


@click.group()
def main() -> None:
    """Runs one process of pollengate."""


@main.command()
@_SETTINGS
def gate(path: Path) -> None:
    """Runs a gate, which serves the requests of callers and operators."""
    from pollengated.compose import run_gate

    _run(path, run_gate)


@main.command()
@_SETTINGS
def scheduler(path: Path) -> None:
    """Runs a scheduler, which owns shards of its zone or is a standby for them."""
    from pollengated.compose import run_scheduler

    _run(path, run_scheduler)


@main.command()
@click.option(
    "--policy",
    "policy_path",
    type=click.Path(path_type=Path),
    help="File with settings of scheduling decisions; without it all of them are off.",
)
def edge(policy_path: Path | None) -> None:
    """Runs a process of the edge role, which accepts jobs and runs them on the users' platform.

    Its settings file is the platform's.
    """
    from pollengate.workflow.policy import SchedulingPolicy
    from pollengate_platform.boot import read_boot_settings

    from pollengated.edge.compose import run_edge
    from pollengated.edge.policy_file import read_policy

    settings = read_boot_settings()
    policy = Ok(SchedulingPolicy()) if policy_path is None else read_policy(policy_path)
    for result in (settings, policy):
        if isinstance(result, Err):
            click.echo(result.err_value, err=True)
            sys.exit(EXIT_USAGE)
    asyncio.run(run_edge(settings.unwrap(), policy.unwrap()))


def _run(path: Path, role: Callable[["Settings"], Awaitable[None]]) -> None:
    from pollengated.settings import read_settings

    result = read_settings(path)
    if isinstance(result, Err):
        for fault in result.err_value:
            click.echo(str(fault), err=True)
        sys.exit(EXIT_USAGE)
    asyncio.run(role(result.ok_value))  # type: ignore[arg-type]
