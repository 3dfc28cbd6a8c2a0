"""Prints results as tables or JSON, and errors with a hint on what to do next."""

import dataclasses
import json
import sys
from collections.abc import Callable
from functools import singledispatch
from typing import Any, NoReturn, TypeVar

import click
from result import Err, Result

from pollengate_cli.failures import Failure, next_step
from pollengate_cli.tables import format_table
from pollengate_cli.views import (
    AcceptedPatchView,
    ConfigurationView,
    ExplanationView,
    HistoryEntryView,
    ProcessView,
    ServiceView,
    StatusView,
    StepExplanationView,
    TaskView,
    ZoneView,
)

__all__ = ["exit_with_failure", "json_option", "print_result"]

MAX_LISTED_TASKS = 20

T = TypeVar("T")

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")


def print_result(result: Result[Any, Failure], as_json: bool, empty: str = "none") -> None:
    """Prints a result; prints a failure to the standard error and exits with its code.

    Args:
        result: return value of a function of `porcelain`.
        as_json: whether to print JSON instead of text.
        empty: text printed for an empty list.
    """
    if isinstance(result, Err):
        exit_with_failure(result.err_value, as_json)
    value = result.ok_value
    if as_json:
        click.echo(json.dumps(_to_json_value(value), indent=2))
    elif isinstance(value, tuple):
        click.echo(_format_list(value) if value else empty)
    else:
        click.echo(_format(value))


def exit_with_failure(failure: Failure, as_json: bool) -> NoReturn:
    """Prints a failure to the standard error and exits with its code."""
    if as_json:
        click.echo(json.dumps(_to_json_value(failure), indent=2), err=True)
        sys.exit(failure.exit_code())
    outcome = failure.outcome.replace("_", " ")
    click.echo(f"error: {failure.detail} ({failure.reason}, {outcome})", err=True)
    for fault in failure.fields:
        click.echo(f"  {fault.field}: {fault.detail}", err=True)
    if failure.retry_after_s is not None:
        click.echo(f"retry: after {failure.retry_after_s} s", err=True)
    if step := next_step(failure):
        click.echo(f"next: {step}", err=True)
    if failure.request_id:
        click.echo(f"request: {failure.request_id}", err=True)
    sys.exit(failure.exit_code())


def _to_json_value(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_json_value(entry) for entry in value]
    return dataclasses.asdict(value) if dataclasses.is_dataclass(value) else value  # type: ignore[arg-type]


@singledispatch
def _format(value: object) -> str:
    return json.dumps(value, indent=2)


@_format.register
def _(value: ConfigurationView) -> str:
    parts = [f"version {value.version}"]
    for section, content in value.configuration.items():
        parts.append(f"\n{section}\n{_format_section(content)}")
    return "\n".join(parts)


@_format.register
def _(value: AcceptedPatchView) -> str:
    return f"version {value.version} accepted (idempotency key {value.idempotency_key})"


@_format.register
def _(value: HistoryEntryView) -> str:
    return _format_list((value,))


@_format.register
def _(value: TaskView) -> str:
    head = f"{value.task_id}: {value.state}, team {value.team}, zone {value.zone}"
    if not value.tasks:
        return head
    rows = [(t.task_id, t.state, t.worker_id, t.attempt) for t in value.tasks[:MAX_LISTED_TASKS]]
    table = format_table(("TASK", "STATE", "WORKER", "ATTEMPT"), rows)
    omitted_count = len(value.tasks) - len(rows)
    return f"{head}\n{table}" + (f"\n... {omitted_count} more, see --json" if omitted_count else "")


@_format.register
def _(value: StatusView) -> str:
    parts = [
        f"gate {value.process_id}, configuration version {value.configuration_version}",
        _format_list(value.zones) if value.zones else "no zone is configured",
        _format_list(value.processes),
    ]
    if value.refusals_by_reason:
        rows = sorted(value.refusals_by_reason.items())
        parts.append(format_table(("REFUSED BY THIS GATE", "COUNT"), rows))
    return "\n\n".join(parts)


