"""Reaction to measured interference: throttles the most likely cause, then evicts it."""

import dataclasses
import random
from collections.abc import Collection

from pollengate.bounded import BoundedDict
from pollengate.capacity import CapacityTracker, WorkerLoad
from pollengate.class_profiles import ClassProfiles
from pollengate.eviction_budget import EvictionBudget
from pollengate.interference.slowdowns import InterferenceModel
from pollengate.placement_request import PlacementRequest
from pollengate.reaction import Action, Evict, Observation, Reaction, Throttle

__all__ = ["InterferenceReaction", "ReactionThresholds"]

FULL_SHARE = 1.0
MAX_WORKERS = 8192
# Limits the cost of updating the model with one report.
BATCH_CLASSES_PER_REPORT = 2
MAX_ACTIONS = 8
# Fraction of a task's contribution to the slowdown that one action is expected to remove.
RELIEF_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReactionThresholds:
    """When to throttle or evict a task and when to relax a throttle.

    Attributes:
        high_slowdown: mean slowdown of a service class on a worker at or above which to act.
        low_slowdown: mean slowdown at or below which a throttle is relaxed by one stage.
        agreeing_reports: number of consecutive reports beyond the same threshold before an action.
        throttle_shares: share of its processors that a throttled task keeps, by stage.
        may_evict: whether a task that still interferes at the last throttle stage may be evicted.
    """

    high_slowdown: float = 1.4
    low_slowdown: float = 1.15
    agreeing_reports: int = 2
    throttle_shares: tuple[float, ...] = (0.5, 0.25)
    may_evict: bool = True


@dataclasses.dataclass(slots=True)
class _WorkerEvidence:
    """Consecutive agreeing reports about one worker since the last action on it."""

    measured_at: float = -1.0
    acted_at: float = -1.0
    high_reports: int = 0
    low_reports: int = 0
    is_due: bool = False
    slowdown_by_service: dict[str, float] = dataclasses.field(default_factory=dict)
    in_step: frozenset[str] = frozenset()


