"""Prometheus metrics of an edge process."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

from pollengated.edge.account_metrics import AccountMetrics
from pollengated.edge.section_timer import SectionTimer

__all__ = ["EdgeMetrics"]

disable_created_metrics()


class EdgeMetrics:
    """All metrics that the edge role exports."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.responses = Counter(
            "pollengate_edge_answers",
            "Answers to clients, by request and outcome.",
            ["request", "outcome"],
            registry=registry,
        )
        self.response_seconds = Histogram(
            "pollengate_edge_answer_seconds",
            "Time from a client's request to its answer.",
            ["request"],
            registry=registry,
        )
        self.refused_keys = Counter(
            "pollengate_edge_refused_keys",
            "Requests without a key of a client account, by reason.",
            ["reason"],
            registry=registry,
        )
        self.limit_refusals = Counter(
            "pollengate_edge_limit_refusals",
            "Requests and connections that a limit ended, by listener and limit.",
            ["listener", "limit"],
            registry=registry,
        )
        self.starts = Counter("pollengate_edge_starts", "Tasks started.", registry=registry)
        self.failed_starts = Counter(
            "pollengate_edge_failed_starts",
            "Start orders that were not confirmed, by reason.",
            ["reason"],
            registry=registry,
        )
        self.late_starts = Counter(
            "pollengate_edge_late_starts",
            "Runs that a worker began by a start order without a response.",
            registry=registry,
        )
        self.kept_ends = Counter(
            "pollengate_edge_kept_ends",
            "Ends that were not acknowledged while a start of their task may still arrive.",
            registry=registry,
        )
        self.accepted_bytes = Gauge(
            "pollengate_edge_accepted_bytes",
            "Estimated memory of the accepted jobs of a shard.",
            ["shard"],
            registry=registry,
        )
        self.merged_interference_records = Counter(
            "pollengate_edge_merged_interference_records",
            "Interference records of other shards whose evidence was taken over.",
            registry=registry,
        )
        self.shared_interference_pairs = Gauge(
            "pollengate_edge_shared_interference_pairs",
            "Pairs of images with evidence of other shards in use, by owned shard.",
            ["shard"],
            registry=registry,
        )
        self.stops = Counter("pollengate_edge_stops", "Runs stopped.", registry=registry)
        self.throttle_changes = Counter(
            "pollengate_edge_paces", "Paces changed.", registry=registry
        )
        self.renewals = Counter("pollengate_edge_holds", "Hold orders sent.", registry=registry)
        self.failed_renewals = Counter(
            "pollengate_edge_failed_renewals",
            "Hold orders without a report, by reason.",
            ["reason"],
            registry=registry,
        )
        self.loop_delay_seconds = Histogram(
            "pollengate_edge_loop_delay_seconds",
            "Time by which the event loop runs a timer late.",
            buckets=(0.01, 0.05, 0.1, 0.3, 0.5, 1.0, 2.0),
            registry=registry,
        )
        self.fenced_orders = Counter(
            "pollengate_edge_fenced_orders",
            "Orders that a worker rejected as they were sent before it started again.",
            registry=registry,
        )
        self.undurable_results = Counter(
            "pollengate_edge_undurable_results",
            "Reports whose results were not durable in time.",
            registry=registry,
        )
        self.refused_records = Counter(
            "pollengate_edge_refused_records",
            "Records that the store will never accept, and that were left out.",
            registry=registry,
        )
        self.ineffective_ends = Counter(
            "pollengate_edge_ineffective_ends",
            "Runs that ended done and completed no task, by reason.",
            ["reason"],
            registry=registry,
        )
        self.worker_crashes = Counter(
            "pollengate_edge_worker_crashes",
            "Workers that crashed with runs on them, by what the crash is attributed to.",
            ["cause"],
            registry=registry,
        )
        self.tasks_given_up = Counter(
            "pollengate_edge_tasks_given_up",
            "Tasks that were given up before their last attempt, by reason.",
            ["reason"],
            registry=registry,
        )
        self.jobs_ended = Counter(
            "pollengate_edge_jobs_ended", "Jobs ended, by state.", ["state"], registry=registry
        )
        self.job_seconds = Histogram(
            "pollengate_edge_job_seconds",
            "Time from a job's acceptance to its end.",
            ["queue"],
            buckets=(0.5, 1, 2, 3, 5, 8, 12, 20, 40, 80),
            registry=registry,
        )
        self.loop_failures = Counter(
            "pollengate_edge_loop_failures",
            "Failures of long-lived loops, which were started again, by loop.",
            ["loop"],
            registry=registry,
        )
        self.failed_decisions = Counter(
            "pollengate_edge_failed_decisions",
            "Decisions that failed by an internal error and were left out, by decision.",
            ["decision"],
            registry=registry,
        )
        self.failed_terms = Counter(
            "pollengate_edge_failed_terms",
            "Ownership terms that ended by an internal error.",
            registry=registry,
        )
        self.invalid_entries = Counter(
            "pollengate_edge_invalid_entries",
            "Entries of the store that could not be decoded and are ignored, by prefix.",
            ["prefix"],
            registry=registry,
        )
        self.unapplied_entries = Counter(
            "pollengate_edge_unapplied_entries",
            "Entries of the store that could not be applied for an internal error, by prefix.",
            ["prefix"],
            registry=registry,
        )
        self.view_bytes = Counter(
            "pollengate_edge_view_bytes",
            "Bytes received for the local copies of the store, by prefix and source.",
            ["prefix", "source"],
            registry=registry,
        )
        self.long_polls = Counter(
            "pollengate_edge_long_polls",
            "Polls that were given up for a listing, as they had more than the copy, by prefix.",
            ["prefix"],
            registry=registry,
        )
        self.view_age_seconds = Histogram(
            "pollengate_edge_view_age_seconds",
            "Time since a local copy of the store was known to be current, at each change of it.",
            ["prefix"],
            buckets=(0.1, 0.3, 1, 2, 3, 4, 6, 10, 20),
            registry=registry,
        )
        self.owned_shards = Gauge(
            "pollengate_edge_owned_shards", "Shards that this process owns.", registry=registry
        )
        self.waiting_tasks = Gauge(
            "pollengate_edge_waiting_tasks", "Tasks that wait for a start.", registry=registry
        )
        self.waiting_jobs = Gauge(
            "pollengate_edge_waiting_jobs",
            "Jobs of an owned shard of which no task is known to have started.",
            ["shard"],
            registry=registry,
        )
        self.shard_capacity = Gauge(
            "pollengate_edge_shard_capacity_millis",
            "Millicores of the workers of an owned shard that may get tasks.",
            ["shard"],
            registry=registry,
        )
        self.shard_committed = Gauge(
            "pollengate_edge_shard_committed_millis",
            "Millicores that tasks other than fillers declare on those workers.",
            ["shard"],
            registry=registry,
        )
        self.shard_largest_free = Gauge(
            "pollengate_edge_shard_largest_free_millis",
            "Millicores that are free on the emptiest worker of an owned shard.",
            ["shard"],
            registry=registry,
        )
        self.longest_restart_wait = Gauge(
            "pollengate_edge_longest_restart_wait_seconds",
            "Time for which a long-running task has waited to run again; the longest of the shard.",
            ["shard"],
            registry=registry,
        )
        self.awaited_workers = Gauge(
            "pollengate_edge_awaited_workers",
            "Workers of an earlier owner that have not replied and may still run tasks.",
            ["shard"],
            registry=registry,
        )
        self.takeover_seconds = Histogram(
            "pollengate_edge_takeover_seconds",
            "Time from the acquisition of a shard until all runs of earlier owners are known.",
            buckets=(0.1, 0.25, 0.5, 1, 2, 3, 4, 5, 6, 8),
            registry=registry,
        )
        self.sections = SectionTimer(registry)
        self.accounts = AccountMetrics(registry)
        self.shortage_factor = Gauge(
            "pollengate_edge_shortage_factor",
            "Due work by what the room can complete in time; the highest of all priorities.",
            ["shard", "service", "room"],
            registry=registry,
        )
        self.overload_refusals = Counter(
            "pollengate_edge_overload_refusals",
            "Jobs refused in a shortage, by queue and reason.",
            ["queue", "reason"],
            registry=registry,
        )
        self.placements = Counter(
            "pollengate_edge_placements",
            "Jobs without room in their home shard, by what other shards' owners replied.",
            ["outcome"],
            registry=registry,
        )
        self.delegations = Counter(
            "pollengate_edge_delegations",
            "Long-running tasks that wait to run again, by what other shards' owners replied.",
            ["outcome"],
            registry=registry,
        )
        self.jobs_past_use = Gauge(
            "pollengate_edge_jobs_past_use",
            "Waiting jobs that are past their last useful moment.",
            ["shard", "service", "room"],
            registry=registry,
        )
        ProcessCollector(registry=registry)

    def count_limit_refusal(self, listener: str, limit: str) -> None:
        """Counts a request or connection that a limit ended."""
        self.limit_refusals.labels(listener, limit).inc()

    def export(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
