"""Failpoints: named points of the control flow at which tests inject faults."""

import abc
import enum

__all__ = ["NoFailpoints", "Failpoint", "FailpointHook"]


class Failpoint(enum.StrEnum):
    """A point directly before or after an effect, such as a store write or a call."""

    # Submit.
    SUBMIT_RECEIVED = "submit_received"
    SUBMIT_RECORDED = "submit_recorded"
    # Start.
    START_PLANNED = "start_planned"
    INTENT_RECORDED = "intent_recorded"
    START_SENDING = "start_sending"
    START_ANSWERED = "start_answered"
    # Renewal of the owner's lease and of a worker's lease.
    OWNER_RENEWING = "owner_renewing"
    OWNER_RENEWED = "owner_renewed"
    HEARTBEAT_RECEIVED = "heartbeat_received"
    HEARTBEAT_ANSWERING = "heartbeat_answering"
    # Checkpoint, eviction and resume.
    EVICT_REQUESTED = "evict_requested"
    STOP_SENDING = "stop_sending"
    STOP_ANSWERED = "stop_answered"
    CHECKPOINT_REPORTED = "checkpoint_reported"
    CHECKPOINT_RECORDED = "checkpoint_recorded"
    RESUME_SENDING = "resume_sending"
    # Finish.
    FINISH_REPORTED = "finish_reported"
    LEDGER_WRITING = "ledger_writing"
    LEDGER_WRITTEN = "ledger_written"
    LEDGER_COMPACTING = "ledger_folding"
    LEDGER_COMPACTED = "ledger_folded"
    # Cancel.
    CANCEL_RECEIVED = "cancel_received"
    CANCEL_RECORDED = "cancel_recorded"
    # Takeover.
    TAKE_STARTED = "take_started"
    LEASE_GRANTED = "lease_granted"
    OWNER_TAKEN = "owner_taken"
    LEDGER_READ = "ledger_read"
    ATTACH_SENDING = "attach_sending"
    WORKER_ATTACHED = "worker_attached"
    WORKER_RECORDED = "worker_recorded"
    RECOVERY_FINISHED = "recovery_finished"
    # Handover and graceful shutdown.
    STOP_REQUESTED = "stop_requested"
    STARTS_DRAINED = "starts_drained"
    HANDOVER_WRITING = "handover_writing"
    HANDOVER_WRITTEN = "handover_written"
    LEASE_RELEASED = "lease_released"
    # Transfer to another zone.
    DRAIN_STARTED = "drain_started"
    TRANSFER_WRITING = "transfer_writing"
    TRANSFER_WRITTEN = "transfer_written"
    TRANSFER_RECEIVED = "transfer_received"


class FailpointHook(abc.ABC):
    """Called at each failpoint; a test may block, delay or stop the caller."""

    @abc.abstractmethod
    async def reach(self, failpoint: Failpoint, subject: str = "") -> None:
        """Called when the control flow reaches a failpoint.

        Args:
            failpoint: the failpoint.
            subject: id of the job, task or worker concerned, empty for the whole shard.
        """


class NoFailpoints(FailpointHook):
    """The hook used in production; does nothing."""

    async def reach(self, failpoint: Failpoint, subject: str = "") -> None:
        """Returns at once."""
