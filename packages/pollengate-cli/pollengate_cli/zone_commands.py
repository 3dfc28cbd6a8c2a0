"""`pollengate zone`: lists availability zones and changes whether they are in service."""

import click

from pollengate_cli import porcelain
from pollengate_cli.client import GateClient
from pollengate_cli.config_commands import idempotency_key_option
from pollengate_cli.output import json_option, print_result

__all__ = ["zone"]

version_option = click.option(
    "--version",
    type=click.IntRange(min=0),
    help="Version of the configuration that the patch is based on; the current one by default.",
)


@click.group()
def zone() -> None:
    """Availability zones."""


@zone.command("list")
@json_option
@click.pass_obj
def list_zones(gate: GateClient, as_json: bool) -> None:
    """Lists zones with their owners, workers and queues."""
    print_result(porcelain.list_zones(gate), as_json, empty="no zone is configured")


@zone.command("out")
@click.argument("name")
@version_option
@idempotency_key_option
@json_option
@click.pass_obj
def out(
    gate: GateClient, name: str, version: int | None, idempotency_key: str, as_json: bool
) -> None:
    """Takes a zone out of service; no new task starts in it."""
    print_result(porcelain.patch_zone(gate, name, False, version, idempotency_key), as_json)


@zone.command("in")
@click.argument("name")
@version_option
@idempotency_key_option
@json_option
@click.pass_obj
def bring_in(
    gate: GateClient, name: str, version: int | None, idempotency_key: str, as_json: bool
) -> None:
    """Brings a zone back into service."""
    print_result(porcelain.patch_zone(gate, name, True, version, idempotency_key), as_json)
