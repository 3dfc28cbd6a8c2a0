"""The placement, queue and reactions of one shard, and their configuration."""

import random
from collections.abc import Callable

from pollengate.capacity import CapacityTracker
from pollengate.class_profiles import ClassProfiles
from pollengate.configuration import Configuration
from pollengate.drain import Drain
from pollengate.eviction_budget import EvictionBudget, EvictionLimits
from pollengate.failure_evidence import FailureEvidence
from pollengate.fair_queue import FairQueue
from pollengate.interference.reaction_stages import InterferenceReaction, ReactionThresholds
from pollengate.interference.sampled_placement import InterferencePlacement, PlacementWeights
from pollengate.interference.slowdowns import InterferenceModel
from pollengate.placement import Placement
from pollengate.policy_builders import ShardPolicyBuilders
from pollengate.preemption import Preemption
from pollengate.reaction import ReactionChain
from pollengate.reservations import Reservations
from pollengate.task_outcomes import LearningOutcomeListener
from pollengate.unschedulable import UnschedulableTasks

__all__ = ["ShardPolicy", "shard_policy_builders"]


class ShardPolicy:
    """The scheduling policy of one shard.

    What it learns is kept in memory only; a new policy learns it again.

    Attributes:
        placement: chooses the worker that a task starts on.
        queue: chooses the task that is offered next.
        reaction: throttles and evicts tasks because of a drain, of urgent tasks without room or
            of measured interference.
        outcomes: learns from the outcomes of tasks.
    """

    def __init__(self, zone: str, seed: int, clock: Callable[[], float]) -> None:
        self._zone = zone
        self._clock = clock
        generator = random.Random(seed)
        self.capacity_tracker = CapacityTracker()
        self.profiles = ClassProfiles()
        self.model = InterferenceModel()
        self.failures = FailureEvidence(clock)
        self.budget = EvictionBudget()
        self.reservations = Reservations(self.capacity_tracker, self.failures, generator)
        self.placement = InterferencePlacement(
            self.capacity_tracker,
            self.reservations,
            self.model,
            self.profiles,
            self.failures,
            generator,
        )
        unschedulable = UnschedulableTasks(self.capacity_tracker, self.failures)
        self.queue = FairQueue(
            self.capacity_tracker, self.profiles, self.reservations, unschedulable, clock
        )
        self.interference_reaction = InterferenceReaction(
            self.capacity_tracker, self.model, self.profiles, self.budget, generator
        )
        preemption = Preemption(self.capacity_tracker, self.reservations, self.budget)
        self.outcomes = LearningOutcomeListener(
            self.capacity_tracker, self.profiles, self.failures, clock
        )
        self.drain = Drain(self.capacity_tracker, self.outcomes.remaining_s)
        self.reaction = ReactionChain((self.drain, preemption, self.interference_reaction))
        self._version: int | None = None

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration; does nothing if its version is the one applied last."""
        if configuration.version == self._version:
            return
        self._version = configuration.version
        self._configure_drain(configuration)
        policy = configuration.policy
        self.capacity_tracker.service_classes = frozenset(policy.service_classes)
        shards = sum(z.shards for z in configuration.zones_by_name.values() if z.in_service)
        self.queue.configure(configuration.quotas_by_team, shards)
        self.placement.weights = PlacementWeights(
            service_interference=policy.service_harm_weight,
            batch_interference=policy.batch_harm_weight,
            load=policy.load_weight,
            max_service_slowdown=policy.max_service_slowdown,
        )
        self.interference_reaction.thresholds = ReactionThresholds(
            high_slowdown=policy.throttle_above,
            low_slowdown=policy.release_below,
            may_evict=policy.evict_on_harm,
        )
        self.budget.limits = EvictionLimits(
            policy.eviction_interval_s,
            policy.worker_eviction_interval_s,
            policy.evictions_per_minute,
        )

    def _configure_drain(self, configuration: Configuration) -> None:
        zone = configuration.zones_by_name.get(self._zone)
        if zone is not None and not zone.in_service:
            self.drain.begin(self._clock(), zone.drain_grace_s)
        else:
            self.drain.end()


class _PolicyHolder:
    """Holds the policy of the current ownership term."""

    def __init__(self, zone: str, seed: int, clock: Callable[[], float]) -> None:
        self._zone = zone
        self._seed = seed
        self._clock = clock
        self.policy = ShardPolicy(zone, seed, clock)

    def build_placement(self) -> Placement:
        """Builds a new policy and returns its placement."""
        self.policy = ShardPolicy(self._zone, self._seed, self._clock)
        return self.policy.placement

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration to the current policy."""
        self.policy.configure(configuration)


def shard_policy_builders(zone: str, seed: int, clock: Callable[[], float]) -> ShardPolicyBuilders:
    """Returns builders of a `ShardPolicy` for one shard.

    Args:
        zone: the shard's availability zone.
        seed: seed of the random choices; each policy that is built starts from it.
        clock: returns the time in seconds.
    """
    holder = _PolicyHolder(zone, seed, clock)
    return ShardPolicyBuilders(
        build_placement=holder.build_placement,
        build_queue=lambda: holder.policy.queue,
        build_reaction=lambda: holder.policy.reaction,
        build_outcome_listener=lambda: holder.policy.outcomes,
        configure=holder.configure,
    )
