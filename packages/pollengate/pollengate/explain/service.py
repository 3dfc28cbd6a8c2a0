"""Interface of the service that answers operators' requests for explanations."""

import abc
import dataclasses

from result import Result

from pollengate.explain.explainer import JobExplanation, WorkerAge
from pollengate.workflow.model import Workflow

__all__ = [
    "AmbiguousQueue",
    "ExplainFailure",
    "ExplainService",
    "Explanation",
    "NoConfiguration",
    "NotOwnerHere",
    "Refusal",
    "UnknownAccount",
    "UnknownJob",
    "UnknownQueue",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal that a submission would get now, and its `Retry-After` in seconds."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """An explanation, with the age of all that it rests on.

    Attributes:
        shard: number of the job's shard.
        shards: number of shards of the deployment.
        owner: node name of the shard's owner.
        is_owner: whether the process that answers owns the shard.
        configuration_version: number of the configuration in force.
        configuration_age_s: seconds since the configuration was known to be the newest, None if the
            process only has a copy of another process.
        refusal: the refusal that a submission would get now, None if it would be accepted; always
            None for a job that was accepted.
        job: the job and its steps.
        workers: the shard's workers with the ages of their reports.
    """

    shard: int
    shards: int
    owner: str
    is_owner: bool
    configuration_version: int
    configuration_age_s: float | None
    refusal: Refusal | None
    job: JobExplanation
    workers: list[WorkerAge]


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwnerHere:
    """The process does not own the job's shard; `owner` is None if the shard has no owner."""

    shard: int
    owner: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoConfiguration:
    """The process has no configuration or does not know the number of shards yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """The owner of the shard knows no job with the id."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownQueue:
    """No queue has the prefix."""


@dataclasses.dataclass(frozen=True, slots=True)
class AmbiguousQueue:
    """Queues of several hosts have the prefix."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownAccount:
    """The configuration has no client account of the name."""


ExplainFailure = (
    NotOwnerHere | NoConfiguration | UnknownJob | UnknownQueue | AmbiguousQueue | UnknownAccount
)


class ExplainService(abc.ABC):
    """Explains jobs of the shards that a process owns."""

    @abc.abstractmethod
    def explain_job(self, job_id: str) -> Result[Explanation, ExplainFailure]:
        """Explains a job by its id."""

    @abc.abstractmethod
    def explain_workflow(
        self, path: str, workflow: Workflow, host: str, account: str
    ) -> Result[Explanation, ExplainFailure]:
        """Explains a workflow that was never submitted.

        Args:
            path: prefix of a queue, optionally followed by the job id that decides the shard.
                Without an id it is a shard that the process owns, or shard 0.
            workflow: the workflow.
            host: host of the queue; empty if the prefix is enough to find it.
            account: name of the client account of the job, empty for none.
        """
