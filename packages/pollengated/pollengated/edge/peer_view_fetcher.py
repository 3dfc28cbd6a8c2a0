"""Fetches the operators' keys from other processes while this one cannot read the store."""

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


class PeerViewFetcher:
    """Fetches the operators' keys from a random peer while the local copy is stale."""

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
                await self._fetch_from_peer()

    async def _fetch_from_peer(self) -> None:
        addresses = [m.address for m in self._directory.members()]
        peer_addresses = [address for address in addresses if address != self._own_address]
        if not peer_addresses:
            return
        address = random.choice(peer_addresses)
        result = await self._client.fetch_view(address)
        if isinstance(result, Err):
            return
        entries, revision = result.ok_value
        if self._operator_view.cache.replace_if_newer(entries, revision):
            self._log.info(
                "operators' keys updated from a peer", neighbour=address, revision=revision
            )
