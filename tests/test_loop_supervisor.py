"""Tests of the supervision of a process's loops, on virtual time."""

import asyncio
import unittest

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.loop_supervisor import LoopSupervisor

from tests.utils import run_virtual


class LoopSupervisorTest(unittest.TestCase):
    """Tests of loops that fail."""

    def test_failed_loop_is_counted_and_started_again(self) -> None:
        async def main() -> None:
            metrics = EdgeMetrics()
            supervisor = LoopSupervisor(metrics)
            attempts: list[float] = []

            async def run() -> None:
                attempts.append(asyncio.get_running_loop().time())
                if len(attempts) < 3:
                    raise ValueError("malformed message")
                await asyncio.Event().wait()

            supervisor.start("directory", run)
            await asyncio.sleep(10.0)
            self.assertEqual(3, len(attempts))
            failures = metrics.registry.get_sample_value(
                "pollengate_edge_loop_failures_total", {"loop": "directory"}
            )
            self.assertEqual(2, failures)
            await supervisor.stop()

        run_virtual(main())

    def test_loop_that_ends_or_is_stopped_is_not_started_again(self) -> None:
        async def main() -> None:
            supervisor = LoopSupervisor(EdgeMetrics())
            starts: list[str] = []

            async def end() -> None:
                starts.append("end")

            async def wait() -> None:
                starts.append("wait")
                await asyncio.Event().wait()

            supervisor.start("end", end)
            supervisor.start("wait", wait)
            await asyncio.sleep(5.0)
            await supervisor.stop()
            await asyncio.sleep(5.0)
            self.assertEqual(["end", "wait"], starts)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
