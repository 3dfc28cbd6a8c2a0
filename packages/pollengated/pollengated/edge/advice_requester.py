"""Asks the advice service for steps that wait, one call at a time."""

import asyncio

from pollengate.workflow.clients import AdviceClient
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import AdviceTiming, Queue
from pollengate.workflow.ordering import rank
from pollengate.workflow.progress import StepProgress
from pollengate.workflow.tickets import TicketCache
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.logs import Log

__all__ = ["AdviceRequester"]

# Between looks at what waits.
POLL_INTERVAL_S = 0.02
RETRY_S = 0.2


class AdviceRequester:
    """Keeps tickets for the steps of queues with advice.

    Args:
        job_table: the shard's books.
        tickets: where the tickets go.
        client: calls the service, which takes one call of this VM at a time.
        clocks: the process's clocks.
    """

    def __init__(
        self, job_table: JobTable, tickets: TicketCache, client: AdviceClient, clocks: Clocks
    ) -> None:
        self._job_table = job_table
        self._tickets = tickets
        self._client = client
        self._clocks = clocks
        self._log = Log("advice")

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._tickets.retain(self._job_table.open_steps)
            for step, queue, advice in self._waiting_steps():
                if await self._request_advice(step, queue, advice):
                    break  # the order may have changed meanwhile

    def _waiting_steps(self) -> list[tuple[StepProgress, Queue, AdviceTiming]]:
        """Returns the steps that may need tickets, in order of rank."""
        now = self._clocks.monotonic_s()
        found = []
        for step in self._job_table.open_steps:
            queue = self._job_table.queue_of(step)
            if queue is not None and queue.advice is not None and step.waiting:
                found.append((step, queue, queue.advice))
        return sorted(found, key=lambda entry: rank(entry[0], entry[1], now))

    async def _request_advice(self, step: StepProgress, queue: Queue, advice: AdviceTiming) -> bool:
        """Asks for one step; returns whether a call was made."""
        asked_at = self._clocks.monotonic_s()
        workers = self._job_table.fleet.schedulable_workers(queue.service, asked_at)
        asked = self._tickets.workers_to_request(step, workers, asked_at)
        if not asked:
            return False
        name = f"{step.job.job_id}.{step.occurrence.number}.{step.number}"
        result = await self._client.advise(name, [view.worker_id for view in asked])
        if isinstance(result, Err):
            self._log.warning("no advice", step=name, cause=result.err_value.detail)
            await asyncio.sleep(RETRY_S)
            return True
        valid_until = asked_at + advice.valid_ms / 1000
        self._tickets.record_reply(step, asked, result.ok_value, valid_until)
        self._log.info("advice", step=name, asked=len(asked), good=len(result.ok_value))
        return True
