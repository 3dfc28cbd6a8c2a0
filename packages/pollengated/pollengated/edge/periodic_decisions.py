"""The decisions of an ownership term that are made again and again as time passes."""

import dataclasses
from collections.abc import Callable

from pollengate.workflow.decision_guard import DecisionGuard

from pollengated.edge.interference_learning import InterferenceLearning
from pollengated.edge.run_mover import RunMover
from pollengated.edge.shard_load_log import ShardLoadLog
from pollengated.edge.start_policy import StartPolicy
from pollengated.edge.worker_transfers import WorkerTransfers

__all__ = ["PeriodicDecisions"]


@dataclasses.dataclass(slots=True)
class PeriodicDecisions:
    """Decisions without which the owner can go on; an error in one stops no other.

    Attributes:
        guard: contains their errors.
        run_mover: moves and copies runs.
        transfers: requests and releases workers.
        interference: records what was learned.
        start_policy: updates the order and the conditions of starts.
        load_log: logs the load of the shard.
    """

    guard: DecisionGuard
    run_mover: RunMover
    transfers: WorkerTransfers
    interference: InterferenceLearning
    start_policy: StartPolicy
    load_log: ShardLoadLog

    def update(self, now: float, may_start: bool) -> None:
        """Makes the decisions that are due.

        Args:
            now: clock time.
            may_start: whether the owner may start tasks; otherwise it stops none to start them
                elsewhere.
        """
        if may_start:
            self.run_mover.update(now)
            self._attempt("transfer_workers", now, self.transfers.update)
        self._attempt("record_interference", now, lambda: self.interference.update(now))
        self._attempt("update_start_policy", now, lambda: self.start_policy.update(now))
        self._attempt("log_load", now, lambda: self.load_log.update(now))

    def _attempt(self, kind: str, now: float, decide: Callable[[], None]) -> None:
        self.guard.attempt(kind, "", now, decide)
