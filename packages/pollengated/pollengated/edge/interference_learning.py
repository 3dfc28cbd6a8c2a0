"""What the owner of a shard learns about interference during one ownership term."""

from pollengate.interference.latency_model import LatencyModel
from pollengate.store import Entry, PolledStore
from pollengate.workflow.policy import InterferencePolicy

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.interference_record import InterferenceRecorder, load_interference_record
from pollengated.edge.layout import Layout
from pollengated.edge.loop_supervisor import LoopSupervisor
from pollengated.edge.shared_interference import SharedInterference

__all__ = ["InterferenceLearning"]


class InterferenceLearning:
    """What was learned about interference, its record, and the evidence of other shards.

    Args:
        shard: number of the shard.
        layout: the shards of the deployment.
        store: the platform's store.
        clocks: the process's clocks.
        metrics: metrics of this process.
        policy: settings of learning.

    Attributes:
        latency_model: expected headroom of serving tasks and what fillers take of it.
    """

    def __init__(
        self,
        shard: int,
        layout: Layout,
        store: PolledStore,
        clocks: Clocks,
        metrics: EdgeMetrics,
        policy: InterferencePolicy,
    ) -> None:
        self.latency_model = LatencyModel()
        self._shard = shard
        self._metrics = metrics
        self._policy = policy
        self._shared: SharedInterference | None = None
        if policy.is_shared and layout.shards > 1:
            self._shared = SharedInterference(
                shard, layout.shards, store, self.latency_model, clocks, metrics
            )
        self._recorder: InterferenceRecorder

    def restore(self, entry: Entry | None, committer: Committer) -> None:
        """Loads the record of the owner before, and prepares to write the next one."""
        if entry is not None:
            load_interference_record(entry.value, self.latency_model)
        self._recorder = InterferenceRecorder(
            self._shard, self.latency_model, committer, is_shared=self._shared is not None
        )

    def update(self, now: float) -> None:
        """Queues the record if it is due."""
        self._recorder.update(now)

    async def run(self) -> None:
        """Reads the evidence of other shards until cancelled; returns at once if it is not used."""
        if self._shared is not None:
            await LoopSupervisor(self._metrics).run("shared_interference", self._shared.run)
