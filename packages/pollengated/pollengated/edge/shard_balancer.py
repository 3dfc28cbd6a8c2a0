"""Publishes the load of a shard, and plans the transfers of workers that balance all shards."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec
from pollengate.store import Operation, Put
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.keys import shard_load_key
from pollengate.workflow.shard_balance import (
    BalancePlan,
    PlannedTransfer,
    ServiceLoad,
    ShardLoad,
    measure_load,
    plan_balance,
)

from pollengated.edge.committer import Committer, Record
from pollengated.edge.worker_assignments import WorkerAssignments

__all__ = ["ShardBalancer"]

UPDATE_INTERVAL_S = 0.5
# An unchanged load is published this often, so that the others know that the shard has an owner.
PUBLISH_INTERVAL_S = 3.0
# A load of this age is that of a shard without an owner, which neither gives nor receives workers.
LOAD_VALID_S = 7.0
# Share of a shard's capacity by which its room has to change to be published at once.
PUBLISHED_CHANGE_SHARE = 1 / 64


class ShardBalancer:
    """Plans the transfers of one shard during an ownership term.

    Args:
        shard: number of the shard.
        assignments: the loads and assignments that all owners share.
        job_table: the shard's jobs, runs and workers.
        committer: writes the shard's load.
        capacity_of: returns the millicores of a registered worker, 0 for an unknown one.
    """

    def __init__(
        self,
        shard: int,
        assignments: WorkerAssignments,
        job_table: JobTable,
        committer: Committer,
        capacity_of: Callable[[str], int],
    ) -> None:
        self._shard = shard
        self._assignments = assignments
        self._job_table = job_table
        self._committer = committer
        self._capacity_of = capacity_of
        self._updated_at = float("-inf")
        self._published_at = float("-inf")
        self._published: ShardLoad | None = None
        self._plan_by_service: dict[str, BalancePlan] = {}

    def update(self, releasing: Iterable[tuple[WorkerView, int]], now: float) -> bool:
        """Publishes the load and plans anew if it is time; returns whether it did.

        Args:
            releasing: the workers that are about to be assigned elsewhere, and to which shard.
            now: clock time.
        """
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return False
        self._updated_at = now
        own = measure_load(self._shard, self._job_table, releasing)
        if self._is_news(own, now):
            self._published, self._published_at = own, now
            self._committer.add(_LoadRecord(own))
        self._plan_by_service = {
            service: plan_balance(self._loads_of(service, own, now)) for service in own.by_service
        }
        return True

    def due_transfers(self) -> list[tuple[str, PlannedTransfer]]:
        """Returns the transfers that the shard is to begin, with their service."""
        return [
            (service, transfer)
            for service, plan in self._plan_by_service.items()
            for transfer in plan.transfers
            if transfer.from_shard == self._shard
        ]

    def can_spare(self, view: WorkerView) -> bool:
        """Returns True if the shard has more room than the mean without a worker being released.

        Half of the worker is tolerated: to keep it would leave the shard further from the mean.
        """
        plan = self._plan_by_service[view.info.service]
        room_millis = plan.room_by_shard[self._shard]
        return room_millis >= plan.mean_millis - view.info.capacity.cpu_millis / 2

    def may_meet_requests(self, view: WorkerView) -> bool:
        """Returns True if the shard keeps half of the mean room without a worker."""
        plan = self._plan_by_service.get(view.info.service)
        if plan is None:
            return True  # nothing is known of the other shards yet
        room_millis = plan.room_by_shard[self._shard] - view.info.capacity.cpu_millis
        return room_millis >= plan.mean_millis / 2

    def _loads_of(self, service: str, own: ShardLoad, now: float) -> dict[int, ServiceLoad]:
        """Returns the load of each shard that has an owner; workers under way count as received."""
        load_by_shard = {self._shard: own.by_service[service]}
        for shard, published in self._assignments.loads_by_shard.items():
            load = published.load.by_service.get(service)
            if load is None or now - published.received_at > LOAD_VALID_S:
                continue
            under_way = self._assignments.workers_received(shard, published.revision)
            capacity_millis = load.capacity_millis + sum(map(self._capacity_of, under_way))
            load_by_shard[shard] = dataclasses.replace(load, capacity_millis=capacity_millis)
        return load_by_shard

    def _is_news(self, own: ShardLoad, now: float) -> bool:
        known = self._published
        if known is None or now - self._published_at >= PUBLISH_INTERVAL_S:
            return True
        if known.by_service.keys() != own.by_service.keys():
            return True
        return any(
            load.releasing_millis != known.by_service[service].releasing_millis
            or abs(load.room_millis - known.by_service[service].room_millis)
            > PUBLISHED_CHANGE_SHARE * load.capacity_millis
            for service, load in own.by_service.items()
        )


class _LoadRecord(Record):
    """Stores the load of a shard."""

    def __init__(self, load: ShardLoad) -> None:
        self.key = shard_load_key(load.shard)
        self._load = load

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._load))
