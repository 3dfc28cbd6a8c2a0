"""`pollengate task`: submits, shows and cancels batch tasks."""

from typing import Any

import click

from pollengate_cli import porcelain
from pollengate_cli.client import GateClient
from pollengate_cli.output import json_option, print_result
from pollengate_cli.views import TaskSubmission

__all__ = ["task"]


@click.group()
def task() -> None:
    """Batch tasks."""


@task.command("submit")
@click.argument("task_id")
@click.option("--team", required=True, help="Team whose quota it uses.")
@click.option(
    "--task-class",
    default="default",
    show_default=True,
    help="Class of tasks with similar run time and use of resources.",
)
@click.option("--cores", default=1, show_default=True, help="Cores of each task.")
@click.option("--memory-mb", default=1000, show_default=True, help="Memory of each task.")
@click.option("--accelerators", default=0, show_default=True, help="Accelerators of each task.")
@click.option("--count", default=1, show_default=True, help="Number of tasks.")
@click.option(
    "--duration-ms", default=1000, show_default=True, help="Declared run time of each task."
)
@click.option(
    "--idempotent/--non-idempotent", default=True, help="Whether it may run again after a failure."
)
@click.option("--urgent", is_flag=True, help="Schedule it ahead of tasks that are not urgent.")
@json_option
@click.pass_obj
def submit(gate: GateClient, /, task_id: str, as_json: bool, **options: Any) -> None:
    """Submits a task or an array of COUNT tasks; repeating it is harmless."""
    print_result(porcelain.submit_task(gate, task_id, TaskSubmission(**options)), as_json)


@task.command("show")
@click.argument("task_id")
@json_option
@click.pass_obj
def show_one(gate: GateClient, task_id: str, as_json: bool) -> None:
    """Shows a task."""
    print_result(porcelain.show_task(gate, task_id), as_json)


@task.command("list")
@json_option
@click.pass_obj
def list_all(gate: GateClient, as_json: bool) -> None:
    """Lists tasks."""
    print_result(porcelain.list_tasks(gate), as_json, empty="no task is known")


@task.command("cancel")
@click.argument("task_id")
@json_option
@click.pass_obj
def cancel(gate: GateClient, task_id: str, as_json: bool) -> None:
    """Cancels a task; repeating it is harmless."""
    print_result(porcelain.cancel_task(gate, task_id), as_json)
