"""Caches the advice service's tickets and selects the workers to request advice for.

The policy of a queue may allow only a few workers for each step. The service handles one call at a
time, and a call takes longer the more workers it names. A step therefore stops requesting once it
has enough tickets for workers with room, names the emptiest workers first, and never names a denied
worker again.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from pollengate.workflow.clients import Ticket
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import StepProgress

__all__ = ["StepTickets", "TicketCache"]

# Latency objectives allow for one call with 30 workers per step.
MAX_WORKERS_PER_CALL = 30
# A ticket that expires sooner is not used, since a start order may take this long to arrive.
EXPIRY_MARGIN_S = 0.3


@dataclasses.dataclass(slots=True)
class _Permission:
    ticket: str
    born_ms: int
    valid_until: float


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Replies of the advice service for one step.

    Attributes:
        permissions_by_worker: tickets of workers that may run it, by worker id.
        denied_ids: ids of workers that may not run it; the policy of a step does not change.
    """

    permissions_by_worker: dict[str, _Permission] = dataclasses.field(default_factory=dict)
    denied_ids: set[str] = dataclasses.field(default_factory=set)


class TicketCache:
    """Tickets of all steps that wait for starts."""

    def __init__(self) -> None:
        self._by_step: dict[StepProgress, StepTickets] = {}

    def ticket(self, step: StepProgress, view: WorkerView, now: float) -> str:
        """Returns a valid ticket for a worker's present incarnation, empty if there is none."""
        step_tickets = self._by_step.get(step)
        permission = step_tickets and step_tickets.permissions_by_worker.get(view.worker_id)
        if not permission or permission.born_ms != view.born_ms:
            return ""
        return permission.ticket if now + EXPIRY_MARGIN_S < permission.valid_until else ""

    def workers_to_request(
        self, step: StepProgress, workers: Sequence[WorkerView], now: float
    ) -> list[WorkerView]:
        """Returns the workers to request tickets for; none while the step has enough tickets.

        A step that has them for full workers requests them for workers with room only.
        """
        step_tickets = self._by_step.setdefault(step, StepTickets())
        usable = [view for view in workers if view.worker_id not in step_tickets.denied_ids]
        missing = [view for view in usable if not self.ticket(step, view, now)]
        if len(usable) - len(missing) >= len(step.waiting):
            demand, is_filler = step.spec.demand, step.spec.is_filler
            with_room = [view for view in usable if view.fits(demand, is_filler)]
            missing = [view for view in missing if view.fits(demand, is_filler)]
            if len(with_room) - len(missing) >= len(step.waiting):
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
        """Records the tickets granted for the requested workers and the workers denied."""
        step_tickets = self._by_step.setdefault(step, StepTickets())
        ticket_by_worker = {ticket.worker_id: ticket.value for ticket in granted}
        for view in requested:
            value = ticket_by_worker.get(view.worker_id)
            if value is None:
                step_tickets.denied_ids.add(view.worker_id)
                continue
            permission = _Permission(value, view.born_ms, valid_until)
            step_tickets.permissions_by_worker[view.worker_id] = permission

    def revoke(self, step: StepProgress, worker_id: str) -> None:
        """Drops the ticket of a worker that has rejected it."""
        step_tickets = self._by_step.get(step)
        if step_tickets is not None:
            step_tickets.permissions_by_worker.pop(worker_id, None)

    def retain(self, steps: Iterable[StepProgress]) -> None:
        """Drops the tickets of all other steps."""
        kept = set(steps)
        self._by_step = {s: tickets for s, tickets in self._by_step.items() if s in kept}
