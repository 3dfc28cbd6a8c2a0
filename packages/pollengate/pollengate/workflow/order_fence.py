"""Fencing tokens of the orders to one worker, which rise with its incarnations.

An order names a worker, but not the incarnation that it is meant for, and may be carried out
seconds after it was sent. A worker that has started again knows no token. So the owner raises its
token for a worker that may have started again: once the next incarnation has replied to an order
with the new token, it rejects all that were meant for the one before.

The new token is the revision of a commit of the shard. It is higher than the token of this owner,
and lower than that of any later one.
"""

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.shard_lease import ShardLease

__all__ = ["OrderFence"]


class OrderFence:
    """Chooses the token of the next order to a worker.

    Args:
        view: the worker.
        shard_lease: the owner's lease.
    """

    def __init__(self, view: WorkerView, shard_lease: ShardLease) -> None:
        self._view = view
        self._tokens = view.order_tokens
        self._shard_lease = shard_lease

    @property
    def token(self) -> int:
        """Fencing token of the next order."""
        return max(self._shard_lease.token, self._view.lowest_token, self._tokens.raised)

    def begin_effective_order(self) -> int:
        """Returns the token of an order that may start or stop runs, extend a lease or acknowledge.

        A later incarnation of the worker must not carry it out.
        """
        self._tokens.effective = self.token
        return self.token

    def raise_token(self, newest_revision: int) -> bool:
        """Raises the token above that of all orders that a later incarnation must not carry out.

        Args:
            newest_revision: revision of the shard's newest commit.

        Returns:
            False if a newer commit is needed.
        """
        if self.token <= self._tokens.effective:
            self._tokens.raised = max(self._tokens.raised, newest_revision)
        return self.token > self._tokens.effective

    def fenced_token(self) -> int:
        """Returns the token below which a worker rejects all orders once it replies to the next.

        It is 0 if it may still carry out an order that was meant for an earlier incarnation.
        """
        return self.token if self.token > self._tokens.effective else 0

    def is_outdated(self, token: int) -> bool:
        """Whether a worker may reject a token because this owner has raised it since."""
        return token < self._tokens.raised
