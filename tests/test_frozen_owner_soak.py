"""Soak of owners that are frozen around their replacement, on virtual time.

    python -m tests.test_frozen_owner_soak FIRST_SEED COUNT

plays more seeds than CI and prints those that break a rule. `PYTHONHASHSEED=0` gives the same
course of a seed again. Odd seeds have no worker that restarts under its id.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from pollengate.store import Delete
from pollengate.workflow.clients import EndKind
from pollengate.workflow.keys import owner_key
from pollengate.workflow.model import Workflow
from pollengate_standins.lease_worker import StartRecord

from tests.edge_cluster import EdgeCluster, EdgeNode, EdgeTestCase, overlapping_runs
from tests.faulty_store import Fault
from tests.freezable_cluster import FreezableCluster, RemoteStore, RemoteWorkers, process_of
from tests.test_takeover_soak import Soak, play_seeds
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

CI_SEEDS = range(6)
# The store replaces an owner 2.5 s after the last renewal of its lease.
LIKELY_FREEZE_S = (2.3, 2.9)
FREEZE_S = (0.5, 5.0)
# Time from the successor's acquisition of the shard to the resumption.
RESUMED_AFTER_S = (0.0, 0.25)
MAX_FREEZE_S = 5.0
# After an end was taken note of, machines in touch start its task no later than this.
NOTED_WITHIN_S = 1.0
MAX_LATE_COMMIT_S = 6.0


class FrozenOwnerSoakTest(EdgeTestCase):
    """An owner acts after a freeze on what it knew before, beside its successor."""

    def test_no_task_starts_again_after_its_end_was_taken_note_of(self) -> None:
        for seed in CI_SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        """Plays one seed."""
        run_virtual(_FrozenOwnerSoak(self, seed).run())


class _FrozenOwnerSoak(Soak):
    def __init__(self, case: EdgeTestCase, seed: int) -> None:
        super().__init__(case, seed)
        self._restarts_same_id = seed % 2 == 0
        self._speculative_prefixes: list[str] = []

    def _create_cluster(self, workers: int) -> EdgeCluster:
        counts_freezes = self._random.random() < 0.5
        cluster = FreezableCluster(workers, self._random, counts_freezes)
        fences_reports = self._random.random() < 0.5
        for worker in cluster.workers_by_id.values():
            worker.fences_reports = fences_reports
        return cluster

    def _faults(self) -> Sequence[Callable[[], Coroutine[Any, Any, None]]]:
        others = (
            self._kill_owner,
            self._hand_over,
            self._cut_owner,
            self._lose_worker,
            self._crash_worker if self._restarts_same_id else self._replace_worker,
            self._cut_worker_from_some,
            self._stop_store,
            self._lose_replies,
            self._delay_starts,
            self._delay_renewals,
            self._disturb_commits,
            self._delay_lease_calls,
            self._submit_again,
            self._hang_worker,
            self._freeze_any,
        )
        freezes = (
            self._freeze_owner,
            self._freeze_after_renewal,
            self._freeze_until_replaced,
            self._freeze_repeatedly,
        )
        return others + 3 * freezes

    def _build_workflow(self, job_id: str) -> Workflow:
        is_speculative = self._random.random() < 0.3
        if is_speculative:
            self._speculative_prefixes.append(f"{job_id}.0.0.")
        first = build_step(
            self._random.randint(1, 25),
            is_speculative=is_speculative,
            is_filler=self._random.random() < 0.2,
            saves_progress=self._random.random() < 0.3,
        )
        return build_workflow(first, build_step(self._random.randint(1, 4), after=(0,)))

    def _check_history(self) -> None:
        history = self._cluster.update_history()
        once = [
            run for run in history if not run.task.startswith(tuple(self._speculative_prefixes))
        ]
        self._case.assertEqual(overlapping_runs(once), [], "overlapping runs")
        noted = [
            run for run in history if run.noted_at is not None and run.end_kind is EndKind.DONE
        ]
        again = [
            (end, run)
            for end in noted
            for run in history
            if run.task == end.task and run is not end and _is_again(end, run, end in once)
        ]
        self._case.assertEqual(again, [], "runs after an end that was taken note of")

    async def _run_in(self, node: EdgeNode, main: Coroutine[Any, Any, None]) -> None:
        await node.run(main)

    async def _freeze_owner(self) -> None:
        node = self._cluster.owner()
        if node is not None:
            await self._freeze(node, self._choose_freeze_s())

    async def _freeze_any(self) -> None:
        """Freezes a process, such as one that acquires the shard or may acquire it."""
        nodes = list(self._cluster.nodes_by_name.values())
        await self._freeze(self._random.choice(nodes), self._choose_freeze_s())

    async def _freeze_after_renewal(self) -> None:
        """Freezes an owner whose renewal is on its way to the store."""
        node = self._cluster.owner()
        if node is None:
            return
        store = node.store
        assert isinstance(store, RemoteStore)
        store.has_sent_renewal.clear()
        try:
            async with asyncio.timeout(1.0):
                await store.has_sent_renewal.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._random.uniform(0.0, 0.03))
        await self._freeze(node, self._choose_freeze_s())

    async def _freeze_until_replaced(self) -> None:
        """Freezes an owner until shortly after a successor has acquired the shard."""
        node = self._cluster.owner()
        before = (await self._cluster.store.get(owner_key(0))).unwrap()
        if node is None or before is None or process_of(node).is_frozen:
            return
        process_of(node).freeze()
        for _ in range(round(MAX_FREEZE_S / 0.005)):
            entry = (await self._cluster.store.get(owner_key(0))).unwrap()
            if entry is not None and entry.revision != before.revision:
                break
            await asyncio.sleep(0.005)
        await asyncio.sleep(self._random.uniform(*RESUMED_AFTER_S))
        process_of(node).resume()

    async def _freeze_repeatedly(self) -> None:
        """Freezes each new owner in turn."""
        for _ in range(self._random.randint(2, 4)):
            await self._freeze_owner()
            await asyncio.sleep(self._random.uniform(0.0, 0.6))

    async def _freeze(self, node: EdgeNode, seconds: float) -> None:
        process = process_of(node)
        if process.is_frozen:
            return
        process.freeze()
        await asyncio.sleep(seconds)
        if self._random.random() < 0.1:
            node.kill()
            self._restart(node)
        process.resume()

    def _choose_freeze_s(self) -> float:
        is_likely = self._random.random() < 0.7
        return self._random.uniform(*(LIKELY_FREEZE_S if is_likely else FREEZE_S))

    async def _replace_worker(self) -> None:
        """Crashes a worker; another one starts under a new id."""
        cluster = self._cluster
        assert isinstance(cluster, FreezableCluster)
        old_id = self._choose_worker()
        old = cluster.workers_by_id[old_id]
        if old.is_gone:
            return
        old.crash()
        old.is_gone = True
        new_id = f"w{len(cluster.workers_by_id)}"
        new = cluster.add_worker(new_id)
        new.fences_reports, new.duration_of = old.fences_reports, old.duration_of
        await asyncio.sleep(self._random.uniform(0.1, 3.0))
        await cluster.register(new_id)
        await asyncio.sleep(self._random.uniform(0.1, 3.0))
        await cluster.store.commit((), (Delete(f"servers/{old_id}"),))

    async def _submit_again(self) -> None:
        """Submits jobs again whose acceptance a client has not seen."""
        for _ in range(self._random.randint(2, 6)):
            await self._submit_until_accepted(self._random.choice(self._job_ids))
            await asyncio.sleep(self._random.uniform(0.0, 2.0))

    async def _hang_worker(self) -> None:
        """Lets the tasks of a worker stand still, so that its owner moves them."""
        worker = self._cluster.workers_by_id[self._choose_worker()]
        worker.hang(True)
        await asyncio.sleep(self._random.uniform(1.0, 5.0))
        worker.hang(False)

    async def _delay_renewals(self) -> None:
        for clients in self._worker_clients():
            clients.late_renewal_share = self._random.choice((0.0, 0.3, 0.6))
            clients.lost_reply_share = self._random.choice((0.0, 0.3))
        await asyncio.sleep(self._random.uniform(0.5, 5.0))
        for clients in self._worker_clients():
            clients.late_renewal_share = clients.lost_reply_share = 0.0

    def _worker_clients(self) -> list[RemoteWorkers]:
        clients = (node.workers for node in self._cluster.nodes_by_name.values())
        return [client for client in clients if isinstance(client, RemoteWorkers)]

    async def _disturb_commits(self) -> None:
        """Loses the replies of commits, and lets some take effect late if their conditions hold."""
        kinds = (Fault.REPLY_LOST, Fault.LATE, None, None)
        nodes = list(self._cluster.nodes_by_name.values())
        for node in nodes:
            node.store.choose_fault = lambda keys: self._random.choice(kinds)
        await asyncio.sleep(self._random.uniform(0.5, 5.0))
        for node in nodes:
            node.store.choose_fault = lambda keys: None
        await asyncio.sleep(self._random.uniform(0.0, MAX_LATE_COMMIT_S))
        for node in nodes:
            await node.store.release_delayed()

    async def _delay_lease_calls(self) -> None:
        stores = [node.store for node in self._cluster.nodes_by_name.values()]
        remote = [store for store in stores if isinstance(store, RemoteStore)]
        for store in remote:
            store.late_share = self._random.choice((0.0, 0.3, 0.6))
        await asyncio.sleep(self._random.uniform(0.5, 5.0))
        for store in remote:
            store.late_share = 0.0


def _is_again(end: StartRecord, run: StartRecord, runs_once: bool) -> bool:
    """Whether a run must not have started after the end of another one.

    For tasks that may have copies, neither orders that are carried out late count nor owners that
    were replaced before the end was taken note of: their machines are not in touch.
    """
    assert end.ended_at is not None and end.noted_at is not None
    if runs_once and run.began_at > end.ended_at:
        return True
    is_in_touch = run.token >= end.noted_token and not run.is_late
    return is_in_touch and run.began_at > end.noted_at + NOTED_WITHIN_S


if __name__ == "__main__":
    play_seeds(FrozenOwnerSoakTest().play)
