"""Admission control: bounded queues of requests that wait for a slot of a backend server."""

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
# The first samples are not capped, since the mean is not reliable yet.
UNCAPPED_SAMPLES = 20
OUTLIER_FACTOR = 4.0
# The predicted wait is multiplied by this before it is compared with a request's deadline.
WAIT_SAFETY_FACTOR = 1.25
RETRY_AFTER_S = 1.0


class ServiceTimes:
    """Smoothed mean and deviation of the time that a service's requests occupy a slot."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0
        self._samples = 0

    def record(self, seconds: float) -> None:
        """Records the duration of one exchange, capped at `OUTLIER_FACTOR` times the mean so far.

        Without the cap, a single slow backend server would make the queue refuse every request.
        """
        self._samples += 1
        if self._samples > UNCAPPED_SAMPLES:
            seconds = min(seconds, OUTLIER_FACTOR * self.mean_s)
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._samples)
        error = seconds - self.mean_s
        self.mean_s += weight * error
        self._deviation_s += weight * (abs(error) - self._deviation_s)

    def expected_s(self) -> float:
        """Returns the seconds to allow for one exchange: the mean plus one deviation."""
        return self.mean_s + self._deviation_s


def _new_future() -> "asyncio.Future[Result[VirtualMachine, Refusal]]":
    return asyncio.get_running_loop().create_future()


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that needs a slot.

    Attributes:
        deadline: loop time at which the caller gives up.
        is_idempotent: whether the request may be used as a probe.
        tried_backends: backend servers at which the request has already failed.
        may_use_other_zones: whether backend servers of other zones may get the request.
        slot: resolves to the chosen backend server, or to the refusal.
    """

    deadline: float
    is_idempotent: bool
    tried_backends: frozenset[str] = frozenset()
    may_use_other_zones: bool = False
    slot: "asyncio.Future[Result[VirtualMachine, Refusal]]" = dataclasses.field(
        default_factory=_new_future
    )

    def resolve(self, result: Result[VirtualMachine, Refusal]) -> None:
        """Sets the result of `slot`, unless it is already set."""
        if not self.slot.done():
            self.slot.set_result(result)


class ServiceQueue:
    """Queue of one service's requests in order of arrival.

    `check` refuses a request at once if it would miss its deadline.
    """

    def __init__(self, priority: int = 0) -> None:
        self.priority = priority
        self.times = ServiceTimes()
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def head(self, count: int) -> tuple[Waiter, ...]:
        """Returns up to `count` requests from the head of the queue."""
        return tuple(itertools.islice(self._waiters, count))

    def wait_s(self, slots: int) -> float:
        """Returns the predicted wait of a new request if `slots` slots serve the queue."""
        if slots == 0:
            return float("inf")
        return (len(self._waiters) + 1) * self.times.mean_s / slots

    def check(self, deadline: float, slots: int, now: float) -> Result[None, Refusal]:
        """Checks whether a new request can be expected to finish before its deadline.

        Args:
            deadline: loop time at which the caller gives up.
            slots: slots that serve the queue.
            now: loop time.
        """
        if slots == 0:
            detail = "this gate holds no slot of the service's backend servers"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NO_SLOT, detail, RETRY_AFTER_S))
        wait_s = self.wait_s(slots)
        if now + wait_s * WAIT_SAFETY_FACTOR + self.times.expected_s() > deadline:
            return Err(_deadline_refusal(wait_s))
        return Ok(None)

    def can_meet_deadline(self, deadline: float, now: float) -> bool:
        """Whether a request that gets a slot now can be expected to meet its deadline."""
        return now + self.times.mean_s <= deadline

    def push(self, waiter: Waiter) -> None:
        """Adds a request: at the head if it is a retry, at the tail otherwise."""
        if waiter.tried_backends:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request if it is still queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def refuse_last(self) -> None:
        """Removes and refuses the request at the tail."""
        waiter = self._waiters.pop()
        waiter.resolve(Err(queue_full_refusal()))


class QueueBudget:
    """Limits the number of queued requests over all queues.

    At the limit, a request displaces one of a lower priority.
    """

    def __init__(self, limit: int = MAX_QUEUED_REQUESTS) -> None:
        self._limit = limit

    def make_room(self, queue: ServiceQueue, queues: list[ServiceQueue]) -> bool:
        """Makes room for one request, if necessary by refusing the last one of a lower priority.

        Args:
            queue: the queue that the request is to enter.
            queues: all queues that share the limit.

        Returns:
            Whether the request may be queued.
        """
        if sum(len(other) for other in queues) < self._limit:
            return True
        lowest = min((other for other in queues if len(other)), key=lambda other: other.priority)
        if lowest.priority >= queue.priority:
            return False
        lowest.refuse_last()
        return True


def queue_full_refusal() -> Refusal:
    """Returns the refusal of a request for which the queues have no room."""
    detail = "too many requests are queued at this gate"
    return Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL, detail, RETRY_AFTER_S)


def _deadline_refusal(wait_s: float) -> Refusal:
    detail = f"the request would be queued for about {wait_s:.2f} s and miss its deadline"
    return Refusal(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT, detail, max(RETRY_AFTER_S, wait_s))
