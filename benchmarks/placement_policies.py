"""The policies that are compared: baselines, `ShardPolicy`, and ablations of it."""

import dataclasses
from collections.abc import Callable

from pollengate.capacity import CapacityTracker
from pollengate.configuration import Configuration, Limits, Policy, Zone
from pollengate.failure_evidence import RetryDecision
from pollengate.interference.slowdowns import PRIOR_COEFFICIENT
from pollengate.placement import FirstFit, LeastLoaded, TrackedPlacement
from pollengate.reaction import Action, Evict, NoReaction, Observation, Reaction
from pollengate.shard_policy import ShardPolicy
from pollengate.task_outcomes import NullOutcomeListener, TaskEnd, TaskOutcomeListener
from pollengate.task_queue import FifoQueue, TaskQueue

__all__ = [
    "ABLATIONS",
    "BASELINES",
    "LEAGUE_POLICY",
    "REGISTRY_POLICY",
    "ZonePolicies",
    "build_zone_policies",
]

SERVICE_CLASSES = ("service-0", "service-1")
BASELINES = ("first-fit", "least-loaded", "reactive")
LEAGUE_POLICY = Policy(
    service_classes=SERVICE_CLASSES,
    max_service_slowdown=1.15,
    throttle_above=2.0,
    release_below=1.5,
)
REGISTRY_POLICY = Policy(
    service_classes=SERVICE_CLASSES,
    service_harm_weight=16.0,
    max_service_slowdown=1.2,
    throttle_above=1.4,
    release_below=1.15,
    evictions_per_minute=2.0,
)
REACTIVE_THRESHOLD = 1.4


