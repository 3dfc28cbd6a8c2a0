"""Orders to workers, requests to the advice service, and their replies."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

from result import Result

__all__ = [
    "AdviceClient",
    "EndKind",
    "EndedRun",
    "RenewOrder",
    "OrderFailure",
    "ThrottleOrder",
    "OrderRejection",
    "Report",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "Ticket",
    "WorkerClient",
]


class EndKind(enum.StrEnum):
    """How a run ended on its worker.

    `MEMBER_LOST`: another member of the gang ended. `UNACCOMPANIED`: the other members of the
    gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    MEMBER_LOST = "member_lost"
    UNACCOMPANIED = "unaccompanied"


class OrderRejection(enum.StrEnum):
    """Why an order was not confirmed; only after `NO_ANSWER` may it still have taken effect.

    `FENCED`: the worker has seen the token of a later owner. `OLD_RUN`: the worker knows a run of
    the task with the same or a higher number. `TOO_LATE`: the lease in the order has expired.
    `OTHER_INCARNATION`: another incarnation of the worker replied at the address.
    """

    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailure:
    """An order that was not confirmed.

    Attributes:
        kind: why it was not confirmed.
        detail: the cause, for logs.
        worker_clock_ms: the worker's steady clock when it replied, None if there was no reply.
    """

    kind: OrderRejection
    detail: str
    worker_clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run of a task.

    Attributes:
        task: the task's name.
        run: the run's number, higher than that of any earlier run of the task.
        payload: the payload of the job's workflow, passed on unchanged.
        lease_until_ms: end of the lease of all runs on the worker, by the worker's clock.
        token: the owner's fencing token.
        checkpoint: where to resume, empty to start from the beginning.
        ticket: permission from the advice service, empty if none is needed.
    """

    task: str
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run; if its start order has not arrived yet, the run will never start."""

    task: str
    run: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Limits a run to a percentage of its full speed, from 0 to 100."""

    task: str
    run: int
    percent: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewOrder:
    """Extends the lease of all runs on a worker and requests its report.

    Attributes:
        token: the owner's fencing token.
        acked_upto: highest `EndedRun.number` processed; the worker need not report the ends up to
            it again.
        lease_until_ms: end of the lease by the worker's clock; None leaves the lease unchanged.
        wait_ms: how long the worker may delay its reply until a run ends.
    """

    token: int
    acked_upto: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run in progress, as its worker reports it.

    Attributes:
        task: the task's name.
        run: the run's number.
        checkpoint: the newest checkpoint, empty if there is none.
        percent: work done; 100 for a long-running task past its startup.
        measurement: tail latency in milliseconds of a serving task, millicores in use of any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    measurement: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended on a worker.

    Attributes:
        number: sequence number of the end within the worker's incarnation.
        task: the task's name.
        run: the run's number.
        how: how it ended.
        checkpoint: the newest checkpoint, empty if there is none.
    """

    number: int
    task: str
    run: int
    how: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's reply to a `RenewOrder`.

    Attributes:
        worker_clock_ms: the worker's steady clock.
        born_ms: Unix time at which the incarnation started, 0 if not reported.
        running: all runs in progress on the worker.
        ended: ended runs that were not acknowledged yet, at most one page of them.
    """

    worker_clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class WorkerClient(abc.ABC):
    """Sends orders to workers; a failed call is returned as an error and never raised.

    A confirmed start, stop or throttle order returns the worker's clock in milliseconds.
    """

    @abc.abstractmethod
    async def start(
        self, address: str, worker_id: str, order: StartOrder
    ) -> Result[int, OrderFailure]:
        """Starts a run; also confirmed if the worker has already started that run."""

    @abc.abstractmethod
    async def stop(
        self, address: str, worker_id: str, order: StopOrder
    ) -> Result[int, OrderFailure]:
        """Stops a run."""

    @abc.abstractmethod
    async def throttle(
        self, address: str, worker_id: str, order: ThrottleOrder
    ) -> Result[int, OrderFailure]:
        """Sets the speed of a run."""

    @abc.abstractmethod
    async def renew(
        self, address: str, worker_id: str, order: RenewOrder
    ) -> Result[Report, OrderFailure]:
        """Extends the lease of all runs and returns the worker's report."""

    def opened_connections(self, address: str) -> int | None:
        """Returns how many connections to an address were opened so far, None if unknown.

        An order over a connection that was opened before a report arrived reaches no later
        incarnation than the one that reported.
        """
        return None

    async def close(self) -> None:
        """Closes all connections."""
        return


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission from the advice service to run a step on one incarnation of a worker."""

    worker_id: str
    value: str


class AdviceClient(abc.ABC):
    """Asks the advice service which workers may run a step."""

    @abc.abstractmethod
    async def advise(
        self, step: str, worker_ids: Sequence[str]
    ) -> Result[tuple[Ticket, ...], OrderFailure]:
        """Returns a ticket for each worker in `worker_ids` that may run the step."""
