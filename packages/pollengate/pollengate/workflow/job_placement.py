"""Decides in which shard a new job is placed.

A job's home shard follows from its id. If the home shard has no room for the job's first tasks, the
job is placed in a shard that has, short and long-running ones where the most room is left: a shard
that is filled up has none for a long-running task that has to run again. Fillers go where the
fewest of them run and wait for the processors that other tasks leave unused.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence

import msgspec
from result import Err, Ok, Result

from pollengate.workflow.model import Deployment, Queue, Step, Workflow
from pollengate.workflow.shard_room import RoomSummary

__all__ = [
    "PlacementLimits",
    "StoredPlacement",
    "decode_placement",
    "encode_placement",
    "first_steps",
    "is_acceptable",
    "limits_for",
    "may_be_placed_elsewhere",
    "rank_shards",
]

# Fillers leave home only for a wait that is shorter by this factor, as waits are rough.
ROUNDS_FACTOR = 1.5
# Fillers stay at home while those there, with them, fill no more than this part of what is unused.
HOME_FILLER_ROUNDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPlacement:
    """Placement record of a job, written once.

    Attributes:
        shard: the shard that has the job; the home shard if no other one may take it any more.
        account: name of the client account that submitted it, empty for none.
    """

    shard: int
    account: str = ""


def encode_placement(placement: StoredPlacement) -> bytes:
    """Encodes a placement record."""
    return msgspec.json.encode(placement)


def decode_placement(value: bytes) -> Result[StoredPlacement, str]:
    """Decodes a placement record; the error is the decoder's message."""
    try:
        return Ok(msgspec.json.decode(value, type=StoredPlacement))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(str(error))


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementLimits:
    """On what conditions another shard is better for a job than its home shard.

    Attributes:
        min_tasks: number of tasks that find room at once; 0 for fillers.
        max_rounds: largest value of `RoomSummary.count_filler_rounds`; 0 if they are no fillers.
    """

    min_tasks: int = 0
    max_rounds: float = 0.0


def first_steps(workflow: Workflow) -> tuple[Step, ...]:
    """Returns the steps that may start at once; fillers only if there are no others."""
    steps = tuple(step for step in workflow.steps if not step.after)
    return tuple(step for step in steps if not step.is_filler) or steps


def may_be_placed_elsewhere(workflow: Workflow, queue: Queue, deployment: Deployment) -> bool:
    """Returns True if the summary of a shard's room says enough about a job.

    It says nothing of labels, racks, accelerators and tickets. Scheduled jobs need room later, and
    the limits of client accounts are kept for each shard.
    """
    return (
        not workflow.repeat_count
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


def limits_for(
    steps: Sequence[Step], home_places: int, home: RoomSummary
) -> PlacementLimits | None:
    """Returns what makes another shard better for a job, None if the job stays at home.

    A short job may go where only a part of its tasks start at once, if these are more than at home.

    Args:
        steps: the first steps of the job.
        home_places: number of their tasks that find room in the home shard at once.
        home: the room of the home shard.
    """
    total = sum(step.count for step in steps)
    if _are_fillers(steps):
        home_rounds = home.count_filler_rounds(steps)
        if home_rounds <= HOME_FILLER_ROUNDS:
            return None
        return PlacementLimits(max_rounds=home_rounds / ROUNDS_FACTOR)
    if home_places >= total:
        return None
    if _is_long_running(steps):
        return PlacementLimits(min_tasks=total)
    return PlacementLimits(min_tasks=home_places + 1)


def is_acceptable(
    steps: Sequence[Step], limits: PlacementLimits, places: int, room: RoomSummary
) -> bool:
    """Returns True if a shard is better for a job than its home shard.

    Args:
        steps: the first steps of the job.
        limits: what makes a shard better.
        places: number of the steps' tasks that find room in the shard at once.
        room: the room of the shard.
    """
    if not _are_fillers(steps):
        return places >= limits.min_tasks
    rounds = room.count_filler_rounds(steps)
    return math.isfinite(rounds) and rounds <= limits.max_rounds


def rank_shards(
    steps: Sequence[Step], limits: PlacementLimits, summaries_by_shard: Mapping[int, RoomSummary]
) -> list[int]:
    """Returns the shards that may take a job, the best one first.

    Args:
        steps: the first steps of the job.
        limits: what makes another shard better than the home shard.
        summaries_by_shard: the room of the other shards for the job's service.
    """
    are_fillers = _are_fillers(steps)
    ranked: list[tuple[int, float, int]] = []
    for shard, summary in summaries_by_shard.items():
        free = summary.expand()
        free_millis = free.free_millis
        places = free.take_all(steps)
        if not is_acceptable(steps, limits, places, summary):
            continue
        if are_fillers:
            ranked.append((0, summary.count_filler_rounds(steps), shard))
        else:
            ranked.append((-places, -free_millis, shard))
    return [shard for _, _, shard in sorted(ranked)]


def _is_long_running(steps: Sequence[Step]) -> bool:
    """Returns True if some of the steps run until their job is cancelled."""
    return any(step.is_long_running for step in steps)


def _are_fillers(steps: Sequence[Step]) -> bool:
    return all(step.is_filler for step in steps)