@_format.register
def _(value: ExplanationView) -> str:
    job = value.job
    head = "not submitted" if job.job is None else f"job {job.job}, {job.state}"
    age = value.configuration_age_s
    configuration_age = "of unknown age" if age is None else f"{age} s old"
    account = f", account {job.account}" if job.account else ""
    parts = [
        f"{head}, queue {job.queue}{account}\n"
        f"shard {value.shard} of {value.shards}, owner {value.owner}; configuration version"
        f" {value.configuration_version}, {configuration_age}\n"
        f"waiting in the shard, this job included: {job.waiting_tasks} tasks of"
        f" {job.waiting_steps} steps",
    ]
    if value.refusal:
        after = f"retry after {value.refusal.retry_after_s} s"
        parts.append(f"a submission would be refused: {value.refusal.reason}, {after}")
    parts.append(_format_list(job.steps) if job.steps else "no occurrence is due yet")
    if job.omitted_steps:
        parts.append(f"... {job.omitted_steps} more steps")
    if any(step.against for step in job.steps):
        rows = [(s.occurrence, s.step, r, n) for s in job.steps for r, n in s.against.items()]
        parts.append(format_table(("OCCURRENCE", "STEP", "REASON AGAINST", "WORKERS"), rows))
    ages = [worker.report_age_s for worker in value.workers]
    known = [age for age in ages if age is not None]
    oldest = f", the oldest report {max(known)} s old" if known else ""
    parts.append(f"{len(ages)} workers{oldest}, {len(ages) - len(known)} without a report")
    return "\n\n".join(parts)


def _format_section(content: Any) -> str:
    if not content:
        return "  none"
    if all(isinstance(entry, dict) for entry in content.values()):
        columns = sorted({column for entry in content.values() for column in entry})
        rows = [[name, *(entry.get(c) for c in columns)] for name, entry in content.items()]
        return _indent(format_table(["NAME", *(c.upper() for c in columns)], rows))
    return _indent(format_table(("NAME", "VALUE"), list(content.items())))


def _indent(text: str) -> str:
    return "\n".join(f"  {line}" for line in text.splitlines())


def _format_list(values: tuple[Any, ...]) -> str:
    headings, row = _COLUMNS_BY_TYPE[type(values[0])]
    return format_table(headings, [row(value) for value in values])


def _process_row(process: ProcessView) -> tuple[object, ...]:
    shards = ", ".join(f"{s.zone}/{s.shard} (epoch {s.epoch})" for s in process.shards)
    return (
        process.process_id,
        process.role,
        process.zone,
        process.configuration_version,
        process.error or shards,
    )


def _step_row(step: StepExplanationView) -> tuple[object, ...]:
    is_waiting = step.place is not None
    return (
        step.occurrence,
        step.step,
        step.state,
        step.tasks,
        step.done,
        step.waiting,
        step.place,
        step.tasks_ahead if is_waiting else None,
        step.cause,
        f"{step.worker} (last resort)" if step.is_last_resort else step.worker,
        f"{step.suitable} of {step.workers}" if is_waiting else None,
        step.delegated or None,
    )


_Row = Callable[[Any], tuple[object, ...]]

_COLUMNS_BY_TYPE: dict[type[Any], tuple[tuple[str, ...], _Row]] = {
    ZoneView: (
        ("ZONE", "IN SERVICE", "OWNERS", "WORKERS", "QUEUED", "RUNNING"),
        lambda z: (z.name, z.in_service, z.owners, z.workers, z.queued, z.running),
    ),
    ServiceView: (
        ("SERVICE", "SLOTS", "CONNECTIONS", "TIMEOUT MS", "PRIORITY"),
        lambda s: (s.name, s.slots, s.connections, s.default_timeout_ms, s.priority),
    ),
    StepExplanationView: (
        ("OCCURRENCE", "STEP", "STATE", "TASKS", "DONE", "WAITING", "PLACE", "TASKS AHEAD")
        + ("CAUSE", "NEXT WORKER", "SUITABLE", "DELEGATED"),
        _step_row,
    ),
    ProcessView: (("PROCESS", "ROLE", "ZONE", "CONFIGURATION", "OWNS"), _process_row),
    TaskView: (
        ("TASK", "TEAM", "STATE", "ZONE", "COUNT"),
        lambda t: (t.task_id, t.team, t.state, t.zone, t.count),
    ),
    HistoryEntryView: (
        ("VERSION", "ACCEPTED BY", "IDEMPOTENCY KEY", "PATCH"),
        lambda h: (
            h.version,
            h.process_id,
            h.key,
            "too long" if h.patch is None else json.dumps(h.patch),
        ),
    ),
}
