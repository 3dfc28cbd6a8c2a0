"""Prometheus metrics of a process."""

from pollengate.refusals import Reason
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

__all__ = ["Metrics"]

disable_created_metrics()


class Metrics:
    """The metrics that gates and schedulers export."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.refusals = Counter(
            "pollengate_refusals",
            "Requests refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.retries = Counter(
            "pollengate_retries",
            "Requests sent again, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.requests = Histogram(
            "pollengate_request_seconds",
            "Time from request to answer, by service.",
            ["service"],
            registry=self.registry,
        )
        self.starts = Counter("pollengate_starts", "Tasks started.", registry=self.registry)
        self.evictions = Counter(
            "pollengate_evictions", "Tasks told to checkpoint and stop.", registry=self.registry
        )
        self.throttles = Counter(
            "pollengate_throttles",
            "Throttles set or lifted.",
            registry=self.registry,
        )
        self.start_delay = Histogram(
            "pollengate_start_delay_seconds",
            "Time from acceptance of a task to its first start.",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "pollengate_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.owner_epoch = Gauge(
            "pollengate_owner_epoch",
            "Epoch of an owned shard, 0 when not owned.",
            ["zone", "shard"],
            registry=self.registry,
        )

        ProcessCollector(registry=self.registry)
        for reason in Reason:
            self.refusals.labels(reason.value)
            self.retries.labels(reason.value)

    def count_refusal(self, reason: Reason) -> None:
        """Counts a refused request."""
        self.refusals.labels(reason.value).inc()

    def count_retry(self, reason: Reason) -> None:
        """Counts a retry, by the reason why the attempt before it failed."""
        self.retries.labels(reason.value).inc()

    def refusals_by_reason(self) -> dict[str, int]:
        """Returns the number of refusals so far, leaving out reasons with a count of 0."""
        counts = {
            sample.labels["reason"]: int(sample.value)
            for metric in self.refusals.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        }
        return {reason: count for reason, count in counts.items() if count}

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
