"""Fetches the operators' keys from other processes while this one cannot read the store.

A peer may itself be cut off and hold an old copy, for example from before a zone was evacuated. A
process that has just started knows no newer one, so it asks several peers. They reply with the
newest change of their copies, and one copy is fetched if it has a newer change than the own one. A
copy may take a slow link for a second, and many processes may be behind at the same time.
"""

import asyncio
import random
from collections.abc import Sequence

from pollengate.store import POLL_WAIT_S
from result import Err

from pollengated.edge.node_directory import NodeDirectory
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.peer_view import ANY_CHANGE
from pollengated.edge.rpc import EdgeClient
from pollengated.logs import Log

__all__ = ["PeerViewFetcher"]

FETCH_INTERVAL_S = 0.4
# A poll of the store confirms the local copy at least every `POLL_WAIT_S`.
STALE_AFTER_S = POLL_WAIT_S + 0.3
# While a response of the store arrives, a copy of a peer would only take the same link.
MAX_RECEIVING_S = 2 * STALE_AFTER_S
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
        cache = self._operator_view.cache
        while True:
            await asyncio.sleep(FETCH_INTERVAL_S)
            if cache.silent_s() > STALE_AFTER_S or cache.age_s() > MAX_RECEIVING_S:
                await self._fetch_from_peers()

    async def _fetch_from_peers(self) -> None:
        """Applies the newest of the peers' copies; no older one is in use in between.

        A process with client accounts applies each newer copy at once: waiting for a silent peer
        kept a withdrawn key valid for up to 3.2 s, and it has to be refused within 3 s.
        """
        addresses = [m.address for m in self._directory.members()]
        peer_addresses = [address for address in addresses if address != self._own_address]
        asked = random.sample(peer_addresses, min(PEERS_PER_FETCH, len(peer_addresses)))
        asking = [asyncio.create_task(self._ask_newest_change(address)) for address in asked]
        if self._operator_view.key_ring is not None:
            for reply in asyncio.as_completed(asking):
                await self._fetch_newest([await reply])
        else:
            await self._fetch_newest(await asyncio.gather(*asking))

    async def _ask_newest_change(self, address: str) -> tuple[int, str]:
        """Returns the newest change that a peer knows, 0 without a reply, and its address."""
        result = await self._client.fetch_view(address, ANY_CHANGE)
        return (0 if isinstance(result, Err) else result.ok_value.newest_change), address

    async def _fetch_newest(self, replies: Sequence[tuple[int, str]]) -> None:
        """Fetches and applies the copy with the newest change, if this one lacks it."""
        newest_change, address = max(replies, default=(0, ""))
        cache = self._operator_view.cache
        if newest_change <= cache.newest_change:
            return
        result = await self._client.fetch_view(address, cache.newest_change)
        if isinstance(result, Err) or not result.ok_value.entries:
            return
        view = result.ok_value
        if cache.replace_if_newer(view.entries, view.revision, view.newest_change):
            self._log.info(
                "operators' keys updated from a peer", neighbour=address, revision=view.revision
            )
