"""Tests of the numbers of ownership terms, on virtual time."""

import asyncio

import msgspec
from pollengate.store import Put
from pollengate.workflow.keys import commit_key
from pollengated.edge.committer import CommitNumber

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.faulty_store import Fault
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

JOB_ID = "00000000000000aa"


class TermNumberTest(EdgeTestCase):
    """An owner may start runs and be lost before its first commit."""

    def test_two_owners_that_commit_nothing_number_their_runs_differently(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(duration_s=float("inf"))
            await cluster.open(nodes=3)
            await cluster.submit(JOB_ID, build_workflow(build_step(1, is_long_running=True)))
            await asyncio.sleep(0.5)
            for node in cluster.nodes_by_name.values():
                node.store.choose_fault = _refuse_commits
            for _ in range(2):
                node = cluster.serving_node()
                node.kill()
                # The runs end without a trace, so that the next owner starts the task again.
                for worker in cluster.workers_by_id.values():
                    worker.crash()
                await cluster.wait_for_term(other_than=node.name)
                await asyncio.sleep(1.0)
            numbers = [run.run for run in cluster.history]
            self.assertEqual(len(set(numbers)), 3, numbers)

        run_virtual(main())

    def test_owners_that_commit_nothing_after_an_upgrade_number_their_runs_differently(
        self,
    ) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            commit = Put(commit_key(0), msgspec.json.encode(CommitNumber(5, 1)))
            await cluster.store.commit((), (commit,))
            await cluster.open(nodes=3)
            for node in cluster.nodes_by_name.values():
                node.store.choose_fault = _refuse_commits
            numbers: list[int] = []
            for _ in range(3):
                node = cluster.serving_node()
                assert node.elector.term is not None
                numbers.append(node.elector.term.shard_lease.term_number)
                node.kill()
                if len(numbers) < 3:
                    await cluster.wait_for_term(other_than=node.name)
            self.assertEqual(numbers, [6, 7, 8])

        run_virtual(main())


def _refuse_commits(keys: list[str]) -> Fault | None:
    """Refuses the commits of records; a shard can still be acquired."""
    return Fault.NOT_SENT if any("/commit/" in key for key in keys) else None
