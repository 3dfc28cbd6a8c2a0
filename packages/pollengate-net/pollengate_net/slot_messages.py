"""Conversion between slot messages and the data classes of the library."""

from pollengate.slots import SlotDemand, SlotGrant, SlotReply, SlotRequest

from pollengate_net.messages import slots_pb2 as pb

__all__ = [
    "slot_reply_from_message",
    "slot_reply_to_message",
    "slot_request_from_message",
    "slot_request_to_message",
]


def slot_request_to_message(request: SlotRequest, zone: str, epoch: int) -> pb.AskRequest:
    """Encodes a slot request to the owner of a zone at an epoch."""
    message = pb.AskRequest(
        zone=zone, epoch=epoch, gate_id=request.gate_id, sequence=request.sequence
    )
    for demand in request.demands:
        message.demands.add(
            backend_id=demand.backend_id,
            kept=demand.kept,
            wanted=demand.wanted,
            lasting_s=demand.lasting_s,
        )
    return message


def slot_request_from_message(message: pb.AskRequest) -> SlotRequest:
    """Decodes a slot request, without its zone and epoch."""
    demands = tuple(
        SlotDemand(d.backend_id, d.kept, d.wanted, tuple(d.lasting_s)) for d in message.demands
    )
    return SlotRequest(message.gate_id, message.sequence, demands)


def slot_reply_to_message(reply: SlotReply) -> pb.AskReply:
    """Encodes an accepted slot reply."""
    message = pb.AskReply(accepted=True, sequence=reply.sequence, ttl_s=reply.ttl_s)
    for grant in reply.grants:
        message.grants.add(backend_id=grant.backend_id, slots=grant.slots, target=grant.target)
    return message


def slot_reply_from_message(message: pb.AskReply) -> SlotReply:
    """Decodes an accepted slot reply."""
    grants = tuple(SlotGrant(g.backend_id, g.slots, g.target) for g in message.grants)
    return SlotReply(message.sequence, message.ttl_s, grants)
