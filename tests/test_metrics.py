"""Tests of metrics, and of what must exist for each refusal reason."""

import unittest
from pathlib import Path
from typing import Any

from pollengate.refusals import Outcome, Reason, Refusal
from pollengated.http_server import create_app
from pollengated.http_services import service_router
from pollengated.metrics import Metrics
from pollengated.problems import STATUS_BY_REASON
from result import Err, Result

from tests.cluster import ZoneFake, run_until
from tests.utils import build_settings, request_app, run_virtual

REFUSALS_PAGE = Path(__file__).parent.parent / "docs" / "operators" / "refusals.md"


class MetricsTest(unittest.TestCase):
    """Metrics of a new process."""

    def test_every_reason_has_a_refusal_and_a_retry_counter_at_zero(self) -> None:
        text = Metrics().export().decode()
        for reason in Reason:
            with self.subTest(reason=reason):
                self.assertIn(f'pollengate_refusals_total{{reason="{reason}"}} 0.0', text)
                self.assertIn(f'pollengate_retries_total{{reason="{reason}"}} 0.0', text)

    def test_every_reason_has_an_error_status(self) -> None:
        self.assertEqual(set(Reason), set(STATUS_BY_REASON))
        for status in STATUS_BY_REASON.values():
            self.assertTrue(400 <= status < 600)

    def test_operators_page_lists_every_reason_with_its_status(self) -> None:
        lines = REFUSALS_PAGE.read_text().splitlines()
        for reason in Reason:
            with self.subTest(reason=reason):
                prefix = f"| `{reason}` | {STATUS_BY_REASON[reason]} |"
                self.assertEqual(1, sum(line.startswith(prefix) for line in lines))

    def test_refusals_are_counted_by_reason(self) -> None:
        metrics = Metrics()
        metrics.count_refusal(Reason.NO_OWNER)
        metrics.count_refusal(Reason.NO_OWNER)
        self.assertEqual({"no_owner": 2}, metrics.refusals_by_reason())

    def test_retries_are_counted_by_reason(self) -> None:
        metrics = Metrics()
        metrics.count_retry(Reason.NO_BACKEND)
        text = metrics.export().decode()
        self.assertIn('pollengate_retries_total{reason="no_backend"} 1.0', text)


class UnknownServicesFake:
    """Refuses every request as one for a service that is not configured."""

    async def send(self, _: Any) -> Result[Any, Refusal]:
        return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, "no such service"))


class RequestTimeTest(unittest.TestCase):
    """Metrics of service requests."""

    def test_unknown_service_names_do_not_become_metric_labels(self) -> None:
        metrics = Metrics()
        router = service_router(UnknownServicesFake(), metrics, 100)  # type: ignore[arg-type]
        app = create_app([router], build_settings(), metrics)
        for number in range(5):
            response = request_app(app, "GET", f"/services/made-up-{number}/x")
            self.assertEqual(404, response.status_code)
        self.assertNotIn("made-up", metrics.export().decode())


class StartDelayTest(unittest.TestCase):
    """Metrics of an owner's task starts, in virtual time."""

    def test_first_start_of_each_task_is_observed_from_its_acceptance(self) -> None:
        async def main() -> str:
            zone = ZoneFake()
            owner = zone.start_owner(metrics=metrics)
            await zone.serving()
            await zone.submit(count=20, duration_ms=3_000)
            await run_until(lambda: len(zone.starts()) == 20)
            await zone.stop(owner)
            return metrics.export().decode()

        metrics = Metrics()
        text = run_virtual(main())
        self.assertIn("pollengate_start_delay_seconds_count 20.0", text)
        self.assertIn("pollengate_starts_total 20.0", text)
        # There are eight cores: 8 tasks start at once, 8 more after 3 s and the last 4 after 6 s.
        self.assertIn('pollengate_start_delay_seconds_bucket{le="2.5"} 8.0', text)
        self.assertIn('pollengate_start_delay_seconds_bucket{le="5.0"} 16.0', text)
