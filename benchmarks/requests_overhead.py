"""Measures the latency and processor time that a gate adds to a direct request.

Run: .venv/bin/python -m benchmarks.requests_overhead

A gate, a scheduler, a store, a VM list and one backend server run as real processes. One client
sends the same requests to the backend server and to the gate in alternating rounds.
"""

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

import httpx

from tests.faults.test_gate_shutdown import SERVICE, Deployment

ROUNDS = 5
REQUESTS = 400
CALLERS = 4
US_PER_S = 1_000_000
TICKS_PER_S = 100


def cpu_s(pid: int) -> float:
    """Returns the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def send_all(client: httpx.AsyncClient, url: str, callers: int) -> list[float]:
    """Sends `REQUESTS` requests from concurrent callers and returns their times in seconds.

    Raises:
        SystemExit: a response has another status than 200.
    """
    times: list[float] = []

    async def call() -> None:
        for _ in range(REQUESTS // callers):
            began_at = time.perf_counter()
            headers = {"Pollengate-Request-Id": f"bare.{len(times)}"}
            response = await client.get(url, headers=headers)
            times.append(time.perf_counter() - began_at)
            if response.status_code != 200:
                raise SystemExit(f"{url} answered {response.status_code}: {response.text}")

    await asyncio.gather(*(call() for _ in range(callers)))
    return times


async def measure(gate: str, pid: int, backend: str, callers: int) -> None:
    """Prints a table row with the medians of all rounds."""
    added, processor, bare, through = [], [], [], []
    async with httpx.AsyncClient() as client:
        for url in (f"http://{backend}", f"http://{gate}"):
            await send_all(client, f"{url}/services/{SERVICE}/standings", callers)
        for _ in range(ROUNDS):
            first = await send_all(client, f"http://{backend}/services/{SERVICE}/x", callers)
            before = cpu_s(pid)
            second = await send_all(client, f"http://{gate}/services/{SERVICE}/x", callers)
            processor.append((cpu_s(pid) - before) / REQUESTS)
            bare.append(statistics.median(first))
            through.append(statistics.median(second))
            added.append(through[-1] - bare[-1])
    row = [bare, through, added, processor]
    cells = " | ".join(f"{statistics.median(values) * US_PER_S:.0f}" for values in row)
    print(f"| {callers} | {cells} |")


def main() -> None:
    """Starts the processes and prints the table by number of callers."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory), gates=1, backends=1)
        try:
            deployment.start()
            gate = deployment.any_gate()
            httpx.put(f"http://{deployment.backends[0]}/behaviour", json={"work_s": 0.0})
            print("| callers | bare us | through the gate us | added us | gate processor us |")
            print("|---|---|---|---|---|")
            for callers in (1, CALLERS):
                pid = deployment.gates[gate].pid
                asyncio.run(measure(gate, pid, deployment.backends[0], callers))
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
