"""Named steps of every flow, at which tests inject faults."""

import abc
import enum

__all__ = ["NoFailpoints", "Failpoint", "FailpointHook"]


class Failpoint(enum.StrEnum):
    """A point in a flow; the next effect follows it, or the last one preceded it."""

    # Submit.
    SUBMIT_RECEIVED = "submit_received"
    SUBMIT_RECORDED = "submit_recorded"
    # Start.
    START_PLANNED = "start_planned"
    INTENT_RECORDED = "intent_recorded"
    START_SENDING = "start_sending"
    START_ANSWERED = "start_answered"
    # Renewals: of the owner's lease and of a worker's.
    OWNER_RENEWING = "owner_renewing"
    OWNER_RENEWED = "owner_renewed"
    HEARTBEAT_RECEIVED = "heartbeat_received"
    HEARTBEAT_ANSWERING = "heartbeat_answering"
    # Checkpoint, evict and resume.
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
    # Take over.
    TAKE_STARTED = "take_started"
    LEASE_GRANTED = "lease_granted"
    OWNER_TAKEN = "owner_taken"
    LEDGER_READ = "ledger_read"
    ATTACH_SENDING = "attach_sending"
    WORKER_ATTACHED = "worker_attached"
    WORKER_RECORDED = "worker_recorded"
    RECOVERY_FINISHED = "recovery_finished"
    # Hand over and graceful stop.
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
    """Is called at each step; a test may block, delay or stop the caller there."""

    @abc.abstractmethod
    async def reach(self, failpoint: Failpoint, subject: str = "") -> None:
        """Takes note that a flow reached a step.

        Args:
            failpoint: the failpoint.
            subject: the job, task or worker that it concerns, empty for the shard.
        """


class NoFailpoints(FailpointHook):
    """Does nothing; the hook of production."""

    async def reach(self, failpoint: Failpoint, subject: str = "") -> None:
        """Returns at once."""
