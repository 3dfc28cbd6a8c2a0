"""Tests of steps that need the advice service's ticket for a worker."""

import asyncio
import unittest
from collections.abc import Sequence

from pollengate.workflow.clients import AdviceClient, OrderFailure, OrderRejection, Ticket
from pollengate.workflow.model import AdviceTiming
from pollengate.workflow.ordering import DeadlineOrder
from pollengate.workflow.tickets import TicketCache
from pollengated.edge.advice_requester import AdviceRequester
from pollengated.edge.clocks import Clocks
from result import Err, Ok, Result

from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
)

ADVICE = AdviceTiming(5, 1, 3000)


class FixedAdvice(AdviceClient):
    """Advice client that grants tickets for one worker; its first call fails."""

    def __init__(self, allowed_id: str) -> None:
        self._allowed_id = allowed_id
        self.calls: list[tuple[str, list[str]]] = []

    async def advise(
        self, step: str, worker_ids: Sequence[str]
    ) -> Result[tuple[Ticket, ...], OrderFailure]:
        """Replies after 10 ms."""
        self.calls.append((step, list(worker_ids)))
        await asyncio.sleep(0.01)
        if len(self.calls) == 1:
            return Err(OrderFailure(OrderRejection.UNHEALTHY, "status 429"))
        return Ok(tuple(Ticket(w, f"t-{w}") for w in worker_ids if w == self._allowed_id))


class TicketTest(unittest.TestCase):
    """Planning with tickets, and requests for them."""

    def setUp(self) -> None:
        workers = [build_lease_worker(f"w{number}") for number in range(3)]
        self.job_table = build_job_table(*workers, advice=ADVICE)
        self.job_table.add(build_job("aa", build_step(2)), 0.0, 0)
        (self.step,) = self.job_table.open_steps
        self.tickets = TicketCache()
        self.views = self.job_table.fleet.workers_by_id

    def plan(self, now: float) -> list[str]:
        """Plans; returns the worker ids of the starts."""
        planner = build_planner(self.job_table, tickets=self.tickets)
        return [run.worker_id for run in planner.plan(now)]

    def test_nothing_starts_without_a_ticket(self) -> None:
        self.assertEqual(self.plan(0.0), [])
        self.tickets.record_reply(self.step, self.views.values(), [Ticket("w1", "t")], 3.0)
        self.assertEqual(self.plan(0.0), ["w1", "w1"])

    def test_ticket_is_valid_for_a_limited_time_and_one_incarnation(self) -> None:
        view = self.views["w1"]
        self.tickets.record_reply(self.step, [view], [Ticket("w1", "t")], 3.0)
        self.assertEqual(self.tickets.ticket(self.step, view, 1.0), "t")
        self.assertEqual(self.tickets.ticket(self.step, view, 2.9), "")
        view.born_ms = 5
        self.assertEqual(self.tickets.ticket(self.step, view, 1.0), "")

    def test_refused_workers_are_not_requested_again(self) -> None:
        views = list(self.views.values())
        self.assertEqual(len(self.tickets.workers_to_request(self.step, views, 0.0)), 3)
        self.tickets.record_reply(self.step, views, [Ticket("w1", "t")], 3.0)
        requested = self.tickets.workers_to_request(self.step, views, 9.0)
        self.assertEqual([view.worker_id for view in requested], ["w1"])

    def test_ticket_for_a_full_worker_does_not_keep_a_step_from_workers_with_room(self) -> None:
        # Guards against a task that waits until the ticket has expired.
        full = build_step(is_long_running=True, demand=self.views["w0"].info.capacity)
        self.job_table.add(build_job("bb", full), 0.0, 0)
        blocker = next(task for task in self.job_table.jobs_by_id["bb"].tasks())
        self.job_table.add_run(blocker, self.views["w0"], 1, 0.0)
        tickets = [Ticket("w0", "t"), Ticket("w1", "t")]
        self.tickets.record_reply(self.step, [self.views["w0"], self.views["w1"]], tickets, 3.0)
        views = list(self.views.values())
        requested = self.tickets.workers_to_request(self.step, views, 0.0)
        self.assertEqual([view.worker_id for view in requested], ["w2"])

    def test_requester_retries_after_a_failure(self) -> None:
        async def main() -> None:
            client = FixedAdvice("w2")
            requester = AdviceRequester(
                self.job_table, self.tickets, client, DeadlineOrder(), Clocks.of_loop()
            )
            request_loop = asyncio.create_task(requester.run())
            await asyncio.sleep(0.5)
            self.assertEqual(self.plan(0.5), ["w2", "w2"])
            self.assertEqual(client.calls[0][0], "aa.0.0")
            request_loop.cancel()

        run_virtual(main())
