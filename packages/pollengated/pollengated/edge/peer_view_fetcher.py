"""Fetches the operators' keys from other processes while this one cannot read the store.

A peer may itself be cut off and hold an old copy, for example from before a zone was evacuated. A
process that has just started knows no newer one, so it asks several peers.
"""

import asyncio
import dataclasses
import random

from pollengate.store import POLL_WAIT_S, Entry
from result import Err

from pollengated.edge.node_directory import NodeDirectory
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.rpc import EdgeClient
from pollengated.logs import Log

__all__ = ["PeerViewFetcher"]

FETCH_INTERVAL_S = 0.4
# A poll of the store confirms the local copy at least every `POLL_WAIT_S`.
STALE_AFTER_S = POLL_WAIT_S + 0.3
PEERS_PER_FETCH = 5


class PeerViewFetcher:
    """Fetches the operators' keys from random peers while the local copy is stale."""

    def __init__(
        self,
        own_address: str,
        operator_view: OperatorView,
        directory: NodeDirectory,
        client: EdgeClient,
    ) -> None:
        self._own_address = own_address
        self._operator_view = operator_view
        self._directory = directory
        self._client = client
        self._log = Log("exchange")

    async def run(self) -> None:
        """Fetches until cancelled."""
        while True:
            await asyncio.sleep(FETCH_INTERVAL_S)
            if self._operator_view.cache.age_s() > STALE_AFTER_S:
                await self._fetch_from_peers()

    async def _fetch_from_peers(self) -> None:
        """Applies the newest of the peers' copies; no older one is in use in between.

        A process with client accounts applies each newer copy at once: waiting for a silent peer
        kept a withdrawn key valid for up to 3.2 s, and it has to be refused within 3 s.
        """
        addresses = [m.address for m in self._directory.members()]
        peer_addresses = [address for address in addresses if address != self._own_address]
        asked = random.sample(peer_addresses, min(PEERS_PER_FETCH, len(peer_addresses)))
        is_urgent = self._operator_view.key_ring is not None
        fetches = (self._fetch(address, is_urgent) for address in asked)
        copies = [copy for copy in await asyncio.gather(*fetches) if copy is not None]
        if copies and not is_urgent:
            self._apply(max(copies, key=lambda copy: copy.revision))

    async def _fetch(self, address: str, is_urgent: bool) -> "_PeerCopy | None":
        """Fetches the copy of a peer; applies it at once if it is urgent."""
        result = await self._client.fetch_view(address)
        if isinstance(result, Err):
            return None
        copy = _PeerCopy(address, *result.ok_value)
        if is_urgent:
            self._apply(copy)
        return copy

    def _apply(self, copy: "_PeerCopy") -> None:
        if self._operator_view.cache.replace_if_newer(copy.entries, copy.revision):
            self._log.info(
                "operators' keys updated from a peer",
                neighbour=copy.address,
                revision=copy.revision,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerCopy:
    """The operators' keys as a peer knows them, and the store revision of its copy."""

    address: str
    entries: tuple[Entry, ...]
    revision: int
