"""Measures how fast configuration patches take effect, their store calls, and the document size.

The system is simulated in virtual time. Run it by `python -m benchmarks.patches`.
"""

import asyncio
import json
import sys
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from pollengated.config_model import encode_document, validate_document  # noqa: E402

from tests.configuration_nodes import Cluster  # noqa: E402
from tests.utils import run_virtual  # noqa: E402

__all__ = ["main"]

ZONES = 10
PATCHES = 200
PATCH_INTERVAL_S = 5.76  # 15,000 a day
TEAMS = 160
SERVICES = 400


async def _measure_patches(zones: int, gates: int, schedulers: int) -> tuple[list[float], float]:
    cluster = Cluster(zones=zones, gates=gates, schedulers=schedulers)
    await cluster.start()
    loop = asyncio.get_running_loop()
    cluster.network.calls.clear()
    begin = loop.time()
    for number in range(PATCHES):
        patch = {"services": {"scoring": {"priority": number % 100}}}
        gate = f"g{number % zones}{number % gates}"
        await _accept(cluster, gate, patch)
        await asyncio.sleep(PATCH_INTERVAL_S)
    calls = sum(n for kind, n in cluster.network.calls.items() if kind.startswith("store"))
    rate = calls / (loop.time() - begin)
    delays = _activation_delays(cluster)
    cluster.stop()
    return delays, rate


async def _accept(cluster: Cluster, gate: str, patch: dict[str, object]) -> None:
    version = cluster.nodes_by_name[gate].configuration_cache.current.version
    (await cluster.patch(gate, version, patch)).unwrap()


def _activation_delays(cluster: Cluster) -> list[float]:
    """Returns the seconds from acceptance of a patch until a process applies it.

    The list is sorted and has a value for each patch and process.
    """
    delays = []
    for at, version, _ in cluster.accepted[1:]:
        for seen in cluster.versions_by_node.values():
            in_force_at = next(time for time, found in seen if found >= version)
            delays.append(max(0.0, in_force_at - at))
    return sorted(delays)


def _quantile(delays: list[float], fraction: float) -> float:
    return delays[min(len(delays) - 1, int(len(delays) * fraction))]


def _print_size() -> None:
    document = {
        "zones": {f"region-{i // 2}-zone-{i}": {} for i in range(ZONES)},
        "services": {f"service-{i:03d}": {"priority": i % 9} for i in range(SERVICES)},
        "quotas": {
            f"team-{i:03d}": {"cores": 500 + i, "memory_mb": 2_000_000, "accelerators": i}
            for i in range(TEAMS)
        },
    }
    stored = encode_document(1, validate_document(json.loads(json.dumps(document))).unwrap())
    print(
        f"document with {TEAMS} teams, {ZONES} zones, {SERVICES} services: {len(stored)} bytes, "
        f"{len(zlib.compress(stored))} compressed"
    )


def main() -> None:
    """Prints the size of the configuration, the delays and the rate of store calls."""
    _print_size()
    for zones, gates, schedulers in ((5, 2, 2), (ZONES, 2, 2), (ZONES, 3, 3)):
        delays, rate = run_virtual(_measure_patches(zones, gates, schedulers))
        print(
            f"{zones} zones, {gates} gates and {schedulers} schedulers each: in force within "
            f"{_quantile(delays, 0.5):.2f} s (median), {_quantile(delays, 0.999):.2f} s (p99.9), "
            f"{delays[-1]:.2f} s (longest) of {len(delays)}; {rate:.1f} store calls/s, no watch"
        )


if __name__ == "__main__":
    main()
