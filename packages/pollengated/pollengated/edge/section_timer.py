"""Measures the parts of the owner's work that run without a pause on the event loop.

A part that takes long delays all renewals and replies of the process. That the loop was late does
not tell which part delayed it, or for which job.
"""

import asyncio
import contextlib
import enum
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Histogram

from pollengated.logs import Log

__all__ = ["Section", "SectionTimer"]

# A tenth of the time for which a gate waits for an owner's response.
SLOW_S = 0.08
# A process that has too little processor time is slow in each section.
LOG_INTERVAL_S = 2.0


class Section(enum.StrEnum):
    """Parts of the owner's work."""

    ADD_JOB = "add_job"
    ENCODE_RECORDS = "encode_records"
    PLAN = "plan"
    RESTORE = "restore"


class SectionTimer:
    """Records how long sections hold the event loop.

    Args:
        registry: collects the metrics of the process.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._seconds = Histogram(
            "pollengate_edge_section_seconds",
            "Time for which a part of the owner's work held the event loop, by section.",
            ["section"],
            buckets=(0.001, 0.01, 0.05, 0.1, 0.3, 1.0, 3.0),
            registry=registry,
        )
        self._logged_at_by_section: dict[Section, float] = {}
        self._log = Log("loops")

    @contextlib.contextmanager
    def measure(self, section: Section, subject: object) -> Iterator[None]:
        """Measures what runs inside the context, which must not wait.

        Args:
            section: the part of the work.
            subject: the job or the shard that it is about, for logs.
        """
        clock = asyncio.get_running_loop().time
        began_at = clock()
        try:
            yield
        finally:
            now = clock()
            self._record(section, subject, now - began_at, now)

    def _record(self, section: Section, subject: object, took_s: float, now: float) -> None:
        self._seconds.labels(section).observe(took_s)
        logged_at = self._logged_at_by_section.get(section, float("-inf"))
        if took_s >= SLOW_S and now - logged_at >= LOG_INTERVAL_S:
            self._logged_at_by_section[section] = now
            self._log.warning(
                "a section held the event loop",
                section=section.value,
                subject=subject,
                took_s=round(took_s, 3),
            )
