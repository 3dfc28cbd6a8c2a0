"""Tests of the time window within which a worker accepts start orders."""

import asyncio
import unittest

from pollengate.worker import ReportState, TaskOrder, TaskRef
from pollengate.worker_entry import START_WINDOW_S, WORKER_LEASE_S

from tests.cluster import ZoneFake, run_until
from tests.utils import build_spec, run_virtual

# Once a zone is out of service for this long, nothing may start there. The age of the owner's
# configuration counts towards it.
ORDER_DELAY_S = 4.0


class StartWindowTest(unittest.TestCase):
    """A start order that is delayed on its way must not take effect much later."""

    def test_late_order_of_a_resumed_owner_is_refused(self) -> None:
        async def main() -> None:
            zone = ZoneFake(workers=1)
            owner = zone.start_owner()
            await zone.serving()
            await run_until(lambda: zone.models_by_id["a-w0"].epoch > 0)
            await asyncio.sleep(2.0)
            # The owner is suspended between its last check and sending the order.
            zone.workers_without_heartbeat.add("a-w0")
            zone.clients_by_id["a-w0"].delay_s = ORDER_DELAY_S
            await zone.submit()
            zone.configuration_cache.set_zone("a", in_service=False)
            zone.kill(owner)
            model = zone.models_by_id["a-w0"]
            order = TaskOrder(TaskRef("job.0", 1), build_spec().resources, 100, "default")
            await asyncio.sleep(ORDER_DELAY_S)
            reply = model.start(model.epoch, model.session, [order])[0]
            self.assertEqual((reply.accepted, reply.reason), (False, "too_late"))

        run_virtual(main())

    def test_running_tasks_continue_from_the_end_of_the_window_to_that_of_the_lease(self) -> None:
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
