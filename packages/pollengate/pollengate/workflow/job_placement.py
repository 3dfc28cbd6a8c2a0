"""Decides in which shard a new job is placed.

A job's home shard follows from its id. If the home shard has no room for the job's first tasks, the
job is placed in a shard that has. Short jobs go where the most room is left. Long-running ones go
to the fullest shard that keeps some room beside them, so that room stays pooled elsewhere.
"""

import dataclasses
from collections.abc import Mapping, Sequence

import msgspec
from result import Result

from pollengate.decoding import Amount, DocumentDecoder
from pollengate.workflow.model import Deployment, Queue, Step, Workflow
from pollengate.workflow.shard_room import RoomSummary

__all__ = [
    "StoredPlacement",
    "decode_placement",
    "encode_placement",
    "first_steps",
    "is_task_name",
    "may_be_placed_elsewhere",
    "min_places",
    "rank_restart_shards",
    "rank_shards",
    "with_spare_tasks",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPlacement:
    """Placement record of a job, written once, or of a delegated task.

    Attributes:
        shard: the shard that has the job; the home shard if no other one may take it any more.
        account: name of the client account that submitted it, empty for none.
        queue: for a delegated task, the name of its job's queue.
        last_run: for a task that was returned, the highest run number that may have been used.
        checkpoint: for a task that was returned, where its next run resumes.
    """

    shard: int
    account: str = ""
    queue: str = ""
    last_run: Amount = 0
    checkpoint: str = ""


_PLACEMENT_DECODER = DocumentDecoder(StoredPlacement)


def encode_placement(placement: StoredPlacement) -> bytes:
    """Encodes a placement record."""
    return msgspec.json.encode(placement)


def decode_placement(value: bytes) -> Result[StoredPlacement, str]:
    """Decodes a placement record; the error is the decoder's message."""
    return _PLACEMENT_DECODER.decode(value)


def is_task_name(record_id: str) -> bool:
    """Returns True if a placement record is that of a delegated task, and not of a whole job."""
    return "." in record_id


def first_steps(workflow: Workflow) -> tuple[Step, ...]:
    """Returns the steps that need room at once; fillers only use what others leave."""
    return tuple(step for step in workflow.steps if not (step.after or step.is_filler))


def may_be_placed_elsewhere(workflow: Workflow, queue: Queue, deployment: Deployment) -> bool:
    """Returns True if the summary of a shard's room says enough about a job.

    It says nothing of labels, racks, accelerators and tickets. Scheduled jobs need room later, and
    the limits of client accounts are kept for each shard.
    """
    return (
        bool(first_steps(workflow))
        and not workflow.repeat_count
        and queue.advice is None
        and deployment.accounts_by_name is None
        and not any(
            step.is_gang
            or step.same_rack
            or step.data_rack
            or step.required_label
            or step.demand.accelerators
            for step in workflow.steps
        )
    )


def min_places(steps: Sequence[Step], home_places: int) -> int:
    """Returns the number of tasks for which another shard needs room to get the job.

    A short job may go where only a part of its tasks start at once, if these are more than at home.

    Args:
        steps: the steps that need room at once, without spare tasks.
        home_places: number of their tasks that find room in the home shard.
    """
    if _is_long_running(steps):
        return sum(step.count for step in with_spare_tasks(steps))
    return min(sum(step.count for step in steps), home_places + 1)


def with_spare_tasks(steps: Sequence[Step]) -> tuple[Step, ...]:
    """Returns the steps with one more task for each that is long-running.

    A shard without spare room has none for a long-running task that has to run again.
    """
    return tuple(
        dataclasses.replace(step, count=step.count + 1) if step.is_long_running else step
        for step in steps
    )


def rank_shards(
    steps: Sequence[Step], home_places: int, summaries_by_shard: Mapping[int, RoomSummary]
) -> list[int]:
    """Returns the shards that may take a job, the best one first.

    Args:
        steps: the steps that need room at once.
        home_places: number of their tasks that find room in the home shard.
        summaries_by_shard: the room of the other shards for the job's service.
    """
    needed = min_places(steps, home_places)
    prefers_full = _is_long_running(steps)
    ranked: list[tuple[int, int, int]] = []
    for shard, summary in summaries_by_shard.items():
        free = summary.expand()
        free_millis = free.free_millis
        places = free.take_all(with_spare_tasks(steps))
        if places >= needed:
            ranked.append((-places, free_millis if prefers_full else -free_millis, shard))
    return [shard for _, _, shard in sorted(ranked)]


def rank_restart_shards(step: Step, summaries_by_shard: Mapping[int, RoomSummary]) -> list[int]:
    """Returns the shards in which one task that has to run again may find room, the best one first.

    Shards that keep room for a second such task come first, and among these the fullest. Last come
    those of which the summary does not tell whether they have room.

    Args:
        step: the task's step.
        summaries_by_shard: the room of the other shards for the task's service.
    """
    ranked = [
        (-min(2, summary.count_places(step)), summary.free_millis, shard)
        for shard, summary in summaries_by_shard.items()
        if summary.may_hold(step.demand.cpu_millis)
    ]
    return [shard for _, _, shard in sorted(ranked)]


def _is_long_running(steps: Sequence[Step]) -> bool:
    """Returns True if some of the steps run until their job is cancelled."""
    return any(step.is_long_running for step in steps)
