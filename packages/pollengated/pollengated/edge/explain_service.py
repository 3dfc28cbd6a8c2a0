"""Explains the jobs of the shards that this process owns."""

import math
import re

from pollengate.explain.explainer import JobExplanation
from pollengate.explain.service import (
    AmbiguousQueue,
    ExplainFailure,
    ExplainService,
    Explanation,
    NoConfiguration,
    NotOwnerHere,
    Refusal,
    UnknownAccount,
    UnknownJob,
    UnknownQueue,
)
from pollengate.workflow.job_placement import StoredPlacement
from pollengate.workflow.keys import shard_of_job
from pollengate.workflow.model import Deployment, Queue, Workflow
from result import Err, Ok, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.shard_term import ShardTerm

__all__ = ["EdgeExplainService"]

_JOB_ID = re.compile(r"[0-9a-f]{16}")


class EdgeExplainService(ExplainService):
    """Explains jobs from the state of an owner; makes no call and changes nothing.

    Args:
        node: name of this process's VM.
        owned_shards: shards that this process owns.
        operator_view: the configuration.
        directory: the owners of the other shards.
        clocks: the process's clocks.

    Attributes:
        shards: number of shards of the deployment; None until it is known.
    """

    def __init__(
        self,
        node: str,
        owned_shards: OwnedShards,
        operator_view: OperatorView,
        directory: NodeDirectory,
        clocks: Clocks,
    ) -> None:
        self.shards: int | None = None
        self._node = node
        self._owned_shards = owned_shards
        self._operator_view = operator_view
        self._directory = directory
        self._clocks = clocks

    def explain_job(self, job_id: str) -> Result[Explanation, ExplainFailure]:
        """Explains a job by its id."""
        if self.shards is None or self._operator_view.deployment is None:
            return Err(NoConfiguration())
        if not _JOB_ID.fullmatch(job_id):
            return Err(UnknownJob())
        now = self._clocks.monotonic_s()
        for shard in self._owned_shards.served_shards():
            term = self._owned_shards.serving_term(shard)
            explained = None if term is None else term.explainer.explain_job(job_id, now)
            if term is not None and explained is not None:
                return Ok(self._complete(term, explained, None))
        home_shard = shard_of_job(job_id, self.shards)
        home_term = self._owned_shards.serving_term(home_shard)
        if home_term is None:
            return Err(self._not_owner(home_shard))
        match home_term.request_handler.placer.find(job_id):
            case StoredPlacement(shard):
                return Err(self._not_owner(shard))
            case _:
                return Err(UnknownJob())

    def explain_workflow(
        self, path: str, workflow: Workflow, host: str, account: str
    ) -> Result[Explanation, ExplainFailure]:
        """Explains a workflow that was never submitted."""
        deployment = self._operator_view.deployment
        if self.shards is None or deployment is None:
            return Err(NoConfiguration())
        found = _find_queue(deployment, path, host)
        if isinstance(found, Err):
            return found
        queue, job_id = found.ok_value
        if account and account not in (deployment.accounts_by_name or {}):
            return Err(UnknownAccount())
        if job_id:
            shard = shard_of_job(job_id, self.shards)
        else:
            shard = min(self._owned_shards.served_shards(), default=0)
        term = self._owned_shards.serving_term(shard)
        if term is None:
            return Err(self._not_owner(shard))
        now, now_ms = self._clocks.monotonic_s(), self._clocks.unix_ms()
        explained = term.explainer.explain_workflow(workflow, queue, account, now, now_ms)
        refused = term.request_handler.current_refusal()
        refusal = Refusal(refused.reason, refused.retry_after_s) if refused else None
        return Ok(self._complete(term, explained, refusal))

    def _not_owner(self, shard: int) -> NotOwnerHere:
        owner = self._directory.owner(shard)
        return NotOwnerHere(shard, None if owner is None else owner.record.node)

    def _complete(
        self, term: ShardTerm, explained: JobExplanation, refusal: Refusal | None
    ) -> Explanation:
        deployment = self._operator_view.deployment
        age_s = self._operator_view.cache.age_s()
        return Explanation(
            shard=term.shard,
            shards=self.shards or 0,
            owner=self._node,
            is_owner=True,
            configuration_version=deployment.version if deployment else 0,
            configuration_age_s=round(age_s, 3) if math.isfinite(age_s) else None,
            refusal=refusal,
            job=explained,
            workers=term.explainer.worker_ages(self._clocks.monotonic_s()),
        )


def _find_queue(
    deployment: Deployment, path: str, host: str
) -> Result[tuple[Queue, str], ExplainFailure]:
    """Returns the queue of a path and the job id that follows its prefix, empty if there is none.

    Clients' requests name the host in their header; that of this request is the metrics address.
    """
    fitting = [
        (queue, job_id)
        for queue in deployment.queues
        if (not host or queue.host == host)
        and (job_id := _job_id_below(queue.prefix, path)) is not None
    ]
    longest = max((len(queue.prefix) for queue, _ in fitting), default=0)
    fitting = [(queue, job_id) for queue, job_id in fitting if len(queue.prefix) == longest]
    if not fitting:
        return Err(UnknownQueue())
    if len(fitting) > 1:
        return Err(AmbiguousQueue(tuple(sorted(queue.host for queue, _ in fitting))))
    return Ok(fitting[0])


def _job_id_below(prefix: str, path: str) -> str | None:
    """Returns the job id that follows a prefix, empty for none; None if the path is another."""
    if path in (prefix, prefix.removesuffix("/")):
        return ""
    job_id = path.removeprefix(prefix)
    return job_id if job_id != path and _JOB_ID.fullmatch(job_id) else None
