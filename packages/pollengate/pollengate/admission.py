"""Bounded queues of requests that wait for a slot."""

import asyncio
import collections
import dataclasses
import itertools

from result import Err, Ok, Result

from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.virtual_machines import VirtualMachine

__all__ = ["QueueBudget", "ServiceQueue", "ServiceTimes", "Waiter"]

MAX_QUEUED_REQUESTS = 2000
MIN_SAMPLE_WEIGHT = 0.05
MIN_SAMPLES = 20
OUTLIER_FACTOR = 4.0
# A request whose predicted wait leaves less than this part of its time spare is refused.
WAIT_SAFETY_FACTOR = 1.25
RETRY_AFTER_S = 1.0


class ServiceTimes:
    """The time that a service's requests occupy a slot."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0
        self._samples = 0

    def record(self, seconds: float) -> None:
        """Records one exchange; a much longer one than usual counts as `OUTLIER_FACTOR` times it.

        A single slow backend server thus does not make every request look too late.
        """
        self._samples += 1
        if self._samples > MIN_SAMPLES:
            seconds = min(seconds, OUTLIER_FACTOR * self.mean_s)
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._samples)
        error = seconds - self.mean_s
        self.mean_s += weight * error
        self._deviation_s += weight * (abs(error) - self._deviation_s)

    def expected_s(self) -> float:
        """Returns the seconds to plan for one exchange."""
        return self.mean_s + self._deviation_s


def _new_future() -> "asyncio.Future[Result[VirtualMachine, Refusal]]":
    return asyncio.get_running_loop().create_future()


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that wants a slot.

    Attributes:
        deadline: loop time at which its caller gives up.
        is_idempotent: whether it may be a probe.
        tried_backends: backend servers that already failed it.
        may_leave_zone: whether it goes to other zones too.
        slot: the backend server once chosen, or why there is none.
    """

    deadline: float
    is_idempotent: bool
    tried_backends: frozenset[str] = frozenset()
    may_leave_zone: bool = False
    slot: "asyncio.Future[Result[VirtualMachine, Refusal]]" = dataclasses.field(
        default_factory=_new_future
    )

    def resolve(self, result: Result[VirtualMachine, Refusal]) -> None:
        """Ends the wait."""
        if not self.slot.done():
            self.slot.set_result(result)


class ServiceQueue:
    """Requests of one service in order of arrival, refused early if they can't be in time."""

    def __init__(self, priority: int = 0) -> None:
        self.priority = priority
        self.times = ServiceTimes()
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def head(self, count: int) -> tuple[Waiter, ...]:
        """Returns the requests that come next."""
        return tuple(itertools.islice(self._waiters, count))

    def wait_s(self, slots: int) -> float:
        """Returns the predicted wait of a new request, given the slots that serve the queue."""
        if slots == 0:
            return float("inf")
        return (len(self._waiters) + 1) * self.times.mean_s / slots

    def check(self, deadline: float, slots: int, now: float) -> Result[None, Refusal]:
        """Tells whether a new request would be answered in time."""
        if slots == 0:
            detail = "this gate holds no slot of the service's backend servers"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NO_SLOT, detail, RETRY_AFTER_S))
        wait_s = self.wait_s(slots)
        if now + wait_s * WAIT_SAFETY_FACTOR + self.times.expected_s() > deadline:
            return Err(_too_late(wait_s))
        return Ok(None)

    def can_meet_deadline(self, deadline: float, now: float) -> bool:
        """Tells whether a request that gets a slot now would be answered in time."""
        return now + self.times.mean_s <= deadline

    def push(self, waiter: Waiter) -> None:
        """Adds a request; one that was tried before goes first."""
        if waiter.tried_backends:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request if it still waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def refuse_last(self) -> None:
        """Refuses the request that came last."""
        waiter = self._waiters.pop()
        waiter.resolve(Err(queue_full()))


class QueueBudget:
    """Bounds the requests that wait in all queues; higher priorities displace lower ones."""

    def __init__(self, limit: int = MAX_QUEUED_REQUESTS) -> None:
        self._limit = limit

    def make_room(self, queue: ServiceQueue, queues: list[ServiceQueue]) -> bool:
        """Makes room for one request.

        Args:
            queue: the queue that it wants to enter.
            queues: all queues.

        Returns:
            Whether there is room.
        """
        if sum(len(other) for other in queues) < self._limit:
            return True
        lowest = min((other for other in queues if len(other)), key=lambda other: other.priority)
        if lowest.priority >= queue.priority:
            return False
        lowest.refuse_last()
        return True


def queue_full() -> Refusal:
    """Returns the refusal of a request for which there is no room."""
    detail = "too many requests wait at this gate"
    return Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL, detail, RETRY_AFTER_S)


def _too_late(wait_s: float) -> Refusal:
    detail = f"the request would wait about {wait_s:.2f} s and miss its deadline"
    return Refusal(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT, detail, max(RETRY_AFTER_S, wait_s))
