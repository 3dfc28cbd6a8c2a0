"""Tests of the order in which waiting tasks are offered."""

import unittest
from collections.abc import Callable

from pollengate.configuration import Quota
from pollengate.fair_queue import RESERVE_AFTER_S, RESERVE_URGENT_AFTER_S
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest
from pollengate.shard_policy import ShardPolicy
from pollengate.unschedulable import UnschedulableReason

from tests.utils import ManualClock, build_policy, build_request


def place_queued(policy: ShardPolicy, limit: int = 100) -> list[str]:
    """Places tasks from the queue and returns the ids of those placed, in order."""
    placed: list[str] = []

    def place(request: PlacementRequest) -> bool:
        if policy.placement.place(request) is None:
            return False
        placed.append(request.task_id)
        return True

    policy.queue.offer_tasks(place, limit)
    return placed


def refuse_all(offered: list[str]) -> Callable[[PlacementRequest], bool]:
    """Returns a place function that refuses every task and records its id in `offered`."""

    def place(request: PlacementRequest) -> bool:
        offered.append(request.task_id)
        return False

    return place


class FairQueueTest(unittest.TestCase):
    """Priority tiers, shares, quotas, refused sizes, reservations and unschedulable tasks."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def test_services_go_before_urgent_tasks_and_urgent_before_batch_tasks(self) -> None:
        policy = build_policy(self.clock, 1, service_classes=("api",))
        policy.queue.push(build_request("batch.0"))
        policy.queue.push(build_request("urgent.0", urgent=True))
        policy.queue.push(build_request("service.0", task_class="api"))
        self.assertEqual(place_queued(policy), ["service.0", "urgent.0", "batch.0"])

    def test_team_with_the_smaller_share_goes_first(self) -> None:
        policy = build_policy(self.clock, 1, cores=6)
        for number in range(6):
            policy.queue.push(build_request(f"large.{number}", team="large"))
        for number in range(2):
            policy.queue.push(build_request(f"small.{number}", team="small"))
        self.assertEqual(
            sorted(place_queued(policy)[:4]), ["large.0", "large.1", "small.0", "small.1"]
        )

    def test_quota_limits_only_its_own_team(self) -> None:
        quotas = {"a": Quota(cores=2, memory_mb=1000)}
        policy = build_policy(self.clock, 2, quotas=quotas)
        for number in range(4):
            policy.queue.push(build_request(f"a.{number}", team="a"))
            policy.queue.push(build_request(f"b.{number}", team="b"))
        placed = place_queued(policy)
        self.assertEqual(sum(task_id.startswith("a") for task_id in placed), 2)
        self.assertEqual(sum(task_id.startswith("b") for task_id in placed), 4)

    def test_size_that_found_no_room_is_offered_once_per_round(self) -> None:
        policy = build_policy(self.clock, 1)
        for number in range(500):
            policy.queue.push(build_request(f"a.{number}", team=f"team{number % 50}", cores=2))
            policy.queue.push(build_request(f"b.{number}", team=f"team{number % 50}", cores=3))
        offered: list[str] = []
        policy.queue.offer_tasks(refuse_all(offered), 200)
        self.assertLessEqual(len(offered), 2)

    def test_blocked_large_task_does_not_block_a_small_one(self) -> None:
        policy = build_policy(self.clock, 1)
        policy.placement.assign(build_request("running.0", cores=2), "w0")
        policy.queue.push(build_request("large.0", cores=3))
        policy.queue.push(build_request("small.0", cores=1))
        self.assertEqual(place_queued(policy), ["small.0"])

    def test_large_task_starts_in_time_among_small_ones(self) -> None:
        policy = build_policy(self.clock, 2)
        policy.queue.push(build_request("large.0", cores=4))
        running = []
        for number in range(8):
            running.append(f"old.{number}")
            policy.placement.assign(build_request(running[-1]), f"w{number % 2}")
        for step in range(400):
            self.clock.now += 0.5
            policy.queue.push(build_request(f"small.{step}", team="other"))
            policy.placement.release(running.pop(0))
            placed = place_queued(policy)
            running += placed
            if "large.0" in placed:
                break
        self.assertIn("large.0", placed)
        self.assertLessEqual(self.clock.now, RESERVE_AFTER_S + 10.0)

    def test_resumed_task_goes_before_new_ones(self) -> None:
        policy = build_policy(self.clock, 1)
        policy.queue.push(build_request("new.0"))
        policy.queue.push(build_request("moved.0", resumed=True))
        self.assertEqual(place_queued(policy), ["moved.0", "new.0"])

    def test_task_with_a_long_learned_run_time_goes_after_a_short_one(self) -> None:
        policy = build_policy(self.clock, 1)
        long = build_request("long.0", task_class="long")
        for _ in range(20):
            policy.profiles.observe_run_time(long, 100.0)
        policy.queue.push(long)
        policy.queue.push(build_request("short.0", task_class="short"))
        self.assertEqual(place_queued(policy), ["short.0", "long.0"])

    def test_task_is_unschedulable_until_a_worker_can_hold_it(self) -> None:
        policy = build_policy(self.clock, 1)
        policy.queue.push(build_request("huge.0", cores=8))
        self.assertEqual(place_queued(policy), [])
        self.assertIs(
            policy.queue.unschedulable_reason("huge.0"), UnschedulableReason.TASK_TOO_LARGE
        )
        policy.placement.add_worker("w9", "r0", Resources(8, 1000))
        self.clock.now += 10.0
        self.assertEqual(place_queued(policy), ["huge.0"])
        self.assertIsNone(policy.queue.unschedulable_reason("huge.0"))

    def test_task_above_its_quota_is_unschedulable_with_the_reason(self) -> None:
        policy = build_policy(self.clock, 1, quotas={"team": Quota(1, 1000)})
        policy.queue.push(build_request("wide.0", cores=2))
        self.assertIs(
            policy.queue.unschedulable_reason("wide.0"), UnschedulableReason.QUOTA_TOO_SMALL
        )
        policy.queue.discard("wide.0")
        self.assertEqual(len(policy.queue), 0)

    def test_discarded_task_loses_its_reservation(self) -> None:
        policy = build_policy(self.clock, 1)
        policy.placement.assign(build_request("running.0", cores=4), "w0")
        policy.queue.push(build_request("urgent.0", urgent=True))
        place_queued(policy)
        self.clock.now += RESERVE_URGENT_AFTER_S
        place_queued(policy)
        self.assertEqual(policy.reservations.worker_for("urgent.0"), "w0")
        policy.queue.discard("urgent.0")
        self.assertEqual(len(policy.reservations), 0)

    def test_reserved_worker_with_room_starts_its_task_behind_others_of_its_kind(self) -> None:
        policy = build_policy(self.clock, 2)
        for number in range(2):
            policy.placement.assign(build_request(f"running.{number}", cores=4), f"w{number}")
            policy.queue.push(build_request(f"urgent.{number}", cores=4, urgent=True))
        place_queued(policy)
        self.clock.now += RESERVE_URGENT_AFTER_S
        place_queued(policy)
        worker_id = policy.reservations.worker_for("urgent.1")
        policy.placement.release(f"running.{str(worker_id)[1:]}")
        self.assertEqual(place_queued(policy), ["urgent.1"])
