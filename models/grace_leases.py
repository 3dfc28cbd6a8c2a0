"""Model of a worker's lease across a takeover, if an owner goes on for a time without the store.

The owner of a shard on the users' platform gives orders in a grace period after its store lease,
and while its release of the shard may have taken effect. A successor may start a task that may run
on a silent worker once it has waited for one worker lease. An order carries the end of the lease on
the worker's clock, so that one that arrives late gives no more of it.

All clocks tick together, but the owner's and the worker's may each skip one tick. Replies and
orders arrive late or not at all, and a frozen process is one that takes no step.
"""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["GraceRules", "build_grace_leases"]

OWNER_LEASE_TICKS = 2
GRACE_TICKS = 2
WORKER_LEASE_TICKS = 2
# One tick for the owner's clock and one for the worker's.
MARGIN_TICKS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class GraceRules:
    """The rules of the protocol, of which a variant weakens one.

    Attributes:
        caps_in_grace: whether orders extend a lease at most to the end of the owner's confirmed
            lease and a worker's lease more.
        caps_in_release: whether orders extend a lease at most to a worker's lease after the first
            order that releases the shard.
        margin: ticks by which a successor waits longer than a worker's lease.
    """

    caps_in_grace: bool = True
    caps_in_release: bool = True
    margin: int = MARGIN_TICKS


class GraceState(NamedTuple):
    """A state of the model; ages and remaining times are in ticks.

    Attributes:
        store_ticks: until the store's lease ends; the owner key goes with it.
        is_key_held: whether the owner key exists.
        silent: age of the newest confirmed renewal, by the owner's clock.
        renewal_age: age of the pending renewal, -1 if none is pending.
        release_age: age of the first order that releases the shard, -1 before it.
        is_release_pending: whether an order to release the shard may still take effect.
        is_lost: whether the owner knows that it is none any more.
        order_ticks: until the lease in an order in transit ends, 0 if there is none.
        lease_ticks: until the worker's lease ends.
        is_fenced: whether the successor has reached the worker.
        wait_ticks: until the successor may start the task, -1 before the takeover.
        may_owner_skip: whether the owner's clock may still skip a tick.
        may_worker_skip: whether the worker's clock may still skip one.
    """

    store_ticks: int = OWNER_LEASE_TICKS
    is_key_held: bool = True
    silent: int = 0
    renewal_age: int = -1
    release_age: int = -1
    is_release_pending: bool = False
    is_lost: bool = False
    order_ticks: int = 0
    lease_ticks: int = 0
    is_fenced: bool = False
    wait_ticks: int = -1
    may_owner_skip: bool = True
    may_worker_skip: bool = True


GraceStep = tuple[str, GraceState]


def build_grace_leases(rules: GraceRules) -> Protocol:
    """Returns the model with the given rules."""
    return Protocol(
        name="grace",
        candidate=False,
        fields=GraceState._fields,
        initial=GraceState(),
        transitions=lambda state: list(_steps(rules, GraceState(*state))),
        invariants={"no_second_run": _is_single},
    )


def _is_single(state: dict[str, object]) -> bool:
    # A worker that the successor has reached has reported what it runs.
    return state["wait_ticks"] != 0 or state["lease_ticks"] == 0 or bool(state["is_fenced"])


def _steps(rules: GraceRules, state: GraceState) -> Iterator[GraceStep]:
    yield "tick", _tick(state)
    if state.may_owner_skip:
        yield "tick skipped by the owner", _tick(state, is_owner_slow=True)
    if state.may_worker_skip and (state.lease_ticks or state.order_ticks):
        yield "tick skipped by the worker", _tick(state, is_worker_slow=True)
    if not state.is_lost:
        yield from _owner_steps(rules, state)
    if state.is_release_pending and state.is_key_held:
        yield "the release takes effect", state._replace(is_key_held=False)
    if state.order_ticks:
        lease_ticks = max(state.lease_ticks, state.order_ticks)
        done = state._replace(order_ticks=0)
        yield (
            "the worker gets the order",
            done if state.is_fenced else done._replace(lease_ticks=lease_ticks),
        )
    if state.wait_ticks < 0 and not state.is_key_held:
        wait_ticks = WORKER_LEASE_TICKS + rules.margin
        yield "the successor takes over", state._replace(wait_ticks=wait_ticks)
    if state.wait_ticks > 0 and not state.is_fenced:
        # What the worker runs is known then, and goes on under the successor's leases.
        yield "the successor reaches the worker", state._replace(is_fenced=True)


def _owner_steps(rules: GraceRules, state: GraceState) -> Iterator[GraceStep]:
    if state.renewal_age < 0 and state.store_ticks:
        renewed = state._replace(store_ticks=OWNER_LEASE_TICKS, renewal_age=0)
        yield "the owner requests a renewal", renewed
    if state.renewal_age >= 0:
        silent = min(state.silent, state.renewal_age)
        yield "the owner receives the renewal", state._replace(silent=silent, renewal_age=-1)
        yield "the owner receives no reply", state._replace(renewal_age=-1)
    if state.release_age < 0 and state.is_key_held:
        releasing = state._replace(release_age=0, is_release_pending=True)
        yield "the owner releases the shard", releasing
    if state.release_age >= 0 and not state.is_key_held:
        yield "the owner learns of its release", state._replace(is_lost=True)
    if state.silent < OWNER_LEASE_TICKS + GRACE_TICKS and not state.order_ticks:
        granted = WORKER_LEASE_TICKS
        if rules.caps_in_grace:
            granted = min(granted, OWNER_LEASE_TICKS + WORKER_LEASE_TICKS - state.silent)
        if rules.caps_in_release and state.release_age >= 0:
            granted = min(granted, WORKER_LEASE_TICKS - state.release_age)
        if granted > 0:
            yield "the owner sends an order", state._replace(order_ticks=granted)


def _tick(
    state: GraceState, is_owner_slow: bool = False, is_worker_slow: bool = False
) -> GraceState:
    store_ticks = max(0, state.store_ticks - 1)
    if not is_worker_slow:
        state = state._replace(
            lease_ticks=max(0, state.lease_ticks - 1), order_ticks=max(0, state.order_ticks - 1)
        )
    if not is_owner_slow:
        last = OWNER_LEASE_TICKS + GRACE_TICKS
        state = state._replace(
            silent=min(state.silent + 1, last),
            renewal_age=_aged(state.renewal_age, last),
            release_age=_aged(state.release_age, last),
        )
    return state._replace(
        store_ticks=store_ticks,
        is_key_held=state.is_key_held and store_ticks > 0,
        wait_ticks=max(0, state.wait_ticks - 1) if state.wait_ticks >= 0 else -1,
        may_owner_skip=state.may_owner_skip and not is_owner_slow,
        may_worker_skip=state.may_worker_skip and not is_worker_slow,
    )


def _aged(age: int, last: int) -> int:
    return min(age + 1, last) if age >= 0 else -1
