"""Makes room for long-running tasks that have to run again, by moves of other long-running tasks.

A worker that is cut off or leaves returns its tasks to a shard whose free cores lie in pieces on
all workers. A task that fits beside the long-running tasks of no worker finds room if another one
moves into a smaller piece elsewhere.
"""

import dataclasses

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.moves import is_in_touch, may_stop_to_move
from pollengate.workflow.ordering import runs_again
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.progress import Run, RunState, StepProgress, TaskProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter
from pollengate.workflow.worker_room import WorkerRoom

__all__ = ["RestartRoom"]

UPDATE_INTERVAL_S = 0.25
# A plan or two may still place the task.
WAIT_BEFORE_MOVE_S = 0.5
# A move takes a stop, a plan and a start; the next one for the same step waits for it.
MOVE_TIME_S = 2.0
# A task that was moved is not moved again for this long.
MIN_STAY_S = 10.0
# A search compares each long-running task with all workers; more of them in one update would keep
# the owner from its other work.
MAX_SEARCHES = 8


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A step with a task that has to run again and fits nowhere.

    Attributes:
        since: clock time since which that is so.
        moved_at: clock time of the last move for it.
        target: the worker that the move made room on, None before it.
    """

    since: float
    moved_at: float = float("-inf")
    target: WorkerView | None = None


class RestartRoom:
    """Chooses the long-running tasks of one shard that move.

    Args:
        job_table: the shard's jobs, runs and workers.
        start_filter: holds back tasks that room would not help to start.
    """

    def __init__(self, job_table: JobTable, start_filter: StartFilter | None = None) -> None:
        self._job_table = job_table
        self._start_filter = start_filter or NoStartFilter()
        self._updated_at = float("-inf")
        self._waiting_by_step: dict[StepProgress, _Waiting] = {}
        self._moved_at_by_task: dict[TaskProgress, float] = {}
        self._searches = 0
        # Kept for one update.
        self._rooms_by_service: dict[str, dict[WorkerView, WorkerRoom]] = {}

    def update(self, now: float) -> list[Run]:
        """Returns the run to stop, so that a larger task takes its room; empty if none moves."""
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return []
        self._updated_at = now
        self._rooms_by_service.clear()
        blocked = [step for step in self._job_table.open_steps if self._is_blocked(step, now)]
        known = self._waiting_by_step
        self._waiting_by_step = {step: known.get(step) or _Waiting(now) for step in blocked}
        self._moved_at_by_task = {
            task: at for task, at in self._moved_at_by_task.items() if now - at < MIN_STAY_S
        }
        for step in self._next_to_search(now):
            run = self._choose(step, now)
            if run is not None:
                waiting = self._waiting_by_step[step]
                waiting.moved_at = now
                waiting.target = self._job_table.fleet.workers_by_id.get(run.worker_id)
                self._moved_at_by_task[run.task] = now
                return [run]
        return []

    def _next_to_search(self, now: float) -> list[StepProgress]:
        """Returns the steps for which this update searches a move, round robin."""
        due = [
            step
            for step, waiting in self._waiting_by_step.items()
            if now - waiting.since >= WAIT_BEFORE_MOVE_S and now - waiting.moved_at >= MOVE_TIME_S
        ]
        first = self._searches % len(due) if due else 0
        chosen = (due[first:] + due[:first])[:MAX_SEARCHES]
        self._searches += len(chosen)
        return chosen

    def _is_blocked(self, step: StepProgress, now: float) -> bool:
        """Whether the next task of a step has run before and fits beside no long-running tasks."""
        if not runs_again(step) or step.spec.is_gang:
            return False
        if not self._start_filter.count_startable(step):
            return False
        return not any(
            room.can_hold_later(step) and is_allowed(step, view)
            for view, room in self._rooms(step, now).items()
        )

    def _choose(self, step: StepProgress, now: float) -> Run | None:
        """Returns the run whose move makes room for a task, None if there is none.

        The smallest one moves, if possible to a worker that has room for it already.
        """
        room_by_view = self._unclaimed_rooms(step, now)
        best = None
        best_key = (True, 0)
        for view, room in room_by_view.items():
            if not is_allowed(step, view):
                continue
            for run in view.long_running:
                moved = run.task.step
                # A task moves only for a larger one, so that moves come to an end.
                if moved.spec.demand.cpu_millis >= step.spec.demand.cpu_millis:
                    continue
                if not room.can_hold_later(step, moved.spec.demand):
                    continue
                places = [
                    other_room
                    for other, other_room in room_by_view.items()
                    if other is not view
                    and other_room.can_hold_later(moved)
                    and is_allowed(moved, other)
                ]
                if not places or not self._may_move(run, view, now):
                    continue
                must_wait = not any(place.can_hold(moved) for place in places)
                key = (must_wait, moved.spec.demand.cpu_millis)
                if best is None or key < best_key:
                    best, best_key = run, key
        return best

    def _unclaimed_rooms(self, step: StepProgress, now: float) -> dict[WorkerView, WorkerRoom]:
        """Returns the room that no other task that runs again is about to take."""
        targets = {
            waiting.target
            for waiting in self._waiting_by_step.values()
            if now - waiting.moved_at < MOVE_TIME_S
        }
        unclaimed = {
            view: dataclasses.replace(room)
            for view, room in self._rooms(step, now).items()
            if view not in targets
        }
        # Blocked steps take no room that is there.
        claims = [
            task.step
            for other in self._job_table.open_steps
            if runs_again(other) and other not in self._waiting_by_step
            for task in other.waiting.kept()
            if task.has_run
        ]
        claims += [task.step for task in self._moved_at_by_task if _is_stopping(task)]
        for other in sorted(claims, key=lambda claim: -claim.spec.demand.cpu_millis):
            for view, room in unclaimed.items():
                if room.can_hold_later(other) and is_allowed(other, view):
                    room.plan(other)
                    break
        return unclaimed

    def _may_move(self, run: Run, view: WorkerView, now: float) -> bool:
        step = run.task.step
        queue = self._job_table.queue_of(step)
        return (
            queue is not None
            and queue.service == view.info.service
            and not step.spec.is_gang
            and run.task not in self._moved_at_by_task
            and may_stop_to_move(run)
            and is_in_touch(step, self._job_table.fleet, now)
        )

    def _rooms(self, step: StepProgress, now: float) -> dict[WorkerView, WorkerRoom]:
        """Returns the room of each worker that may run a step."""
        queue = self._job_table.queue_of(step)
        if queue is None or queue.advice is not None:
            return {}
        rooms = self._rooms_by_service.get(queue.service)
        if rooms is None:
            evidence = self._job_table.evidence
            rooms = self._rooms_by_service[queue.service] = {
                view: WorkerRoom.of(view)
                for view in self._job_table.fleet.schedulable_workers(queue.service, now)
                if not evidence.is_quarantined(view.worker_id)
            }
        return rooms


def _is_stopping(task: TaskProgress) -> bool:
    """Whether a task that moves has not been stopped yet."""
    return any(run.state is RunState.STOPPING for run in task.runs_by_number.values())
