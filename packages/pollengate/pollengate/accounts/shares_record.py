"""The record of the parts of accounts' limits that shards have."""

import dataclasses

import msgspec
from result import Err, Ok, Result

from pollengate.decoding import DocumentDecoder
from pollengate.workflow.model import NO_DEMAND, Demand

__all__ = ["SharesRecord", "ShareRow", "decode_shares", "encode_shares"]


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRow:
    """One account's row of one shard; only the shard's owner changes it.

    Attributes:
        part: part of the account's limit that the shard may use.
        wanted: how much more the shard wants.
        needed: part that the shard needs to start a task that has waited long for it.
        ticket: revision of the record when that task was first recorded, 0 if there is none; the
            shard with the lowest ticket is served first.
    """

    part: Demand
    wanted: Demand = NO_DEMAND
    needed: Demand = NO_DEMAND
    ticket: int = 0


SharesRecord = dict[str, dict[int, ShareRow]]

_DECODER = DocumentDecoder(SharesRecord)


def encode_shares(record: SharesRecord) -> bytes:
    """Encodes the rows by account and shard."""
    return msgspec.json.encode(record)


def decode_shares(value: bytes) -> Result[SharesRecord, str]:
    """Decodes the rows by account and shard; returns the cause if they are malformed."""
    decoded = _DECODER.decode(value)
    if isinstance(decoded, Err):
        return decoded
    record = decoded.ok_value
    for account, rows in record.items():
        for shard, row in rows.items():
            demands = (row.part, row.wanted, row.needed)
            lowest = min(min(d.cpu_millis, d.memory_mb, d.accelerators) for d in demands)
            if row.ticket < 0 or lowest < 0:
                return Err(f"negative amount in the row of {account} and shard {shard}")
    return Ok(record)
