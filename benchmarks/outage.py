"""Counts task starts during a ten-minute store outage.

Compares the ways in which a scheduler can confirm that its configuration is fresh. Each zone's
scheduler could start a task every 0.1 s. Run it by `python -m benchmarks.outage`.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.configuration_nodes import Cluster, Node  # noqa: E402
from tests.utils import run_virtual  # noqa: E402

__all__ = ["main"]

OUTAGE_S = 600
ZONES = 3
POSSIBLE_STARTS = OUTAGE_S * 10
# Strategy (c): how long an owner may start tasks on an intent recorded before the outage.
INTENT_S = 4.0


def _without_freshness_grants(cluster: Cluster) -> None:
    async def request_nothing() -> None:
        return

    for node in cluster.nodes_by_name.values():
        node.refresher.collect_freshness_grants = request_nothing  # type: ignore[method-assign]


def _with_intents(cluster: Cluster) -> None:
    _without_freshness_grants(cluster)
    for node in cluster.nodes_by_name.values():
        node.configuration_cache.freshness._max_age_s = INTENT_S  # noqa: SLF001


def _with_freshness_grants(_: Cluster) -> None:
    return


STRATEGIES = {
    "(a) store reads only": _without_freshness_grants,
    "(b) grants of all gates": _with_freshness_grants,
    "(c) intents of 4 s": _with_intents,
}


async def _measure(strategy: str, cut_zone: bool) -> tuple[list[int], dict[str, int]]:
    cluster = Cluster(zones=ZONES, gates=2, schedulers=2)
    await cluster.start()
    STRATEGIES[strategy](cluster)
    cluster.network.calls.clear()
    cluster.network.is_store_down = True
    if cut_zone:
        _cut_zone(cluster, "z2")
    begin = asyncio.get_running_loop().time()
    await asyncio.sleep(OUTAGE_S)
    allowed_starts = [
        len(
            {
                round(s.at, 1)
                for s in cluster.allowed_starts
                if s.zone == f"z{zone}" and s.at >= begin
            }
        )
        for zone in range(ZONES)
    ]
    cluster.stop()
    return allowed_starts, dict(cluster.network.calls)


def _cut_zone(cluster: Cluster, zone: str) -> None:
    def in_zone(node: Node) -> bool:
        return node.zone == zone

    nodes = cluster.nodes_by_name.values()
    for inside in filter(in_zone, nodes):
        for outside in nodes:
            if not in_zone(outside):
                cluster.network.cut(inside.name, outside.name)


def main() -> None:
    """Prints the starts by strategy, with all zones connected and with one cut off."""
    print(f"starts possible in each zone: {POSSIBLE_STARTS}")
    for cut_zone in (False, True):
        for strategy in STRATEGIES:
            allowed_starts, calls = run_virtual(_measure(strategy, cut_zone))
            cut = "z2 cut off" if cut_zone else "all connected"
            print(f"{strategy:28} {cut:14} starts by zone {allowed_starts} calls {calls}")


if __name__ == "__main__":
    main()
