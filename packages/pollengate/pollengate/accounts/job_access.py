"""Decides which jobs a client's request may show or cancel."""

import dataclasses

from pollengate.workflow.model import Deployment

__all__ = ["Requester"]


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """Who requests an existing job.

    Attributes:
        queue_name: the queue whose route the request used.
        account: name of the client account of the request's key, empty for none.
    """

    queue_name: str
    account: str

    def is_restricted(self, deployment: Deployment) -> bool:
        """Returns whether there may be jobs to which it has no access.

        A configuration without queues stands for one that has not been read yet, so that it is
        unknown whether the deployment has client accounts.
        """
        has_accounts = deployment.accounts_by_name is not None
        return bool(self.account) or has_accounts or not deployment.queues

    def may_access(self, queue_name: str, account: str, deployment: Deployment) -> bool:
        """Returns whether a job may be shown and cancelled; if not, it is answered as unknown.

        A job without an account belongs to no client, so that anyone who reaches its route has
        access.

        Args:
            queue_name: the job's queue.
            account: name of the job's account, empty for none.
            deployment: the configuration.
        """
        if not self.is_restricted(deployment):
            return True
        return account == self.account if account else queue_name == self.queue_name
