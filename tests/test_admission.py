"""Tests of admission queues, service times, retry budgets and backend health."""

import asyncio
import random
import unittest

from pollengate.admission import OUTLIER_FACTOR, QueueBudget, ServiceQueue, ServiceTimes, Waiter
from pollengate.backend_health import FAILURES_TO_EJECT, FIRST_PROBE_INTERVAL_S, ServiceHealth
from pollengate.refusals import Reason
from pollengate.retries import (
    MAX_BACKOFF_S,
    MAX_RETRY_TOKENS,
    RETRY_BUDGET_RATIO,
    RetryBudget,
    backoff_s,
)

from tests.utils import run_virtual

WORK_S = 0.1


def fill(queue: ServiceQueue, count: int) -> list[Waiter]:
    """Adds requests to a queue and returns them."""
    waiters = [Waiter(10.0, True) for _ in range(count)]
    for waiter in waiters:
        queue.push(waiter)
    return waiters


class ServiceQueueTest(unittest.TestCase):
    """Which requests are admitted and which are refused at once."""

    def test_request_that_would_miss_its_deadline_is_refused(self) -> None:
        async def main() -> tuple[bool, Reason]:
            queue = ServiceQueue()
            queue.times.record(WORK_S)
            fill(queue, 39)
            is_admitted = queue.check(1.0, 8, 0.0).is_ok()
            return is_admitted, queue.check(0.6, 8, 0.0).unwrap_err().reason

        self.assertEqual((True, Reason.DEADLINE_TOO_SHORT), run_virtual(main()))

    def test_request_without_any_slot_is_refused(self) -> None:
        refusal = ServiceQueue().check(10.0, 0, 0.0).unwrap_err()
        self.assertEqual(Reason.NO_SLOT, refusal.reason)

    def test_retried_request_goes_first(self) -> None:
        async def main() -> bool:
            queue = ServiceQueue()
            fill(queue, 2)
            retried = Waiter(10.0, True, frozenset({"b0"}))
            queue.push(retried)
            return queue.head(1) == (retried,)

        self.assertTrue(run_virtual(main()))

    def test_higher_priority_displaces_the_last_of_the_lowest(self) -> None:
        async def main() -> tuple[bool, bool, Reason]:
            low, high = ServiceQueue(0), ServiceQueue(1)
            budget = QueueBudget(limit=3)
            last = fill(low, 3)[-1]
            is_low_admitted = budget.make_room(low, [low, high])
            is_high_admitted = budget.make_room(high, [low, high])
            return is_low_admitted, is_high_admitted, (await last.slot).unwrap_err().reason

        self.assertEqual((False, True, Reason.QUEUE_FULL), run_virtual(main()))

    def test_queues_never_hold_more_than_the_limit(self) -> None:
        async def main() -> int:
            generator = random.Random(3)
            queues = [ServiceQueue(priority) for priority in range(3)]
            budget = QueueBudget(limit=20)
            most = 0
            for _ in range(500):
                queue = generator.choice(queues)
                if budget.make_room(queue, queues):
                    fill(queue, 1)
                most = max(most, sum(len(one) for one in queues))
                await asyncio.sleep(0)
            return most

        self.assertEqual(20, run_virtual(main()))


class ServiceTimesTest(unittest.TestCase):
    """The estimate of service times that admission uses."""

    def test_one_outlier_moves_the_estimate_little(self) -> None:
        times = ServiceTimes()
        for _ in range(100):
            times.record(WORK_S)
        times.record(100.0)
        self.assertLess(times.mean_s, WORK_S * OUTLIER_FACTOR / 2)

    def test_estimate_follows_a_lasting_change(self) -> None:
        times = ServiceTimes()
        for _ in range(100):
            times.record(WORK_S)
        for _ in range(300):
            times.record(10 * WORK_S)
        self.assertAlmostEqual(10 * WORK_S, times.mean_s, places=2)


class RetriesTest(unittest.TestCase):
    """Retry budget and backoff."""

    def test_retries_stay_within_the_ratio(self) -> None:
        budget = RetryBudget()
        granted = 0
        for _ in range(1000):
            budget.count_request()
            granted += budget.try_take()
        self.assertLessEqual(granted, 1000 * RETRY_BUDGET_RATIO + MAX_RETRY_TOKENS)

    def test_backoff_is_bounded_and_the_same_for_a_seed(self) -> None:
        pauses = [backoff_s(attempt, random.Random(1)) for attempt in range(1, 20)]
        self.assertEqual(pauses, [backoff_s(a, random.Random(1)) for a in range(1, 20)])
        self.assertLessEqual(max(pauses), MAX_BACKOFF_S)


class ServiceHealthTest(unittest.TestCase):
    """Ejection, probing and readmission of backend servers."""

    def setUp(self) -> None:
        self.health = ServiceHealth()
        for backend_id in ("b0", "b1", "b2", "b3"):
            for _ in range(20):
                self.health.record_response(backend_id, WORK_S, 0.0)

    def test_failing_backend_server_is_probed_and_readmitted(self) -> None:
        for _ in range(FAILURES_TO_EJECT):
            self.health.record_failure("b0", 1.0)
        self.assertFalse(self.health.may_use("b0", 1.5, may_probe=True))
        now = 1.0 + FIRST_PROBE_INTERVAL_S
        self.assertTrue(self.health.may_use("b0", now, may_probe=True))
        self.assertFalse(self.health.may_use("b0", now, may_probe=False))
        self.health.begin_probe("b0", now)
        self.assertFalse(self.health.may_use("b0", now, may_probe=True))
        self.health.record_response("b0", WORK_S, now)
        self.assertTrue(self.health.may_use("b0", now, may_probe=False))

    def test_slow_backend_server_is_ejected(self) -> None:
        for _ in range(60):
            self.health.record_response("b0", WORK_S * 10, 1.0)
        self.assertFalse(self.health.may_use("b0", 1.0, may_probe=True))

    def test_ejection_is_ignored_when_most_are_ejected(self) -> None:
        for backend_id in ("b0", "b1", "b2"):
            for _ in range(FAILURES_TO_EJECT):
                self.health.record_failure(backend_id, 1.0)
        self.assertTrue(self.health.may_use("b0", 1.1, may_probe=False))

    def test_draining_backend_server_gets_no_request_not_even_a_probe(self) -> None:
        self.health.record_drain("b0", 1.0)
        self.assertFalse(self.health.may_use("b0", 2.0, may_probe=True))
