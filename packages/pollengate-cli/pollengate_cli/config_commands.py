"""`pollengate config`: the configuration and its patches."""

import json
from typing import IO, Any

import click

from pollengate_cli import gate_operations
from pollengate_cli.client import GateClient
from pollengate_cli.output import json_option, print_result

__all__ = ["config", "idempotency_key_option"]

idempotency_key_option = click.option(
    "--idempotency-key",
    default=gate_operations.new_idempotency_key,
    help="Repeats an earlier patch without a second effect; a fresh key by default.",
)


@click.group()
def config() -> None:
    """The configuration and its patches."""


@config.command("get")
@json_option
@click.pass_obj
def get(gate: GateClient, as_json: bool) -> None:
    """Shows the configuration and its version."""
    print_result(gate_operations.get_configuration(gate), as_json)


@config.command("patch")
@click.argument("file", type=click.File())
@click.option("--version", type=click.IntRange(min=0), required=True, help="Version patched.")
@idempotency_key_option
@json_option
@click.pass_obj
def patch(
    gate: GateClient, file: IO[str], version: int, idempotency_key: str, as_json: bool
) -> None:
    """Applies the JSON merge patch in FILE, or `-` for the standard input.

    The patch is refused if the configuration has another version by now.
    """
    document = _read_patch(file)
    request = gate_operations.Patch(version, document, idempotency_key)
    print_result(gate_operations.patch_configuration(gate, request), as_json)


@config.command("find")
@click.argument("idempotency_key")
@json_option
@click.pass_obj
def find(gate: GateClient, idempotency_key: str, as_json: bool) -> None:
    """Shows the patch that was accepted with IDEMPOTENCY_KEY."""
    print_result(gate_operations.find_patch(gate, idempotency_key), as_json)


@config.command("history")
@json_option
@click.pass_obj
def history(gate: GateClient, as_json: bool) -> None:
    """Lists accepted patches, the newest first."""
    print_result(gate_operations.get_history(gate), as_json, empty="no patch was accepted yet")


@config.command("schema")
@json_option
@click.pass_obj
def schema(gate: GateClient, as_json: bool) -> None:
    """Shows the JSON schema of the configuration."""
    print_result(gate_operations.get_schema(gate), as_json)


def _read_patch(file: IO[str]) -> dict[str, Any]:
    try:
        document = json.load(file)
    except ValueError as error:
        raise click.BadParameter(f"{file.name} is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise click.BadParameter(f"{file.name} does not hold a JSON object")
    return document
