"""Requests tickets for waiting steps from the advice service, one call at a time."""

import asyncio

from pollengate.workflow.clients import AdviceClient
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import AdviceTiming, Queue
from pollengate.workflow.ordering import StepOrder
from pollengate.workflow.progress import StepProgress
from pollengate.workflow.tickets import TicketCache
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.logs import Log

__all__ = ["AdviceRequester"]

# Interval between searches for waiting steps.
POLL_INTERVAL_S = 0.02
RETRY_S = 0.2


class AdviceRequester:
    """Requests tickets for the waiting steps of queues that use the advice service.

    Args:
        job_table: jobs of the shard.
        tickets: cache in which the tickets are stored.
        client: calls the service, which accepts one call at a time from this VM.
        order: decides which steps get tickets first; the planner's.
        clocks: the process's clocks.
    """

    def __init__(
        self,
        job_table: JobTable,
        tickets: TicketCache,
        client: AdviceClient,
        order: StepOrder,
        clocks: Clocks,
    ) -> None:
        self._job_table = job_table
        self._tickets = tickets
        self._client = client
        self._order = order
        self._clocks = clocks
        self._log = Log("advice")

    async def run(self) -> None:
        """Requests tickets until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._tickets.retain(self._job_table.open_steps)
            for step, queue, advice in self._waiting_steps():
                if await self._request_advice(step, queue, advice):
                    break  # the order of the steps may have changed during the call

    def _waiting_steps(self) -> list[tuple[StepProgress, Queue, AdviceTiming]]:
        """Returns the waiting steps that may need tickets, in the planner's order."""
        now = self._clocks.monotonic_s()
        queue_of = self._job_table.queue_of
        found = {}
        for step in self._job_table.open_steps:
            queue = queue_of(step)
            if queue is not None and queue.advice is not None and step.waiting:
                found[step] = queue, queue.advice
        arranged = self._order.arrange(list(found), queue_of, now)
        return [(step, *found[step]) for step in arranged]

    async def _request_advice(self, step: StepProgress, queue: Queue, advice: AdviceTiming) -> bool:
        """Requests tickets for one step; returns whether a call was made."""
        requested_at = self._clocks.monotonic_s()
        workers = self._job_table.fleet.schedulable_workers(queue.service, requested_at)
        requested = self._tickets.workers_to_request(step, workers, requested_at)
        if not requested:
            return False
        name = f"{step.job.job_id}.{step.occurrence.number}.{step.number}"
        result = await self._client.advise(name, [view.worker_id for view in requested])
        if isinstance(result, Err):
            self._log.warning(
                "advice request failed; trying again",
                step=name,
                cause=result.err_value.detail,
            )
            await asyncio.sleep(RETRY_S)
            return True
        valid_until = requested_at + advice.valid_ms / 1000
        self._tickets.record_reply(step, requested, result.ok_value, valid_until)
        self._log.info(
            "advice received", step=name, asked=len(requested), good=len(result.ok_value)
        )
        return True
