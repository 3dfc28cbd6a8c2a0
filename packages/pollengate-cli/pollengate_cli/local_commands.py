"""Commands that do not call a gate: settings files and shell completion."""

import sys
from pathlib import Path

import click
from click.shell_completion import ShellComplete, get_completion_class
from pollengate_settings import read_settings
from result import Err

from pollengate_cli.exit_codes import ExitCode

__all__ = ["completion", "settings"]

COMPLETE_VARIABLE = "_POLLENGATE_COMPLETE"
SHELLS = ("bash", "fish", "zsh")


@click.group()
def settings() -> None:
    """Settings files of the daemon."""


@settings.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check(files: tuple[Path, ...]) -> None:
    """Checks FILES and reports every fault, without calling a gate."""
    is_valid = True
    for file in files:
        result = read_settings(file)
        if isinstance(result, Err):
            is_valid = False
            for fault in result.err_value:
                click.echo(str(fault), err=True)
        else:
            click.echo(f"{file}: valid, process {result.ok_value.process_id}")
    sys.exit(ExitCode.OK if is_valid else ExitCode.REFUSED)


@click.command()
@click.argument("shell", type=click.Choice(SHELLS))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Prints the completion script of SHELL.

    For bash: eval "$(pollengate completion bash)"
    """
    shell_class = get_completion_class(shell)
    assert shell_class is not None
    script = shell_class(context.find_root().command, {}, "pollengate", COMPLETE_VARIABLE)
    # The override for bash would start a process to check the shell's version.
    click.echo(ShellComplete.source(script))
