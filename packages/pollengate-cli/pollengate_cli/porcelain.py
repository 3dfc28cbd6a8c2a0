"""What the command line does, as functions."""

from typing import Any

from result import Err, Result

from pollengate_cli.client import Failure, GateClient

__all__ = [
    "cancel_task",
    "get_configuration",
    "get_status",
    "list_tasks",
    "patch_configuration",
    "set_zone",
    "show_task",
    "submit_task",
]


def get_configuration(gate: GateClient) -> Result[Any, Failure]:
    """Returns the configuration with its version."""
    return gate.call("GET", "/config")


def patch_configuration(
    gate: GateClient, version: int, patch: dict[str, Any]
) -> Result[Any, Failure]:
    """Applies a merge patch to a version of the configuration."""
    return gate.call("PATCH", "/config", patch, {"If-Match": f'"{version}"'})


def set_zone(gate: GateClient, zone: str, in_service: bool) -> Result[Any, Failure]:
    """Takes an availability zone out of service or brings it back."""
    current = get_configuration(gate)
    if isinstance(current, Err):
        return current
    patch = {"zones": {zone: {"in_service": in_service}}}
    return patch_configuration(gate, current.ok_value["version"], patch)


def submit_task(gate: GateClient, task_id: str, task: dict[str, Any]) -> Result[Any, Failure]:
    """Submits a batch task or array."""
    return gate.call("PUT", f"/tasks/{task_id}", task)


def show_task(gate: GateClient, task_id: str) -> Result[Any, Failure]:
    """Shows a batch task."""
    return gate.call("GET", f"/tasks/{task_id}")


def list_tasks(gate: GateClient) -> Result[Any, Failure]:
    """Lists batch tasks."""
    return gate.call("GET", "/tasks")


def cancel_task(gate: GateClient, task_id: str) -> Result[Any, Failure]:
    """Cancels a batch task."""
    return gate.call("DELETE", f"/tasks/{task_id}")


def get_status(gate: GateClient) -> Result[Any, Failure]:
    """Returns the status of the whole system as one gate sees it."""
    return gate.call("GET", "/status")