class InterferenceReaction(Reaction):
    """Throttles and evicts batch tasks on workers where they slow down services.

    Every report updates the model, but only those measured after the last action on a worker can
    cause another one there, since older measurements don't show the effect of that action.
    """

    def __init__(
        self,
        capacity_tracker: CapacityTracker,
        model: InterferenceModel,
        profiles: ClassProfiles,
        budget: EvictionBudget,
        generator: random.Random,
        thresholds: ReactionThresholds | None = None,
    ) -> None:
        self.thresholds = thresholds or ReactionThresholds()
        self._capacity_tracker = capacity_tracker
        self._model = model
        self._profiles = profiles
        self._budget = budget
        self._generator = generator
        self._evidence_by_worker: BoundedDict[str, _WorkerEvidence] = BoundedDict(MAX_WORKERS)
        self._due: dict[str, None] = {}
        self._stage_by_task: dict[str, int] = {}

    def observe(self, observation: Observation) -> None:
        """Updates the model and the worker's evidence from a report.

        A report that is older than the last one or than the last action updates only the model.
        """
        load = self._capacity_tracker.loads_by_worker.get(observation.worker_id)
        if load is None or load.capacity.cores <= 0:
            self._evidence_by_worker.pop(observation.worker_id)
            return
        slowdown_by_service = self._update_model(observation, load)
        evidence = self._evidence_by_worker.get(observation.worker_id) or _WorkerEvidence()
        self._evidence_by_worker.put(observation.worker_id, evidence)
        if observation.measured_at <= max(evidence.measured_at, evidence.acted_at):
            return
        evidence.measured_at = observation.measured_at
        evidence.in_step = frozenset(u.task_id for u in observation.usage if u.in_step)
        self._count_reports(evidence, slowdown_by_service)
        if evidence.is_due:
            self._due[observation.worker_id] = None

    def decide(self, now: float) -> list[Action]:
        """Returns the actions for each worker with enough agreeing reports."""
        actions: list[Action] = []
        due = list(self._due)
        self._due.clear()
        for worker_id in due:
            evidence = self._evidence_by_worker.get(worker_id)
            load = self._capacity_tracker.loads_by_worker.get(worker_id)
            if evidence is None or load is None:
                continue
            chosen = self._choose_actions(load, evidence, now)
            evidence.is_due = False
            if chosen:
                evidence.acted_at = now
                evidence.high_reports = evidence.low_reports = 0
                actions += chosen
        return actions

    def on_task_left(self, task_id: str) -> None:
        """Drops the throttle stage of a task."""
        self._stage_by_task.pop(task_id, None)

    def _update_model(self, observation: Observation, load: WorkerLoad) -> dict[str, float]:
        """Updates the model and returns the mean slowdown of each service class."""
        cores_by_class: dict[str, float] = {}
        slowdowns_by_class: dict[str, list[float]] = {}
        task_cores_by_class: dict[str, float] = {}
        for usage in observation.usage:
            request = self._capacity_tracker.request_of(usage.task_id)
            if request is None:
                continue
            task_class = request.task_class
            cores_by_class[task_class] = cores_by_class.get(task_class, 0.0) + usage.cores
            if usage.task_id not in self._stage_by_task:
                self._profiles.observe_cores(request, usage.cores)
            if usage.slowdown > 0:
                slowdowns_by_class.setdefault(task_class, []).append(usage.slowdown)
                task_cores_by_class[task_class] = usage.cores
        capacity = load.capacity.cores
        used = sum(cores_by_class.values()) / capacity
        shares = {c: cores / capacity for c, cores in cores_by_class.items()}
        slowdown_by_service = {}
        sampled_classes = self._sample_batch_classes(slowdowns_by_class)
        for task_class, slowdowns in slowdowns_by_class.items():
            mean = sum(slowdowns) / len(slowdowns)
            if task_class in self._capacity_tracker.service_classes:
                slowdown_by_service[task_class] = mean
            elif task_class not in sampled_classes:
                continue
            others = dict(shares)
            others[task_class] -= task_cores_by_class[task_class] / capacity
            self._model.observe(task_class, others, used, mean)
        return slowdown_by_service

    def _sample_batch_classes(self, classes: Collection[str]) -> frozenset[str]:
        """Returns a random sample of a report's batch classes, from which the model learns."""
        batch = [c for c in classes if c not in self._capacity_tracker.service_classes]
        count = min(BATCH_CLASSES_PER_REPORT, len(batch))
        return frozenset(self._generator.sample(batch, count))

    def _count_reports(
        self, evidence: _WorkerEvidence, slowdown_by_service: dict[str, float]
    ) -> None:
        highest = max(slowdown_by_service.values(), default=1.0)
        limits = self.thresholds
        evidence.slowdown_by_service = slowdown_by_service
        evidence.high_reports = evidence.high_reports + 1 if highest >= limits.high_slowdown else 0
        evidence.low_reports = evidence.low_reports + 1 if highest <= limits.low_slowdown else 0
        evidence.is_due = (
            max(evidence.high_reports, evidence.low_reports) >= limits.agreeing_reports
        )

    def _choose_actions(
        self, load: WorkerLoad, evidence: _WorkerEvidence, now: float
    ) -> list[Action]:
        """Returns the actions expected to bring the highest slowdown between the thresholds.

        If the slowdown is low already, relaxes one throttle instead.
        """
        limits = self.thresholds
        if evidence.low_reports >= limits.agreeing_reports:
            return self._relax_throttle(load)
        excess = (
            max(evidence.slowdown_by_service.values())
            - (limits.high_slowdown + limits.low_slowdown) / 2.0
        )
        suspects = sorted(
            (
                (self._contribution(request, load, evidence), task_id)
                for task_id, request in load.requests_by_task.items()
                if not self._capacity_tracker.is_service(task_id)
            ),
            reverse=True,
        )
        actions: list[Action] = []
        for contribution, task_id in suspects:
            if contribution <= 0.0 or excess <= 0.0 or len(actions) >= MAX_ACTIONS:
                break
            action = self._escalate(task_id, load.worker_id, evidence, now)
            if action is not None:
                actions.append(action)
                excess -= contribution * RELIEF_RATIO
        return actions

    def _escalate(
        self, task_id: str, worker_id: str, evidence: _WorkerEvidence, now: float
    ) -> Action | None:
        """Returns the next action on a task: a tighter throttle or, after the last, an eviction."""
        stage = self._stage_by_task.get(task_id, 0)
        if stage < len(self.thresholds.throttle_shares):
            self._stage_by_task[task_id] = stage + 1
            return Throttle(worker_id, task_id, self.thresholds.throttle_shares[stage])
        if not self.thresholds.may_evict or task_id in evidence.in_step:
            return None
        if not self._budget.allows_task(task_id, now):
            return None
        if not self._budget.allows_worker(worker_id, now):
            return None
        self._budget.spend(task_id, worker_id, now)
        return Evict(worker_id, task_id)

    def _relax_throttle(self, load: WorkerLoad) -> list[Action]:
        """Relaxes the tightest throttle on a worker by one stage."""
        stages = [(self._stage_by_task.get(t, 0), t) for t in load.requests_by_task]
        stage, task_id = max(stages, default=(0, ""))
        if stage == 0:
            return []
        if stage == 1:
            del self._stage_by_task[task_id]
            return [Throttle(load.worker_id, task_id, FULL_SHARE)]
        self._stage_by_task[task_id] = stage - 1
        return [Throttle(load.worker_id, task_id, self.thresholds.throttle_shares[stage - 2])]

    def _contribution(
        self, request: PlacementRequest, load: WorkerLoad, evidence: _WorkerEvidence
    ) -> float:
        """Returns the slowdown that a task is expected to cause to the slowest service class."""
        stage = self._stage_by_task.get(request.task_id, 0)
        limit = self.thresholds.throttle_shares[stage - 1] if stage else FULL_SHARE
        cores = request.resources.cores * self._profiles.cores_ratio(request.task_class) * limit
        # The worker may have registered again, without processors, since its report.
        capacity = max(load.capacity.cores, 1)
        level = self._model.level_of(1.0 - load.free.cores / capacity)
        victim = max(
            evidence.slowdown_by_service, key=lambda name: evidence.slowdown_by_service[name]
        )
        return self._model.coefficient(victim, request.task_class, level) * cores / capacity
