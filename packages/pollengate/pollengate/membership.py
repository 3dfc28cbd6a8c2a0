"""Registrations of gates and schedulers in the store, each bound to a lease."""

import dataclasses
import enum
import json
from collections.abc import Iterable

from pollengate.store import Entry, Listing

__all__ = [
    "MEMBERS_PREFIX",
    "MEMBER_LEASE_S",
    "Member",
    "MemberList",
    "Role",
    "find_admitting_gates",
    "decode_members",
    "encode_member",
    "member_key",
    "find_unfenced_schedulers",
]

MEMBERS_PREFIX = "/pollengate/members/"
# Outlasts a store outage of ten minutes, during which the members keep calling each other.
MEMBER_LEASE_S = 900
MEMBER_LEASE_MARGIN_S = 30.0


class Role(enum.StrEnum):
    """Role of a process."""

    GATE = "gate"
    SCHEDULER = "scheduler"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One registered process.

    Attributes:
        process_id: unique id, never reused.
        role: role of the process.
        zone: its availability zone.
        address: `ip:port` at which it serves peer calls.
        created_revision: store revision of its registration.
        known_revision: store revision of a member list that it has read, 0 before the first; it
            relies on that list or a later one.
    """

    process_id: str
    role: Role
    zone: str
    address: str
    created_revision: int = 0
    known_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberList:
    """The members as of one store revision, oldest registration first."""

    revision: int = 0
    members: tuple[Member, ...] = ()

    def gates(self) -> tuple[Member, ...]:
        """Returns the gates of every zone."""
        return tuple(m for m in self.members if m.role is Role.GATE)

    def schedulers(self, zone: str) -> tuple[Member, ...]:
        """Returns the schedulers of a zone."""
        return tuple(m for m in self.members if m.role is Role.SCHEDULER and m.zone == zone)

    def in_zone(self, zone: str) -> tuple[Member, ...]:
        """Returns every process of a zone."""
        return tuple(m for m in self.members if m.zone == zone)

    def find(self, process_id: str) -> Member | None:
        """Returns a member by its id."""
        return next((m for m in self.members if m.process_id == process_id), None)

    def has_same_members(self, other: "MemberList") -> bool:
        """Whether both lists contain the same registrations."""
        return [(m.process_id, m.created_revision) for m in self.members] == [
            (m.process_id, m.created_revision) for m in other.members
        ]


def member_key(process_id: str) -> str:
    """Returns the store key of a member's registration."""
    return f"{MEMBERS_PREFIX}{process_id}"


def encode_member(member: Member) -> bytes:
    """Encodes the value of a registration."""
    fields = {
        "role": member.role.value,
        "zone": member.zone,
        "address": member.address,
        "known_revision": member.known_revision,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_members(listing: Listing) -> MemberList:
    """Decodes a listing of the registrations."""
    members = sorted((_decode_member(e) for e in listing.entries), key=lambda m: m.created_revision)
    return MemberList(listing.revision, tuple(members))


def find_admitting_gates(listing: MemberList, gate_id: str) -> tuple[Member, ...]:
    """Returns the gates that can admit a new gate; one of them suffices, empty if none is needed.

    A scheduler relies on the grants of the gates that it knows. Before the new gate may accept a
    patch, one of these gates has to refuse grants to schedulers that don't know the new gate. The
    oldest gate is known to every scheduler that can still hold grants, and so is each gate that
    was registered before the earliest member list that a scheduler has recorded.

    Args:
        listing: the members, read by the new gate after its registration.
        gate_id: the process id of the new gate.
    """
    own = listing.find(gate_id)
    if own is None:
        return ()
    older = tuple(g for g in listing.gates() if g.created_revision < own.created_revision)
    known = [m.known_revision for m in listing.members if m.known_revision > 0]
    if not known:
        return older
    earliest = min(known)
    return older[:1] + tuple(g for g in older[1:] if g.created_revision <= earliest)


def find_unfenced_schedulers(
    listing: MemberList, zone: str, candidate_id: str, fencing_ids: Iterable[str]
) -> tuple[Member, ...]:
    """Returns the schedulers that may still renew their ownership by peer leases.

    A scheduler is fenced once it refuses grants itself, or once any process in the member list
    that it relies on refuses them: it needs the grants of all schedulers of its zone in that
    list.

    Args:
        listing: the members, read by the candidate after its registration.
        zone: the zone of the shard.
        candidate_id: the process that wants to take the shard.
        fencing_ids: ids of the processes that refuse grants, the candidate included.
    """
    fencing = [m for m in map(listing.find, fencing_ids) if m is not None]
    return tuple(
        other
        for other in listing.schedulers(zone)
        if other.process_id != candidate_id
        and other.known_revision > 0
        and not any(_fences(member, other) for member in fencing)
    )


def _fences(member: Member, scheduler: Member) -> bool:
    if member.process_id == scheduler.process_id:
        return True
    return member.created_revision <= scheduler.known_revision


def _decode_member(entry: Entry) -> Member:
    fields = json.loads(entry.value)
    return Member(
        process_id=entry.key.removeprefix(MEMBERS_PREFIX),
        role=Role(fields["role"]),
        zone=fields["zone"],
        address=fields["address"],
        created_revision=entry.created_revision,
        known_revision=fields["known_revision"],
    )
