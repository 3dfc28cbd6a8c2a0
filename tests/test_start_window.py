"""Tests of the time within which a worker takes a start order."""

import asyncio
import unittest

from pollengate.worker import ReportState, TaskOrder, TaskRef
from pollengate.worker_entry import START_WINDOW_S, WORKER_LEASE_S

from tests.cluster import ZoneFake, run_until
from tests.utils import build_spec, run_virtual

# The brief's "a few seconds", of which a configuration may use up its age.
LATE_S = 4.0


class StartWindowTest(unittest.TestCase):
    """A start order that waits somewhere must not take effect much later."""

    def test_order_that_leaves_a_woken_owner_late_is_refused(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=1)
            owner = zone.start_owner()
            await zone.serving()
            await run_until(lambda: zone.models_by_id["a-w0"].epoch > 0)
            await asyncio.sleep(2.0)
            # The process freezes between its last check and the sending of the order.
            zone.workers_without_heartbeat.add("a-w0")
            zone.clients_by_id["a-w0"].delay_s = LATE_S
            await zone.submit()
            zone.configuration_cache.set_zone("a", in_service=False)
            zone.kill(owner)
            model = zone.models_by_id["a-w0"]
            order = TaskOrder(TaskRef("job.0", 1), build_spec().resources, 100, "default")
            await asyncio.sleep(LATE_S)
            reply = model.start(model.epoch, model.session, [order])[0]
            self.assertEqual((reply.accepted, reply.reason), (False, "too_late"))

        run_virtual(main())

    def test_window_ends_before_the_lease_and_running_tasks_go_on(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=1)
            zone.start_owner()
            await zone.submit(duration_ms=60_000)
            await run_until(lambda: len(zone.running()) == 1)
            zone.workers_without_heartbeat.add("a-w0")
            await asyncio.sleep(START_WINDOW_S + 1.0)
            self.assertEqual(len(zone.running()), 1)
            await asyncio.sleep(WORKER_LEASE_S)
            self.assertEqual(zone.running(), [])
            states = [report.state for report in zone.models_by_id["a-w0"].reports()]
            self.assertEqual(states, [ReportState.STOPPED])

        run_virtual(main())
