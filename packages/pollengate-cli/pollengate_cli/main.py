"""The `pollengate` command line."""

import json
import sys
from pathlib import Path
from typing import Any

import click
from result import Err, Result

from pollengate_cli import porcelain
from pollengate_cli.client import Failure, GateClient

__all__ = ["main"]

EXIT_REFUSED = 1


@click.group()
@click.option(
    "--gate", "address", default="127.0.0.1:8080", envvar="POLLENGATE_GATE", show_default=True
)
@click.pass_context
def main(context: click.Context, address: str) -> None:
    """Operates pollengate through one of its gates."""
    context.obj = GateClient(address)


@main.group()
def config() -> None:
    """The configuration and its patches."""


@config.command("get")
@click.pass_obj
def config_get(gate: GateClient) -> None:
    """Shows the configuration."""
    _print(porcelain.get_configuration(gate))


@config.command("patch")
@click.argument("version", type=int)
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@click.pass_obj
def config_patch(gate: GateClient, version: int, file: Path) -> None:
    """Applies the merge patch in FILE to VERSION."""
    _print(porcelain.patch_configuration(gate, version, json.loads(file.read_text())))


@main.group()
def zone() -> None:
    """Availability zones."""


@zone.command("out")
@click.argument("name")
@click.pass_obj
def zone_out(gate: GateClient, name: str) -> None:
    """Takes a zone out of service."""
    _print(porcelain.set_zone(gate, name, in_service=False))


@zone.command("in")
@click.argument("name")
@click.pass_obj
def zone_in(gate: GateClient, name: str) -> None:
    """Brings a zone back into service."""
    _print(porcelain.set_zone(gate, name, in_service=True))


@main.group()
def task() -> None:
    """Batch tasks."""


@task.command("submit")
@click.argument("task_id")
@click.option("--team", required=True)
@click.option("--cores", default=1, show_default=True)
@click.option("--memory-mb", default=1000, show_default=True)
@click.option("--count", default=1, show_default=True)
@click.option("--duration-ms", default=1000, show_default=True)
@click.pass_obj
def task_submit(gate: GateClient, /, task_id: str, **options: Any) -> None:
    """Submits a task or an array of COUNT tasks."""
    _print(porcelain.submit_task(gate, task_id, options))


@task.command("show")
@click.argument("task_id")
@click.pass_obj
def task_show(gate: GateClient, task_id: str) -> None:
    """Shows a task."""
    _print(porcelain.show_task(gate, task_id))


@task.command("list")
@click.pass_obj
def task_list(gate: GateClient) -> None:
    """Lists tasks."""
    _print(porcelain.list_tasks(gate))


@task.command("cancel")
@click.argument("task_id")
@click.pass_obj
def task_cancel(gate: GateClient, task_id: str) -> None:
    """Cancels a task."""
    _print(porcelain.cancel_task(gate, task_id))


@main.command()
@click.pass_obj
def status(gate: GateClient) -> None:
    """Shows zones, owners, workers and queues."""
    _print(porcelain.get_status(gate))


def _print(result: Result[Any, Failure]) -> None:
    if isinstance(result, Err):
        failure = result.err_value
        click.echo(f"error: {failure.document.get('detail', failure.status)}", err=True)
        sys.exit(EXIT_REFUSED)
    click.echo(json.dumps(result.ok_value, indent=2))
