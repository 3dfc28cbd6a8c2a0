"""Tests of placement, capacity accounting and the index of free workers."""

import random
import unittest

from pollengate.capacity import CapacityTracker
from pollengate.errors import InvariantViolation
from pollengate.free_index import FreeIndex
from pollengate.jobs import Resources
from pollengate.placement import FirstFit, LeastLoaded, Placement

from tests.utils import ManualClock, build_policy, build_request

WORKER_COUNT = 300


def build_placements() -> list[Placement]:
    """Returns one placement of each class, without workers."""
    return [FirstFit(), LeastLoaded(), build_policy(ManualClock()).placement]


class CapacityAccountingTest(unittest.TestCase):
    """Capacity accounting that all placements share."""

    def test_declared_sizes_never_exceed_capacity_in_any_dimension(self) -> None:
        for placement in build_placements():
            with self.subTest(type(placement).__name__):
                self._fill(placement)

    def _fill(self, placement: Placement) -> None:
        generator = random.Random(1)
        for number in range(20):
            placement.add_worker(f"w{number}", "r0", Resources(16, 4000, number % 3))
        placed = []
        for number in range(3000):
            size = Resources(
                generator.randint(1, 8), generator.randint(1, 2000), generator.randint(0, 1)
            )
            if placement.place(build_request(f"t.{number}", resources=size)) is not None:
                placed.append(f"t.{number}")
            if placed and generator.random() < 0.4:
                placement.release(placed.pop(generator.randrange(len(placed))))
            for worker in range(20):
                self.assertTrue(Resources(0, 0, 0).fits(placement.free(f"w{worker}")))
        self.assertGreater(len(placed), 20)

    def test_removed_worker_gets_no_task_and_its_tasks_stay_assigned(self) -> None:
        for placement in build_placements():
            with self.subTest(type(placement).__name__):
                placement.add_worker("w0", "r0", Resources(4, 1000))
                placement.place(build_request("a.0", cores=3))
                placement.remove_worker("w0")
                self.assertIsNone(placement.place(build_request("b.0")))
                placement.add_worker("w0", "r0", Resources(4, 1000))
                self.assertEqual(placement.free("w0").cores, 1)
                placement.release("a.0")
                self.assertEqual(placement.free("w0").cores, 4)

    def test_adding_a_task_twice_raises(self) -> None:
        tracker = CapacityTracker()
        tracker.add_worker("w0", "r0", Resources(4, 1000))
        tracker.add_task(build_request(), "w0")
        with self.assertRaises(InvariantViolation):
            tracker.add_task(build_request(), "w0")

    def test_removed_workers_and_tasks_are_forgotten(self) -> None:
        tracker = CapacityTracker()
        tracker.add_worker("w0", "r0", Resources(4, 1000))
        tracker.add_task(build_request(), "w0")
        tracker.remove_worker("w0")
        tracker.remove_task("job.0")
        self.assertEqual(tracker.loads_by_worker, {})
        self.assertEqual(tracker.usage("team"), Resources(0, 0, 0))


class FreeIndexTest(unittest.TestCase):
    """Sampling of workers by free resources."""

    def test_every_sample_has_room_and_the_only_worker_with_room_is_found(self) -> None:
        index = FreeIndex(random.Random(0))
        for number in range(WORKER_COUNT):
            index.update(f"w{number}", Resources(3, 500))
        index.update("w77", Resources(4, 500))
        self.assertEqual(index.sample(Resources(4, 100), 8), ["w77"])
        index.update("w77", None)
        self.assertEqual(index.sample(Resources(4, 100), 8), [])

    def test_worker_among_many_too_small_ones_is_found_after_some_calls(self) -> None:
        index = FreeIndex(random.Random(0))
        for number in range(WORKER_COUNT):
            index.update(f"w{number}", Resources(4, 4))
        index.update("w5", Resources(5, 5))
        samples = [index.sample(Resources(5, 5), 8) for _ in range(10)]
        self.assertIn(["w5"], samples)


class InterferencePlacementTest(unittest.TestCase):
    """The choice between workers with room."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def test_service_is_spread_over_racks(self) -> None:
        policy = build_policy(self.clock, 8, service_classes=("api",))
        workers = [
            policy.placement.place(build_request(f"api.{n}", task_class="api")) for n in range(4)
        ]
        racks = [int(str(worker)[1:]) % 2 for worker in workers]
        self.assertEqual(sorted(racks), [0, 0, 1, 1])

    def test_task_is_placed_away_from_a_class_that_it_slows_down(self) -> None:
        policy = build_policy(self.clock, 2, cores=16, service_classes=("api",))
        for _ in range(50):
            policy.model.observe("api", {"noisy": 0.5}, 0.5, 3.0)
            policy.model.observe("api", {"quiet": 0.5}, 0.5, 1.0)
        policy.placement.assign(build_request("api.0", cores=6, task_class="api"), "w0")
        policy.placement.assign(build_request("quiet.0", cores=6, task_class="quiet"), "w1")
        noisy = build_request("noisy.0", cores=4, task_class="noisy")
        self.assertEqual(policy.placement.place(noisy), "w1")

    def test_task_is_not_placed_on_a_worker_that_it_failed_on(self) -> None:
        policy = build_policy(self.clock, 2)
        policy.failures.record_failure("job.0", "job", "w0", 2)
        for _ in range(5):
            self.assertEqual(policy.placement.place(build_request()), "w1")
            policy.placement.release("job.0")