class RetryOutcomes(NullOutcomeListener):
    """Runs a task up to five times on any worker; a baseline that keeps no failure evidence."""

    def __init__(self) -> None:
        self._failures_by_task: dict[str, int] = {}

    def on_ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Retries a task until its fifth failure."""
        if end is not TaskEnd.FAILED:
            return RetryDecision.RETRY
        failures = self._failures_by_task.get(task_id, 0) + 1
        self._failures_by_task[task_id] = failures
        return RetryDecision.RETRY if failures < 5 else RetryDecision.GIVE_UP


class EvictOnSlowdown(Reaction):
    """Evicts the largest batch task of a worker whose services report a slowdown."""

    def __init__(self, tracker: CapacityTracker) -> None:
        self._tracker = tracker
        self._due: dict[str, None] = {}

    def observe(self, observation: Observation) -> None:
        """Marks the worker for an eviction if its services' mean slowdown reaches the threshold.

        The threshold is that of `REGISTRY_POLICY.throttle_above`.
        """
        slowdowns = []
        for usage in observation.usage:
            request = self._tracker.request_of(usage.task_id)
            if request is not None and request.task_class in SERVICE_CLASSES:
                slowdowns.append(usage.slowdown)
        if slowdowns and sum(slowdowns) / len(slowdowns) >= REACTIVE_THRESHOLD:
            self._due[observation.worker_id] = None

    def decide(self, now: float) -> list[Action]:
        """Evicts one task from each marked worker."""
        actions: list[Action] = []
        for worker_id in self._due:
            load = self._tracker.loads_by_worker.get(worker_id)
            requests = [] if load is None else load.requests_by_task.values()
            batch = [r for r in requests if r.task_class not in SERVICE_CLASSES]
            if batch:
                largest = max(batch, key=lambda r: r.resources.cores)
                actions.append(Evict(worker_id, largest.task_id))
        self._due.clear()
        return actions

    def on_task_left(self, task_id: str) -> None:
        """Does nothing, as there is no state by task."""


@dataclasses.dataclass(slots=True)
class ZonePolicies:
    """The policy objects of one zone; `policy` is None for a baseline."""

    placement: TrackedPlacement
    queue: TaskQueue
    reaction: Reaction
    outcomes: TaskOutcomeListener
    policy: ShardPolicy | None = None


def build_zone_policies(
    name: str, zone: str, settings: Policy, seed: int, clock: Callable[[], float]
) -> ZonePolicies:
    """Builds a baseline, `ShardPolicy` (named `policy`), or an ablation of it (`no-...`)."""
    if name in BASELINES:
        placement = FirstFit() if name == "first-fit" else LeastLoaded()
        reaction = (
            EvictOnSlowdown(placement.capacity_tracker) if name == "reactive" else NoReaction()
        )
        return ZonePolicies(placement, FifoQueue(), reaction, RetryOutcomes())
    policy = ShardPolicy(zone, seed, clock)
    configure(policy, ("a", "b", "c"), settings, 1)
    policies = ZonePolicies(
        policy.placement, policy.queue, policy.reaction, policy.outcomes, policy
    )
    if name != "policy":
        ABLATIONS[name](policies)
    return policies


def configure(
    policy: ShardPolicy, zones_in_service: tuple[str, ...], settings: Policy, version: int
) -> None:
    """Applies a configuration in which only `zones_in_service` are in service."""
    names = ("a", "b", "c")
    zones = {name: Zone(in_service=name in zones_in_service) for name in names}
    policy.configure(Configuration(version, zones, {}, {}, Limits(), settings))


def _policy_of(policies: ZonePolicies) -> ShardPolicy:
    if policies.policy is None:
        raise AssertionError("an ablation needs a ShardPolicy")
    return policies.policy


def _no_model(policies: ZonePolicies) -> None:
    model = _policy_of(policies).model
    model.coefficient = lambda victim, aggressor, level: PRIOR_COEFFICIENT  # type: ignore[method-assign]


def _no_interference_cost(policies: ZonePolicies) -> None:
    placement = _policy_of(policies).placement
    placement.weights = dataclasses.replace(
        placement.weights, service_interference=0.0, batch_interference=0.0
    )


def _no_limit(policies: ZonePolicies) -> None:
    placement = _policy_of(policies).placement
    placement.weights = dataclasses.replace(placement.weights, max_service_slowdown=None)


def _no_reaction(policies: ZonePolicies) -> None:
    reaction = _policy_of(policies).interference_reaction
    reaction.decide = lambda now: []  # type: ignore[method-assign]


def _no_throttle(policies: ZonePolicies) -> None:
    reaction = _policy_of(policies).interference_reaction
    reaction.thresholds = dataclasses.replace(reaction.thresholds, throttle_shares=())


def _no_move(policies: ZonePolicies) -> None:
    reaction = _policy_of(policies).interference_reaction
    reaction.thresholds = dataclasses.replace(reaction.thresholds, may_evict=False)


def _no_hysteresis(policies: ZonePolicies) -> None:
    reaction = _policy_of(policies).interference_reaction
    limits = reaction.thresholds
    reaction.thresholds = dataclasses.replace(
        limits, agreeing_reports=1, low_slowdown=limits.high_slowdown - 0.01
    )


def _no_budget(policies: ZonePolicies) -> None:
    budget = _policy_of(policies).budget
    budget.limits = dataclasses.replace(
        budget.limits,
        task_interval_s=0.0,
        worker_interval_s=0.0,
        shard_evictions_per_minute=10_000.0,
    )


def _no_profiles(policies: ZonePolicies) -> None:
    profiles = _policy_of(policies).profiles
    profiles.cores_ratio = lambda task_class: 1.0  # type: ignore[method-assign]
    profiles.run_time_s = lambda r: r.duration_ms / 1000.0  # type: ignore[method-assign]


def _no_levels(policies: ZonePolicies) -> None:
    model = _policy_of(policies).model
    model.level_of = lambda load: 0  # type: ignore[method-assign]


def _no_evidence(policies: ZonePolicies) -> None:
    policies.outcomes = RetryOutcomes()


def _no_reservations(policies: ZonePolicies) -> None:
    reservations = _policy_of(policies).reservations
    reservations.reserve = lambda request, is_high_priority=False: False  # type: ignore[method-assign]


ABLATIONS: dict[str, Callable[[ZonePolicies], None]] = {
    "no-model": _no_model,
    "no-harm-cost": _no_interference_cost,
    "no-limit": _no_limit,
    "no-reaction": _no_reaction,
    "no-throttle": _no_throttle,
    "no-move": _no_move,
    "no-hysteresis": _no_hysteresis,
    "no-budget": _no_budget,
    "no-profiles": _no_profiles,
    "no-levels": _no_levels,
    "no-evidence": _no_evidence,
    "no-reservations": _no_reservations,
    "no-zone-choice": lambda policies: None,
}
