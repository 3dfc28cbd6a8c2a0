"""Tests of runs that make no progress, are slow, or are on a silent worker."""

import unittest
from typing import Any

from pollengate.workflow.clients import EndKind
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import Run
from pollengate.workflow.stragglers import (
    SILENT_AFTER_S,
    STALLED_AFTER_S,
    STARTUP_TIMEOUT_S,
    Remedy,
    Straggler,
    find_stragglers,
)

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    start_all,
)


class StragglerTest(unittest.TestCase):
    """Stragglers among the runs of one step on one worker."""

    def start(self, count: int = 1, **step: Any) -> list[Run]:
        """Starts the tasks of a step and reports their first progress."""
        worker = build_lease_worker(capacity=Demand(64_000, 64_000))
        self.job_table = build_job_table(
            worker, build_lease_worker("w1", capacity=Demand(64_000, 64_000))
        )
        self.job_table.fleet.workers_by_id["w1"].is_attached = False
        self.job_table.add(build_job("aa", build_step(count, **step)), 0.0, 0)
        runs = start_all(self.job_table)
        for run in runs:
            self.report_progress(run, 0.0, 0.0)
        return runs

    def report_progress(self, run: Run, percent: float, now: float) -> None:
        """Sets a run's progress, as a report does."""
        if run.initial_percent < 0 or percent > run.percent:
            run.progressed_at = now
        if run.initial_percent < 0:
            run.initial_percent = percent
        run.percent = percent

    def find(self, now: float, replied_at: float | None = None) -> list[Straggler]:
        """Returns the stragglers on the worker, which replied at `replied_at` (default: `now`)."""
        view = self.job_table.fleet.workers_by_id["w0"]
        view.lease.record_reply(0, now if replied_at is None else replied_at)
        return find_stragglers(view, now)

    def test_run_without_progress_moves(self) -> None:
        (run,) = self.start()
        self.report_progress(run, 30.0, 1.0)
        self.assertEqual(self.find(1.0 + STALLED_AFTER_S), [])
        (found,) = self.find(1.1 + STALLED_AFTER_S)
        self.assertIs(found.remedy, Remedy.MOVE)
        self.assertTrue(found.counts_against_worker)

    def test_throttled_fillers_and_those_short_of_cpu_are_no_stragglers(self) -> None:
        (run,) = self.start(is_filler=True)
        self.assertEqual(self.find(9.0), [])  # gets no processor time
        run.measurement = 1000.0
        self.assertEqual(len(self.find(9.0)), 1)
        run.speed_percent = 0
        self.assertEqual(self.find(9.0), [])

    def test_run_whose_startup_takes_too_long_moves(self) -> None:
        (run,) = self.start(is_long_running=True)
        self.assertEqual(self.find(STARTUP_TIMEOUT_S), [])
        self.assertEqual(len(self.find(STARTUP_TIMEOUT_S + 0.1)), 1)
        self.report_progress(run, 100.0, STARTUP_TIMEOUT_S)
        self.assertEqual(self.find(99.0), [])

    def test_run_far_slower_than_its_siblings_moves_or_gets_a_copy(self) -> None:
        for fields, remedies in (
            ({"saves_progress": True}, [Remedy.MOVE]),
            ({"is_speculative": True}, [Remedy.COPY]),
            ({}, []),
        ):
            first, second, slow = self.start(3, **fields)
            for run in (first, second):
                self.job_table.mark_ended(run, EndKind.DONE, "", 1.0, 0)
            self.report_progress(slow, 20.0, 1.0)
            self.assertEqual([s.remedy for s in self.find(1.0)], remedies)
            self.report_progress(slow, 80.0, 1.2)
            self.assertEqual(self.find(1.2), [])

    def test_runs_on_a_silent_worker_get_copies_if_allowed(self) -> None:
        (run,) = self.start(is_speculative=True)
        (found,) = self.find(SILENT_AFTER_S + 0.1, replied_at=0.0)
        self.assertIs(found.remedy, Remedy.COPY)
        self.job_table.request_copy(run.task)
        self.assertEqual(self.find(SILENT_AFTER_S + 0.1, replied_at=0.0), [])
        self.assertEqual(start_all(self.job_table), [])  # not on the same worker as the first
        self.job_table.fleet.workers_by_id["w1"].is_attached = True
        (copy,) = start_all(self.job_table)
        self.assertEqual(copy.worker_id, "w1")
        self.job_table.mark_ended(copy, EndKind.DONE, "", 2.0, 0)
        self.assertTrue(run.is_stop_wanted)

    def test_runs_on_a_silent_worker_stay_if_copies_are_not_allowed(self) -> None:
        self.start()
        self.assertEqual(self.find(9.0, replied_at=0.0), [])
