"""Tests of the moves that make room for long-running tasks that run again."""

import unittest
from unittest import mock

from pollengate.workflow.model import Demand, Step
from pollengate.workflow.restart_room import MAX_SEARCHES, WAIT_BEFORE_MOVE_S, RestartRoom
from pollengate.workflow.worker_room import WorkerRoom

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    start_all,
)

WORKERS = 60
STEPS = 100
NOW = 1.0


class RestartRoomCostTest(unittest.TestCase):
    """After the loss of a zone a hundred steps wait on a full shard."""

    def test_rooms_and_moves_are_not_computed_for_each_step(self) -> None:
        """Guards against an update of 0.3 s on 66 workers with 130 steps that wait."""
        job_table = build_job_table(*(build_lease_worker(f"w{n}") for n in range(WORKERS)))
        lasting = build_step(WORKERS, is_long_running=True, demand=Demand(2500, 100))
        job_table.add(build_job("aa", lasting), 0.0, 0)
        self.assertEqual(WORKERS, len(start_all(job_table)))
        for number in range(STEPS):
            step = build_step(is_long_running=True, demand=Demand(3000, 100))
            job_table.add(build_job(f"{number:016x}", step), 0.0, 0)
        for waiting in job_table.open_steps:
            waiting.tasks[0].has_run = True
        room = RestartRoom(job_table)
        room.update(0.0)
        of = mock.patch.object(WorkerRoom, "of", side_effect=WorkerRoom.of)
        checked = mock.patch.object(
            WorkerRoom, "can_hold_later", autospec=True, side_effect=WorkerRoom.can_hold_later
        )
        with of as computed, checked as compared:
            self.assertEqual([], room.update(WAIT_BEFORE_MOVE_S))
        self.assertLessEqual(computed.call_count, WORKERS)
        # Each step with each worker, and each search of each long-running task with all workers.
        most = STEPS * WORKERS + MAX_SEARCHES * WORKERS * (1 + WORKERS)
        self.assertLessEqual(compared.call_count, most)


def long_running(count: int, millis: int) -> Step:
    """Returns a step of long-running tasks."""
    demand = Demand(millis, 100)
    return build_step(count, is_long_running=True, demand=demand)


class RestartRoomTest(unittest.TestCase):
    """Two workers of four cores have two cores left each; a third one is full."""

    def moved(self, *waiting: Step) -> list[str]:
        """Returns the tasks that move once tasks of these steps have waited to run again."""
        job_table = build_job_table(*(build_lease_worker(f"w{n}") for n in range(3)))
        for number, step in enumerate((long_running(2, 2000), long_running(1, 4000))):
            job_table.add(build_job(f"{number:016x}", step), 0.0, 0)
            for run in start_all(job_table):
                run.percent = 100
        for number, step in enumerate(waiting, 2):
            job = build_job(f"{number:016x}", step)
            job_table.add(job, 0.0, 0)
            for task in job.tasks():
                task.has_run = True
        for view in job_table.fleet.workers_by_id.values():
            view.lease.record_reply(0, NOW)
        room = RestartRoom(job_table)
        self.assertEqual([], room.update(NOW))
        return [run.task.name for run in room.update(NOW + WAIT_BEFORE_MOVE_S)]

    def test_smaller_task_moves_for_a_larger_one(self) -> None:
        self.assertEqual(1, len(self.moved(long_running(1, 3000))))

    def test_task_does_not_move_into_room_that_another_waiting_task_takes(self) -> None:
        self.assertEqual([], self.moved(long_running(1, 3000), long_running(1, 2000)))


if __name__ == "__main__":
    unittest.main()
