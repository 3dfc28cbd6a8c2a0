"""Fetches the operators' keys from other processes while this one cannot read the store.

A peer may itself be cut off and hold an old copy, for example from before a zone was evacuated. A
process that has just started knows no newer one, so it asks several peers.
"""

import asyncio
import random

from pollengate.store import POLL_WAIT_S
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
        """Applies the newest of the peers' copies; no older one is in use in between."""
        addresses = [m.address for m in self._directory.members()]
        peer_addresses = [address for address in addresses if address != self._own_address]
        asked = random.sample(peer_addresses, min(PEERS_PER_FETCH, len(peer_addresses)))
        results = await asyncio.gather(*(self._client.fetch_view(address) for address in asked))
        copies = [
            (*result.ok_value, address)
            for address, result in zip(asked, results, strict=True)
            if not isinstance(result, Err)
        ]
        if not copies:
            return
        entries, revision, address = max(copies, key=lambda copy: copy[1])
        if self._operator_view.cache.replace_if_newer(entries, revision):
            self._log.info(
                "operators' keys updated from a peer", neighbour=address, revision=revision
            )
