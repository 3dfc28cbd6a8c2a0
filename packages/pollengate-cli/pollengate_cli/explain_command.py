"""`pollengate explain`: where a job would go now and why, asked at a process's metrics address."""

import json
import re
from typing import IO, Any

import click

from pollengate_cli import porcelain
from pollengate_cli.client import GateClient
from pollengate_cli.output import json_option, print_result

__all__ = ["explain"]

_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^\s/:?#@\[\]]+):\d{1,5}")


@click.command()
@click.option(
    "--address", required=True, help="Metrics address of the shard's owner, as HOST:PORT."
)
@click.option("--file", type=click.File(), help="A job as clients send it; `-` is standard input.")
@click.option("--queue", help="Path prefix of the queue for --file; may end with a job id.")
@click.option("--host", default="", help="Host of the queue, if several have the prefix.")
@click.option("--account", default="", help="Client account that would submit the job.")
@click.argument("job_id", required=False)
@json_option
@click.pass_obj
def explain(
    gate: GateClient,
    address: str,
    file: IO[str] | None,
    queue: str | None,
    host: str,
    account: str,
    job_id: str | None,
    as_json: bool,
) -> None:
    """Explains where JOB_ID, or the job in a file, would go now and why; changes nothing.

    Without an id after the prefix, a job in a file is explained for a shard of the process asked.
    """
    if not _ADDRESS.fullmatch(address):
        raise click.BadParameter(f"{address!r} is not HOST:PORT", param_hint="--address")
    if (job_id is None) == (file is None):
        raise click.UsageError("give either JOB_ID or --file")
    if (file is None) != (queue is None) or (file is None and (host or account)):
        raise click.UsageError("--file needs --queue; --queue, --host and --account need --file")
    process = gate.at(address)
    if job_id is not None:
        result = porcelain.explain_job(process, job_id)
    else:
        assert file is not None and queue is not None
        result = porcelain.explain_workflow(process, queue, _read_job(file), host, account)
    print_result(result, as_json)


def _read_job(file: IO[str]) -> dict[str, Any]:
    try:
        document = json.load(file)
    except ValueError as error:
        raise click.BadParameter(f"{file.name} is not JSON: {error}", param_hint="--file") from None
    if not isinstance(document, dict):
        raise click.BadParameter(f"{file.name} does not hold a JSON object", param_hint="--file")
    return document
