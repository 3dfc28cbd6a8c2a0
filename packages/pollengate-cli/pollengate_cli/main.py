"""The `pollengate` command line."""

import click

from pollengate_cli import porcelain
from pollengate_cli.client import GateClient
from pollengate_cli.config_commands import config
from pollengate_cli.explain_command import explain
from pollengate_cli.local_commands import completion, settings
from pollengate_cli.output import json_option, print_result
from pollengate_cli.task_commands import task
from pollengate_cli.zone_commands import zone

__all__ = ["main"]

DEFAULT_GATE = "127.0.0.1:8080"


@click.group()
@click.option(
    "--gate",
    "addresses",
    multiple=True,
    default=[DEFAULT_GATE],
    envvar="POLLENGATE_GATE",
    show_default=True,
    show_envvar=True,
    help="Address of a gate; if repeated, the first that accepts a connection is used.",
)
@click.version_option(package_name="pollengate-cli", prog_name="pollengate")
@click.pass_context
def main(context: click.Context, addresses: tuple[str, ...]) -> None:
    """Operates pollengate through one of its gates.

    Exit codes: 0 done, 1 refused without effect, 2 wrong usage, 3 version conflict, 4 unknown
    whether it took effect, 5 no gate reached.
    """
    context.obj = context.obj or GateClient(addresses)


@main.group()
def service() -> None:
    """Latency-critical services."""


@service.command("list")
@json_option
@click.pass_obj
def service_list(gate: GateClient, as_json: bool) -> None:
    """Lists configured services."""
    print_result(porcelain.list_services(gate), as_json, empty="no service is configured")


@main.command()
@json_option
@click.pass_obj
def status(gate: GateClient, as_json: bool) -> None:
    """Shows zones, owners, configuration versions, workers, queues and refusals."""
    print_result(porcelain.get_status(gate), as_json)


for command in (completion, config, explain, settings, task, zone):
    main.add_command(command)
