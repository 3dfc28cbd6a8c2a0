"""The operators' keys as one process sends them to another."""

import dataclasses
from typing import Any

from pollengate.store import Entry
from pollengate_net.messages import edge_pb2 as pb

from pollengated.edge.prefix_cache import PrefixCache

__all__ = ["ANY_CHANGE", "PeerView", "decode_view", "encode_view"]

# As a known change, asks for the newest change of a copy only.
ANY_CHANGE = 2**63


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """The operators' keys as another process knows them; see `PrefixCache`.

    Attributes:
        entries: the keys, empty if they are not newer than what is known.
        revision: store revision of the copy.
        newest_change: revision of its newest change.
    """

    entries: tuple[Entry, ...]
    revision: int
    newest_change: int


def encode_view(cache: PrefixCache, with_entries: bool) -> pb.ViewReply:
    """Encodes a copy.

    Args:
        cache: the copy.
        with_entries: whether to send its entries, too.
    """
    sent = cache.entries_by_key.values() if with_entries else ()
    return pb.ViewReply(
        revision=cache.revision,
        age_s=min(cache.age_s(), 1e9),
        entries=[pb.Entry(key=e.key, value=e.value, revision=e.revision) for e in sent],
        newest_change=cache.newest_change,
    )


def decode_view(reply: Any) -> PeerView:
    """Decodes a copy; a process of an earlier version does not tell its newest change."""
    entries = tuple(Entry(e.key, e.value, e.revision, e.revision) for e in reply.entries)
    return PeerView(entries, reply.revision, reply.newest_change or reply.revision)
