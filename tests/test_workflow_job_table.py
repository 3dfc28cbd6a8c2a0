"""Tests of the job table: jobs with steps, and their records."""

import unittest

from pollengate.workflow.clients import EndKind
from pollengate.workflow.progress import JobState, RunState
from pollengate.workflow.records import (
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
    restore,
)

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    start_all,
)


class StepTest(unittest.TestCase):
    """Order of steps, results of runs and ends of jobs."""

    def test_step_opens_when_all_tasks_before_it_are_done(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", build_step(2), build_step(1, after=(0,)))
        job_table.add(job, 0.0, 0)
        first = start_all(job_table)
        self.assertEqual([run.task.name for run in first], ["aa.0.0.0", "aa.0.0.1"])
        job_table.mark_ended(first[0], EndKind.DONE, "", 1.0, 0)
        self.assertEqual(start_all(job_table), [])
        job_table.mark_ended(first[1], EndKind.DONE, "", 1.0, 0)
        (last,) = start_all(job_table)
        self.assertEqual(last.task.name, "aa.0.1.0")
        self.assertIs(job.state, JobState.RUNNING)
        job_table.mark_ended(last, EndKind.DONE, "", 2.0, 0)
        self.assertIs(job.state, JobState.COMPLETED)

    def test_name_of_thousands_of_digits_is_no_task(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("aa"), 0.0, 0)
        self.assertIsNotNone(job_table.find_task("aa.0.0.0"))
        self.assertIsNone(job_table.find_task("aa.0.0." + "9" * 5000))

    def test_job_fails_after_the_last_attempt(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job = build_job("aa", build_step(2))
        job_table.add(job, 0.0, 0)
        run, other = start_all(job_table)
        job_table.mark_ended(run, EndKind.FAILED, "", 1.0, 0)
        self.assertFalse(job.is_ended)
        (second,) = start_all(job_table)
        self.assertNotEqual(second.worker_id, run.worker_id)
        job_table.mark_ended(second, EndKind.FAILED, "", 2.0, 0)
        self.assertIs(job.state, JobState.FAILED)
        self.assertIn(other, job_table.outbox.stops)

    def test_failure_that_is_reported_twice_counts_once(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job = build_job("aa")
        job_table.add(job, 0.0, 0)
        (run,) = start_all(job_table)
        job_table.mark_ended(run, EndKind.FAILED, "", 1.0, 0)
        job_table.apply_result(run.task, run.number, run.worker_id, EndKind.FAILED, "", 1.0, 0)
        self.assertFalse(job.is_ended)

    def test_stopped_task_resumes_from_its_checkpoint_under_a_higher_number(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("aa"), 0.0, 0)
        (run,) = start_all(job_table)
        job_table.stop(run)
        job_table.mark_ended(run, EndKind.STOPPED, "half", 1.0, 0)
        (second,) = start_all(job_table)
        self.assertEqual(second.task.checkpoint, "half")
        self.assertGreater(second.number, run.number)

    def test_long_running_task_starts_again_however_it_ends(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job_table.add(build_job("aa", build_step(is_long_running=True)), 0.0, 0)
        for how in (EndKind.DONE, EndKind.FAILED, EndKind.FAILED, EndKind.EXPIRED):
            (run,) = start_all(job_table)
            job_table.mark_ended(run, how, "", 1.0, 0)
        self.assertEqual(len(start_all(job_table)), 1)

    def test_failed_long_running_task_does_not_lose_its_place_to_one_that_never_ran(self) -> None:
        job_table = build_job_table(build_lease_worker())
        step = build_step(3, is_long_running=True)
        job_table.add(build_job("aa", step), 0.0, 0)
        job_table.add(build_job("bb", step), 1.0, 0)
        runs = start_all(job_table)
        failed = next(run for run in runs if run.task.name.startswith("bb"))
        job_table.mark_ended(failed, EndKind.FAILED, "", 2.0, 0)
        (again,) = start_all(job_table, 2.0)
        self.assertIs(failed.task, again.task)
        job_table.mark_ended(again, EndKind.FAILED, "", 3.0, 0)
        job_table.add(build_job("cc", build_step(1, is_long_running=True)), 0.0, 0)
        (again,) = start_all(job_table, 3.0)
        self.assertIs(failed.task, again.task)

    def test_cancelled_job_stops_its_runs_and_starts_no_task(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", build_step(9))
        job_table.add(job, 0.0, 0)
        runs = start_all(job_table)
        job_table.cancel(job, 0)
        self.assertEqual(job_table.outbox.stops, runs)
        self.assertEqual(start_all(job_table), [])
        job_table.mark_ended(runs[0], EndKind.STOPPED, "", 1.0, 0)
        self.assertEqual(start_all(job_table), [])

    def test_unanswered_start_holds_its_resources_until_it_is_known_to_be_lost(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("aa"), 0.0, 0)
        (run,) = build_planner(job_table).plan(0.0)
        job_table.mark_unknown(run)
        self.assertIs(run.state, RunState.UNSETTLED)
        self.assertEqual(job_table.outbox.stops, [run])
        self.assertEqual(start_all(job_table), [])
        self.assertEqual(job_table.fleet.workers_by_id["w0"].memory_mb, 100)
        job_table.mark_lost(run)
        self.assertEqual(len(start_all(job_table)), 1)

    def test_end_of_one_gang_member_completes_the_whole_gang(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", build_step(3, is_gang=True))
        job_table.add(job, 0.0, 0)
        runs = start_all(job_table)
        self.assertEqual(len({run.number for run in runs}), 1)
        job_table.mark_ended(runs[0], EndKind.DONE, "", 1.0, 0)
        self.assertIs(job.state, JobState.COMPLETED)

    def test_members_of_a_gang_resume_from_the_same_checkpoint(self) -> None:
        # Guards against members that wait for each other in vain after a crash of one worker.
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", build_step(3, is_gang=True, saves_progress=True))
        job_table.add(job, 0.0, 0)
        lost, *others = start_all(job_table)
        lost.task.keep_checkpoint("old")
        for number, run in enumerate(others):
            job_table.mark_ended(run, EndKind.MEMBER_LOST, f"new{number}", 1.0, 0)
        job_table.mark_lost(lost)
        again = start_all(job_table, 2.0)
        self.assertEqual([run.checkpoint for run in again], ["new1"] * 3)
        again[0].task.keep_checkpoint("newer")
        self.assertEqual({run.checkpoint for run in again}, {"new1"}, "as it was planned")
        stored = decode_job(encode_job(job)).unwrap()
        progress = decode_progress(encode_progress(job)).unwrap()
        restored = restore(stored, progress, 0.0).unwrap()
        self.assertEqual(len({task.start_checkpoint for task in restored.tasks()}), 1)

    def test_gang_without_room_for_all_starts_nothing(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job_table.add(build_job("aa", build_step(5, is_gang=True)), 0.0, 0)
        self.assertEqual(start_all(job_table), [])
        self.assertEqual(job_table.fleet.workers_by_id["w0"].committed_millis, 0)


class ScheduleTest(unittest.TestCase):
    """Scheduled jobs with several occurrences."""

    def test_occurrences_open_when_they_are_due(self) -> None:
        job_table = build_job_table(build_lease_worker())
        job = build_job("aa", first_due_ms=1000, interval_ms=500, repeat_count=3)
        job_table.add(job, 0.0, 0)
        self.assertEqual(start_all(job_table), [])
        job_table.open_due_occurrences(1.5, 1500)
        runs = start_all(job_table)
        self.assertEqual([run.task.name for run in runs], ["aa.0.0.0", "aa.1.0.0"])
        for run in runs:
            job_table.mark_ended(run, EndKind.DONE, "", 2.0, 0)
        self.assertFalse(job.is_ended)
        job_table.open_due_occurrences(2.0, 2000)
        (last,) = start_all(job_table)
        job_table.mark_ended(last, EndKind.DONE, "", 3.0, 0)
        self.assertIs(job.state, JobState.COMPLETED)


class RecordTest(unittest.TestCase):
    """Encoding, decoding and restoring of jobs."""

    def test_restored_job_continues_with_the_tasks_that_are_not_done(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job = build_job("aa", build_step(3), build_step(1, after=(0,)))
        job_table.add(job, 0.0, 0)
        first, second, _ = start_all(job_table)
        job_table.mark_ended(first, EndKind.DONE, "", 1.0, 0)
        job_table.mark_ended(second, EndKind.FAILED, "half", 1.0, 0)
        restored = restore(
            decode_job(encode_job(job)).unwrap(),
            decode_progress(encode_progress(job)).unwrap(),
            5.0,
        ).unwrap()
        self.assertEqual(restored.workflow, job.workflow)
        later = build_job_table(build_lease_worker(), term=1)
        later.add(restored, 5.0, 0)
        runs = start_all(later)
        self.assertEqual([run.task.index for run in runs], [1, 2])
        self.assertEqual(runs[0].task.checkpoint, "half")
        self.assertEqual(runs[0].task.failed_runs, {second.number})
        self.assertTrue(all(run.number > 64 for run in runs))

    def test_malformed_record_is_returned_as_an_error(self) -> None:
        self.assertTrue(decode_job(b"{").is_err())
        self.assertTrue(decode_progress(b'{"state":"odd"}').is_err())
