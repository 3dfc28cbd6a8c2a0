"""Tests of the measurement of the event loop's delay, on virtual time."""

import asyncio
import random
import unittest
from unittest import mock

import logbook
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.loop_delay import LoopDelayMonitor
from pollengated.edge.section_timer import Section

from tests.freezable_cluster import FreezableCluster, process_of
from tests.utils import run_virtual


class LoopDelayTest(unittest.TestCase):
    """A process whose callbacks run late."""

    def test_callbacks_that_run_a_second_late_are_counted(self) -> None:
        run_virtual(self._check())

    async def _check(self) -> None:
        cluster = FreezableCluster(1, random.Random(1), counts_freezes=True)
        await cluster.open(nodes=1)
        node = cluster.serving_node()
        metrics = EdgeMetrics()
        monitor = asyncio.create_task(node.run(LoopDelayMonitor(Clocks.of_loop(), metrics).run()))
        await asyncio.sleep(1.0)
        process_of(node).freeze()
        await asyncio.sleep(1.25)
        process_of(node).resume()
        await asyncio.sleep(0.1)
        monitor.cancel()
        exported = metrics.export().decode()
        self.assertIn('pollengate_edge_loop_delay_seconds_bucket{le="0.01"} ', exported)
        late = metrics.registry.get_sample_value(
            "pollengate_edge_loop_delay_seconds_bucket", {"le": "0.5"}
        )
        count = metrics.registry.get_sample_value("pollengate_edge_loop_delay_seconds_count")
        assert late is not None and count is not None
        self.assertEqual(count - late, 1.0)

    def check_lines(self, late_s: float, expected_lines: int) -> None:
        """Asserts how many lines are logged if a timer is late four times, a second apart."""

        async def main() -> None:
            loop = asyncio.get_running_loop()
            delay_s = 0.0
            clocks = Clocks(lambda: loop.time() + delay_s, lambda: 0)
            monitor = asyncio.create_task(LoopDelayMonitor(clocks, EdgeMetrics()).run())
            await asyncio.sleep(1.1)
            for _ in range(4):
                delay_s += late_s
                await asyncio.sleep(1.0)
            monitor.cancel()

        with logbook.TestHandler() as log:
            run_virtual(main())
        lines = [record for record in log.records if "event loop is late" in record.message]
        self.assertEqual(len(lines), expected_lines)

    def test_lateness_is_logged_at_most_every_two_seconds(self) -> None:
        self.check_lines(2.0, 4)
        self.check_lines(0.4, 3)
        self.check_lines(0.1, 0)


class SectionTimerTest(unittest.TestCase):
    """Parts of the owner's work that hold the event loop."""

    def test_slow_section_is_logged_with_its_job(self) -> None:
        async def main() -> EdgeMetrics:
            metrics = EdgeMetrics()
            loop = asyncio.get_running_loop()
            for job_id, took_s in (("aa", 0.01), ("bb", 0.5), ("cc", 0.5)):
                times = iter((loop.time(), loop.time() + took_s))
                with (
                    mock.patch.object(loop, "time", lambda times=times: next(times)),
                    metrics.sections.measure(Section.ADD_JOB, job_id),
                ):
                    pass
            return metrics

        with logbook.TestHandler() as log:
            metrics = run_virtual(main())
        lines = [record for record in log.records if "held the event loop" in record.message]
        self.assertEqual(len(lines), 1)
        self.assertIn("bb", str(lines[0].extra))
        count = metrics.registry.get_sample_value(
            "pollengate_edge_section_seconds_count", {"section": "add_job"}
        )
        self.assertEqual(count, 3.0)
