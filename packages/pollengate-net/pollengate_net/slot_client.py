"""Client with which a gate requests slots from the owners of zones, over gRPC."""

from grpclib.client import Channel
from pollengate.slots import SlotReply, SlotRequest
from result import Err, Ok, Result

from pollengate_net.calls import CallFailure, call_unary, open_channel
from pollengate_net.messages.slots_grpc import SlotsStub
from pollengate_net.slot_messages import slot_reply_from_message, slot_request_to_message

__all__ = ["SlotClient"]

CALL_TIMEOUT_S = 0.5


class SlotClient:
    """Client with one channel per owner; a channel is replaced after a failed call."""

    def __init__(self) -> None:
        self._channels_by_address: dict[str, Channel] = {}

    async def request_slots(
        self, address: str, request: SlotRequest, zone: str, epoch: int
    ) -> Result[SlotReply, CallFailure]:
        """Requests the renewal of a gate's grants in one zone.

        Args:
            address: `ip:port` of the zone's owner.
            request: the slots that the gate holds and wants.
            zone: the zone.
            epoch: epoch of the owner; the request fails if the called process has another one.
        """
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = self._channels_by_address[address] = open_channel(address)
        message = slot_request_to_message(request, zone, epoch)
        result = await call_unary(SlotsStub(channel).Ask, message, CALL_TIMEOUT_S)
        if isinstance(result, Err):
            self._discard_channel(address, channel)
            return result
        if not result.ok_value.accepted:
            return Err(
                CallFailure(
                    True,
                    f"process at {address} does not grant slots of zone {zone} at epoch {epoch}",
                )
            )
        return Ok(slot_reply_from_message(result.ok_value))

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    def _discard_channel(self, address: str, channel: Channel) -> None:
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
        channel.close()
