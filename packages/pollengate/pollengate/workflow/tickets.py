"""Which workers may run a step, by the advice service, and what to ask it next.

Made for queues whose policy allows few workers a step: the service answers one call at a time and
takes time for each worker named, so steps ask for as many workers as they can use, the emptiest
first, and ask again only for workers that were good.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from pollengate.workflow.clients import Ticket
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import StepProgress

__all__ = ["StepTickets", "TicketCache"]

# One call names at most so many workers; objectives allow for one call on 30 a step.
MAX_WORKERS_PER_CALL = 30
# A ticket that ends sooner is not used for a start, which may take as long to arrive.
EXPIRY_MARGIN_S = 0.3


@dataclasses.dataclass(slots=True)
class _Permission:
    ticket: str
    born_ms: int
    valid_until: float


@dataclasses.dataclass(slots=True)
class StepTickets:
    """What is known of one step.

    Attributes:
        permissions_by_worker: tickets of workers that may run it.
        refused: workers that may not; the policy of a step does not change.
    """

    permissions_by_worker: dict[str, _Permission] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)


class TicketCache:
    """Tickets of all open steps."""

    def __init__(self) -> None:
        self._by_step: dict[StepProgress, StepTickets] = {}

    def ticket(self, step: StepProgress, view: WorkerView, now: float) -> str:
        """Returns a ticket that is good for a worker's present incarnation, empty if none is."""
        known = self._by_step.get(step)
        permission = known and known.permissions_by_worker.get(view.worker_id)
        if not permission or permission.born_ms != view.born_ms:
            return ""
        return permission.ticket if now + EXPIRY_MARGIN_S < permission.valid_until else ""

    def workers_to_request(
        self, step: StepProgress, workers: Sequence[WorkerView], now: float
    ) -> list[WorkerView]:
        """Returns the workers to ask about, none while the step has tickets enough."""
        known = self._by_step.setdefault(step, StepTickets())
        usable = [view for view in workers if view.worker_id not in known.refused]
        missing = [view for view in usable if not self.ticket(step, view, now)]
        if len(usable) - len(missing) >= len(step.waiting):
            return []
        missing.sort(key=lambda view: -view.unused_millis())
        return missing[:MAX_WORKERS_PER_CALL]

    def record_reply(
        self,
        step: StepProgress,
        requested: Iterable[WorkerView],
        granted: Iterable[Ticket],
        valid_until: float,
    ) -> None:
        """Takes in which of the workers asked about are good."""
        known = self._by_step.setdefault(step, StepTickets())
        ticket_by_worker = {ticket.worker_id: ticket.value for ticket in granted}
        for view in requested:
            value = ticket_by_worker.get(view.worker_id)
            if value is None:
                known.refused.add(view.worker_id)
                continue
            permission = _Permission(value, view.born_ms, valid_until)
            known.permissions_by_worker[view.worker_id] = permission

    def revoke(self, step: StepProgress, worker_id: str) -> None:
        """Drops a ticket that a worker did not take."""
        known = self._by_step.get(step)
        if known is not None:
            known.permissions_by_worker.pop(worker_id, None)

    def retain(self, steps: Iterable[StepProgress]) -> None:
        """Forgets steps that want no more starts."""
        kept = set(steps)
        self._by_step = {s: tickets for s, tickets in self._by_step.items() if s in kept}
