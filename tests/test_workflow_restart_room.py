"""Tests of the long-running tasks that move for one that has to run again."""

import unittest

from pollengate.workflow.model import Demand, Step
from pollengate.workflow.restart_room import WAIT_BEFORE_MOVE_S, RestartRoom

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    start_all,
)

NOW = 1.0


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
                task.last_run = 1
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
