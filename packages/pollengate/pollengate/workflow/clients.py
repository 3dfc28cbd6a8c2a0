"""What the scheduler says to workers and to the advice service, and what they answer."""

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

    `MEMBER_LOST`: another member of the gang ended. `UNACCOMPANIED`: the rest of the gang did
    not come in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    MEMBER_LOST = "member_lost"
    UNACCOMPANIED = "unaccompanied"


class OrderRejection(enum.StrEnum):
    """Why an order had, or may have had, no effect; only `NO_ANSWER` leaves that open."""

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
        kind: what is known of its effect.
        detail: the cause, for logs.
        worker_clock_ms: the worker's steady clock at its answer, None without one.
    """

    kind: OrderRejection
    detail: str
    worker_clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run of a task.

    Attributes:
        task: the task's name.
        run: number of the start, higher than any before.
        payload: what the submitter gave to all tasks.
        lease_until_ms: on the worker's clock; everything on the worker lives as long.
        token: the owner's fencing token.
        checkpoint: where to resume, empty for the beginning.
        ticket: the advice service's permission, empty for none.
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
    """Ends a run, and keeps one that has not arrived from ever starting."""

    task: str
    run: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Lets a run work at a share of its speed, from 0 to 100 percent."""

    task: str
    run: int
    percent: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewOrder:
    """Extends the lease of all that runs on a worker and asks what runs and ended.

    Attributes:
        token: the owner's fencing token.
        acked_upto: ends up to this number need not be reported again.
        lease_until_ms: on the worker's clock; None leaves the lease as it is.
        wait_ms: how long the answer may wait for an end.
    """

    token: int
    acked_upto: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run on a worker.

    Attributes:
        task: its name.
        run: its number.
        checkpoint: the newest one, empty for none.
        percent: work done; 100 for a long-running task that is at work.
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
        number: rises with each end of the worker's incarnation.
        task: its name.
        run: its number.
        how: why it ended.
        checkpoint: the newest one, empty for none.
    """

    number: int
    task: str
    run: int
    how: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's answer to a hold order.

    Attributes:
        worker_clock_ms: its steady clock.
        born_ms: Unix time of the incarnation's start, 0 if it did not say.
        running: everything that runs there.
        ended: ends that were not forgotten yet, at most a page of them.
    """

    worker_clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class WorkerClient(abc.ABC):
    """Sends orders to workers; no method raises for a failed call.

    A confirmed order returns the worker's clock in milliseconds.
    """

    @abc.abstractmethod
    async def start(
        self, address: str, worker_id: str, order: StartOrder
    ) -> Result[int, OrderFailure]:
        """Starts a run; confirmed as well if that run is there already."""

    @abc.abstractmethod
    async def stop(
        self, address: str, worker_id: str, order: StopOrder
    ) -> Result[int, OrderFailure]:
        """Stops a run."""

    @abc.abstractmethod
    async def throttle(
        self, address: str, worker_id: str, order: ThrottleOrder
    ) -> Result[int, OrderFailure]:
        """Changes the speed of a run."""

    @abc.abstractmethod
    async def renew(
        self, address: str, worker_id: str, order: RenewOrder
    ) -> Result[Report, OrderFailure]:
        """Extends the lease of all runs and returns what runs and what ended."""

    async def close(self) -> None:
        """Releases connections."""
        return


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run the tasks of a step on one incarnation of a worker."""

    worker_id: str
    value: str


class AdviceClient(abc.ABC):
    """Asks which workers may run a step."""

    @abc.abstractmethod
    async def advise(
        self, step: str, worker_ids: Sequence[str]
    ) -> Result[tuple[Ticket, ...], OrderFailure]:
        """Returns a ticket for each of the named workers that may run the step."""
