"""Store keys of the scheduler's records."""

import zlib

__all__ = [
    "ACCOUNT_SHARES_KEY",
    "LAYOUT_KEY",
    "NODE_PREFIX",
    "OWNER_PREFIX",
    "TRANSFER_PREFIX",
    "ASSIGNMENT_PREFIX",
    "CAPACITY_REQUEST_PREFIX",
    "INTERFERENCE_RECORD_PREFIX",
    "assignment_key",
    "capacity_request_key",
    "interference_record_key",
    "commit_key",
    "job_key",
    "job_prefix",
    "member_key",
    "owner_key",
    "placement_key",
    "placement_prefix",
    "progress_key",
    "progress_part_key",
    "progress_prefix",
    "run_lists_key",
    "settled_incarnations_key",
    "shard_of_job",
    "shard_of_unassigned_rack",
    "term_key",
    "unanswered_starts_key",
]

ROOT = "pollengate/"
LAYOUT_KEY = f"{ROOT}layout"
NODE_PREFIX = f"{ROOT}node/"
OWNER_PREFIX = f"{NODE_PREFIX}owner/"
ACCOUNT_SHARES_KEY = f"{ROOT}accounts/shares"
TRANSFER_PREFIX = f"{ROOT}transfer/"
ASSIGNMENT_PREFIX = f"{TRANSFER_PREFIX}worker/"
CAPACITY_REQUEST_PREFIX = f"{TRANSFER_PREFIX}request/"
INTERFERENCE_RECORD_PREFIX = f"{ROOT}interference/"


def owner_key(shard: int) -> str:
    """Returns the key that names a shard's owner; deleted when the owner's lease expires."""
    return f"{OWNER_PREFIX}{shard}"


def member_key(node: str) -> str:
    """Returns the key of a running process; deleted when its lease expires."""
    return f"{NODE_PREFIX}member/{node}"


def term_key(shard: int) -> str:
    """Returns the key of the number of a shard's newest ownership term."""
    return f"{ROOT}term/{shard}"


def commit_key(shard: int) -> str:
    """Returns the key of the number of a shard's newest commit, which orders its commits."""
    return f"{ROOT}commit/{shard}"


def run_lists_key(shard: int) -> str:
    """Returns the key of the lists of what may run on workers that get no starts."""
    return f"{ROOT}runs/{shard}"


def settled_incarnations_key(shard: int) -> str:
    """Returns the key of the worker incarnations whose leases all end by their own clocks."""
    return f"{ROOT}incarnations/{shard}"


def unanswered_starts_key(shard: int) -> str:
    """Returns the key of a shard's start orders without a response."""
    return f"{ROOT}unanswered/{shard}"


def interference_record_key(shard: int) -> str:
    """Returns the key of a shard's interference record."""
    return f"{INTERFERENCE_RECORD_PREFIX}{shard}"


def job_prefix(shard: int) -> str:
    """Returns the prefix of the jobs that a shard accepted."""
    return f"{ROOT}job/{shard}/"


def job_key(shard: int, job_id: str) -> str:
    """Returns the key of a job as it was submitted."""
    return f"{job_prefix(shard)}{job_id}"


def progress_prefix(shard: int) -> str:
    """Returns the prefix of the progress records of a shard's jobs."""
    return f"{ROOT}progress/{shard}/"


def progress_key(shard: int, job_id: str) -> str:
    """Returns the key of a job's progress record."""
    return f"{progress_prefix(shard)}{job_id}"


def progress_part_key(shard: int, job_id: str, part: int) -> str:
    """Returns the key of the progress of some tasks of a job with many."""
    return f"{progress_key(shard, job_id)}/{part}"


def placement_prefix(home_shard: int) -> str:
    """Returns the prefix of the placement records of a home shard's jobs."""
    return f"{ROOT}placement/{home_shard}/"


def placement_key(home_shard: int, job_id: str) -> str:
    """Returns the key that names the shard in which a job was placed."""
    return f"{placement_prefix(home_shard)}{job_id}"


def assignment_key(worker_id: str) -> str:
    """Returns the key of the shard that a worker was transferred to."""
    return f"{ASSIGNMENT_PREFIX}{worker_id}"


def capacity_request_key(shard: int) -> str:
    """Returns the key of the newest request of a shard for a worker."""
    return f"{CAPACITY_REQUEST_PREFIX}{shard}"


def shard_of_job(job_id: str, shards: int) -> int:
    """Returns the home shard of a job, by a stable hash of its id."""
    return zlib.crc32(job_id.encode()) % shards


def shard_of_unassigned_rack(rack: str, shards: int) -> int:
    """Returns the shard of a rack that is not in the layout, by a stable hash of its name."""
    return zlib.crc32(rack.encode()) % shards
