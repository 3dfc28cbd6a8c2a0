"""Tests of the reaction to measured interference."""

import unittest

from pollengate.interference.reaction_stages import InterferenceReaction
from pollengate.jobs import Resources
from pollengate.reaction import Action, Evict, Observation, Throttle
from pollengate.shard_policy import ShardPolicy
from pollengate.worker import TaskUsage

from tests.utils import ManualClock, build_policy, build_request

BATCH_TASKS = 3


def build_loaded_policy(**settings: float) -> tuple[ShardPolicy, InterferenceReaction]:
    """Returns a policy whose only worker runs a service and three batch tasks."""
    policy = build_policy(
        ManualClock(), 1, cores=16, service_classes=("api",), throttle_above=1.4, **settings
    )
    policy.placement.assign(build_request("api.0", cores=4, task_class="api"), "w0")
    for number in range(BATCH_TASKS):
        request = build_request(f"batch.{number}", cores=4, task_class="batch")
        policy.placement.assign(request, "w0")
    return policy, policy.interference_reaction


def report(measured_at: float, slowdown: float, in_step: tuple[str, ...] = ()) -> Observation:
    """Returns a report in which the service has the given slowdown."""
    batch = [
        TaskUsage(f"batch.{n}", 4.0, 100, 1.0, f"batch.{n}" in in_step) for n in range(BATCH_TASKS)
    ]
    return Observation("w0", measured_at, (TaskUsage("api.0", 2.0, 100, slowdown), *batch))


def feed(
    reaction: InterferenceReaction,
    start: float,
    count: int,
    slowdown: float,
    **options: tuple[str, ...],
) -> list[Action]:
    """Feeds reports every 5 s, each followed by a decision 0.5 s later; returns the actions."""
    actions: list[Action] = []
    for number in range(count):
        measured_at = start + 5.0 * number
        reaction.observe(report(measured_at, slowdown, **options))
        actions += reaction.decide(measured_at + 0.5)
    return actions


class InterferenceReactionTest(unittest.TestCase):
    """Stages of throttling, hysteresis, late reports and the eviction budget."""

    def test_task_is_throttled_in_stages_before_it_is_evicted(self) -> None:
        _, reaction = build_loaded_policy()
        actions = feed(reaction, 0.0, 40, 3.0)
        first_eviction = next(n for n, a in enumerate(actions) if isinstance(a, Evict))
        evicted = actions[first_eviction].task_id
        shares = [a.share for a in actions if isinstance(a, Throttle) and a.task_id == evicted]
        self.assertEqual(shares, [0.5, 0.25])

    def test_single_high_reports_cause_no_action(self) -> None:
        _, reaction = build_loaded_policy()
        for step in range(20):
            slowdown = 5.0 if step % 2 else 1.2
            self.assertEqual(feed(reaction, step * 5.0, 1, slowdown), [])

    def test_reports_measured_before_the_last_action_cause_no_other(self) -> None:
        _, reaction = build_loaded_policy()
        reaction.observe(report(10.0, 3.0))
        reaction.observe(report(15.0, 3.0))
        self.assertTrue(reaction.decide(40.0))
        for measured_at in (20.0, 25.0, 30.0, 39.0):
            reaction.observe(report(measured_at, 3.0))
            self.assertEqual(reaction.decide(measured_at + 30.0), [])
        reaction.observe(report(41.0, 3.0))
        reaction.observe(report(46.0, 3.0))
        self.assertTrue(reaction.decide(70.0))

    def test_report_that_arrives_out_of_order_does_not_count_as_agreement(self) -> None:
        _, reaction = build_loaded_policy()
        reaction.observe(report(20.0, 3.0))
        reaction.observe(report(15.0, 3.0))
        self.assertEqual(reaction.decide(30.0), [])

    def test_throttle_is_kept_between_the_thresholds_and_removed_below(self) -> None:
        _, reaction = build_loaded_policy()
        throttled = feed(reaction, 0.0, 2, 3.0)
        self.assertTrue(throttled)
        self.assertEqual(feed(reaction, 20.0, 6, 1.3), [])
        relaxed = feed(reaction, 60.0, 40, 1.0)
        self.assertTrue(all(isinstance(action, Throttle) for action in relaxed))
        last_share_by_task = {a.task_id: a.share for a in relaxed if isinstance(a, Throttle)}
        self.assertEqual(last_share_by_task, {a.task_id: 1.0 for a in throttled})

    def test_evictions_stay_within_the_budget(self) -> None:
        _, reaction = build_loaded_policy(worker_eviction_interval_s=60.0)
        actions = feed(reaction, 0.0, 60, 3.0)
        evictions = [action for action in actions if isinstance(action, Evict)]
        self.assertGreaterEqual(len(evictions), 1)
        self.assertLessEqual(len(evictions), 5)
        self.assertEqual(len({eviction.task_id for eviction in evictions}), len(evictions))

    def test_worker_that_registers_again_without_processors_raises_no_error(self) -> None:
        policy, reaction = build_loaded_policy()
        for measured_at in (10.0, 15.0):
            reaction.observe(report(measured_at, 3.0))
        policy.placement.capacity_tracker.add_worker("w0", "r0", Resources(0, 0, 0))
        self.assertIsInstance(reaction.decide(16.0), list)

    def test_task_in_a_step_is_not_evicted(self) -> None:
        _, reaction = build_loaded_policy(worker_eviction_interval_s=0.0)
        actions = feed(reaction, 0.0, 60, 3.0, in_step=("batch.0", "batch.1"))
        evicted = {action.task_id for action in actions if isinstance(action, Evict)}
        self.assertEqual(evicted, {"batch.2"})

    def test_report_may_contain_tasks_that_have_left(self) -> None:
        policy, reaction = build_loaded_policy()
        policy.placement.release("batch.0")
        reaction.on_task_left("batch.0")
        actions = feed(reaction, 0.0, 20, 3.0)
        self.assertNotIn("batch.0", {action.task_id for action in actions})
        self.assertGreater(policy.model.coefficient("api", "batch", 2), 0.5)
