"""Slots of backend servers, granted to gates for a limited time.

A slot allows a gate to run one request at a time on a backend server. The owner of a zone grants
the slots. The lifetime of a grant starts at the gate when it sends its request, and at the owner
when it replies; the owner also adds a margin. A grant has therefore expired at the gate before the
owner grants the same slots again.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence

__all__ = [
    "GRANT_TTL_S",
    "BackendSlots",
    "GateSlots",
    "SlotReply",
    "SlotRequest",
    "SlotDemand",
    "SlotGrant",
    "SlotGrantor",
    "fair_shares",
    "slot_reserve",
    "spread_evenly",
]

GRANT_TTL_S = 8.0
CLOCK_MARGIN_S = 0.4
RESERVE_STANDARD_DEVIATIONS = 0.5
MIN_RESERVE_SLOTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class SlotDemand:
    """The slots of one backend server that a gate holds and wants.

    Attributes:
        backend_id: the backend server.
        kept: slots that the gate holds; it uses no more than these until it gets the reply.
        wanted: slots that the gate could use now.
        lasting_s: seconds until the deadline of each request that may outlast the grant.
    """

    backend_id: str
    kept: int
    wanted: int
    lasting_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A gate's request to renew all its grants in one zone.

    The gate releases its slots of all backend servers that the request does not name.

    Attributes:
        gate_id: the gate process.
        sequence: increases with each request of the gate.
        demands: one per backend server.
    """

    gate_id: str
    sequence: int
    demands: tuple[SlotDemand, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGrant:
    """A grant of slots of one backend server to a gate.

    Attributes:
        backend_id: the backend server.
        slots: slots that the gate may use until the grant expires.
        target: slots that the gate should keep; it releases the others as they become free.
    """

    backend_id: str
    slots: int
    target: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReply:
    """The reply to a `SlotRequest`.

    Attributes:
        sequence: sequence of the request.
        ttl_s: lifetime of the grants in seconds, counted from when the gate sent the request;
            0 if the request was rejected for not being newer than the gate's last one.
        grants: one per backend server that the request names.
    """

    sequence: int
    ttl_s: float
    grants: tuple[SlotGrant, ...]


def fair_shares(slots: int, wanted_by_gate: Mapping[str, int], rotation: int) -> dict[str, int]:
    """Splits slots by max-min fairness: no gate exceeds its demand while another lacks slots.

    Slots that no gate wants are split evenly.

    Args:
        slots: slots to split.
        wanted_by_gate: demand of each gate.
        rotation: position of the gate that is served first, so that the remainder of an uneven
            split does not always go to the same gates.
    """
    gates = sorted(wanted_by_gate)
    if not gates:
        return {}
    first = rotation % len(gates)
    gates = gates[first:] + gates[:first]
    shares = dict.fromkeys(gates, 0)
    remaining = slots
    for is_wanted in (True, False):
        while remaining > 0:
            candidates = [g for g in gates if not is_wanted or shares[g] < wanted_by_gate[g]]
            if not candidates:
                break
            for gate in candidates[:remaining]:
                shares[gate] += 1
            remaining -= min(remaining, len(candidates))
    return shares


def slot_reserve(busy: int) -> int:
    """Returns the number of free slots to keep for the variation of the load.

    The standard deviation is taken to be the square root of `busy`, the slots in use.
    """
    return math.ceil(RESERVE_STANDARD_DEVIATIONS * math.sqrt(busy)) + MIN_RESERVE_SLOTS


def spread_evenly(needed: int, backend_ids: Sequence[str]) -> dict[str, int]:
    """Splits `needed` slots over backend servers as evenly as possible."""
    share, remainder = divmod(needed, len(backend_ids))
    return {
        backend_id: share + (number < remainder) for number, backend_id in enumerate(backend_ids)
    }


@dataclasses.dataclass(slots=True)
class _GrantRecord:
    slots: int
    wanted: int
    expires_at: float
    request_deadlines: tuple[float, ...]

    def held(self, now: float) -> int:
        if now < self.expires_at:
            return self.slots
        return sum(until > now for until in self.request_deadlines)


class SlotGrantor:
    """Grants the slots of one zone's backend servers to gates.

    A new grantor does not know the grants of its predecessor. Until these have expired, it only
    renews the slots that gates report and grants no others.
    """

    def __init__(self, now: float, is_first: bool) -> None:
        """Creates the grantor.

        Args:
            now: loop time at which this process begins to grant slots.
            is_first: whether no other process has granted slots of the zone before.
        """
        self._recovering_until = now if is_first else now + GRANT_TTL_S + CLOCK_MARGIN_S
        self._records_by_backend: dict[str, dict[str, _GrantRecord]] = {}
        self._sequences_by_gate: dict[str, int] = {}

    def handle(
        self, request: SlotRequest, slots_by_backend: Mapping[str, int], now: float
    ) -> SlotReply:
        """Renews, grants and recalls the slots of one gate.

        Args:
            request: the slots that the gate holds and wants.
            slots_by_backend: total slots of each live backend server of the zone.
            now: loop time.
        """
        if request.sequence <= self._sequences_by_gate.get(request.gate_id, 0):
            return SlotReply(request.sequence, 0.0, ())
        self._sequences_by_gate[request.gate_id] = request.sequence
        self._remove_unused_records(request, now)
        grants = []
        for demand in request.demands:
            slots = slots_by_backend.get(demand.backend_id, 0)
            grants.append(self._grant(request.gate_id, demand, slots, now))
        return SlotReply(request.sequence, GRANT_TTL_S, tuple(grants))

    def held(self, backend_id: str, now: float) -> int:
        """Returns the number of slots of a backend server that gates may be using."""
        records = self._records_by_backend.get(backend_id, {})
        return sum(record.held(now) for record in records.values())

    def _remove_unused_records(self, request: SlotRequest, now: float) -> None:
        named = {demand.backend_id for demand in request.demands}
        for backend_id, records in list(self._records_by_backend.items()):
            if backend_id not in named:
                records.pop(request.gate_id, None)
            for gate_id in [g for g, record in records.items() if record.held(now) == 0]:
                if gate_id != request.gate_id and now >= records[gate_id].expires_at:
                    del records[gate_id]
            if not records:
                del self._records_by_backend[backend_id]

    def _grant(self, gate_id: str, demand: SlotDemand, slots: int, now: float) -> SlotGrant:
        records = self._records_by_backend.setdefault(demand.backend_id, {})
        others = sum(r.held(now) for g, r in records.items() if g != gate_id)
        kept = self._confirmed_slots(records.get(gate_id), demand.kept, slots - others, now)
        wanted_by_gate = {g: r.wanted for g, r in records.items() if now < r.expires_at}
        wanted_by_gate[gate_id] = demand.wanted
        target = fair_shares(slots, wanted_by_gate, _rotation_of(demand.backend_id))[gate_id]
        granted = kept
        if now >= self._recovering_until:
            granted = max(kept, min(target, slots - others))
        records[gate_id] = _GrantRecord(
            granted,
            demand.wanted,
            now + GRANT_TTL_S + CLOCK_MARGIN_S,
            tuple(now + remaining_s + CLOCK_MARGIN_S for remaining_s in demand.lasting_s),
        )
        return SlotGrant(demand.backend_id, granted, target)

    def _confirmed_slots(
        self, record: _GrantRecord | None, kept: int, free: int, now: float
    ) -> int:
        if record is not None and now < record.expires_at:
            return min(kept, record.slots)
        if now < self._recovering_until:
            return max(0, min(kept, free))
        return 0


def _rotation_of(backend_id: str) -> int:
    return sum(backend_id.encode())


@dataclasses.dataclass(slots=True)
class BackendSlots:
    """The slots of one backend server that a gate holds.

    Attributes:
        held: slots that the gate may use.
        target: slots that the gate should keep.
        in_use: slots that are occupied by requests.
        expires_at: loop time at which the grant expires.
    """

    held: int = 0
    target: int = 0
    in_use: int = 0
    expires_at: float = 0.0

    def free(self, now: float) -> int:
        """Returns the number of slots that new requests may occupy now."""
        if now >= self.expires_at:
            return 0
        return max(0, min(self.held, self.target) - self.in_use)

    def shrink(self) -> None:
        """Releases free slots above the target."""
        self.held = min(self.held, max(self.in_use, self.target))


class GateSlots:
    """The slots that a gate holds in one zone."""

    def __init__(self, gate_id: str) -> None:
        self._gate_id = gate_id
        self._sequence = 0
        self._requested_at = 0.0
        self.slots_by_backend: dict[str, BackendSlots] = {}
        self._deadlines_by_backend: dict[str, dict[int, float]] = {}

    def get_or_create(self, backend_id: str) -> BackendSlots:
        """Returns the slots of a backend server, a new record with none if it is unknown."""
        return self.slots_by_backend.setdefault(backend_id, BackendSlots())

    def occupy(self, backend_id: str) -> None:
        """Marks one more slot of a backend server as occupied."""
        self.get_or_create(backend_id).in_use += 1

    def release(self, backend_id: str) -> None:
        """Frees an occupied slot; it is no longer held if it is above the target."""
        slots = self.get_or_create(backend_id)
        slots.in_use -= 1
        slots.shrink()

    def add_long_request(self, backend_id: str, request_number: int, deadline: float) -> None:
        """Records a request that may outlast its grant; later slot requests report it to the owner.

        Args:
            backend_id: the backend server that runs the request.
            request_number: identifies the request at this gate.
            deadline: loop time by which the request ends.
        """
        self._deadlines_by_backend.setdefault(backend_id, {})[request_number] = deadline

    def remove_long_request(self, backend_id: str, request_number: int) -> None:
        """Removes a request that was added by `add_long_request`."""
        requests = self._deadlines_by_backend.get(backend_id, {})
        requests.pop(request_number, None)
        if not requests:
            self._deadlines_by_backend.pop(backend_id, None)

    def next_request(self, wanted_by_backend: Mapping[str, int], now: float) -> SlotRequest:
        """Returns the next slot request; replies to earlier ones are ignored from now on.

        Args:
            wanted_by_backend: demand for slots of each backend server that the gate may use.
            now: loop time.
        """
        self._sequence += 1
        self._requested_at = now
        self._forget_unused(wanted_by_backend)
        for backend_id in wanted_by_backend:
            self.get_or_create(backend_id)
        demands = tuple(
            self._demand(backend_id, slots, wanted_by_backend.get(backend_id, 0), now)
            for backend_id, slots in sorted(self.slots_by_backend.items())
        )
        return SlotRequest(self._gate_id, self._sequence, demands)

    def apply_reply(self, reply: SlotReply) -> bool:
        """Applies a reply.

        Returns:
            Whether some granted slots were released at once; a new slot request must report this.
        """
        if reply.sequence != self._sequence or reply.ttl_s <= 0:
            return False
        has_shrunk = False
        for grant in reply.grants:
            slots = self.get_or_create(grant.backend_id)
            slots.held, slots.target = grant.slots, grant.target
            slots.expires_at = self._requested_at + reply.ttl_s
            slots.shrink()
            has_shrunk = has_shrunk or slots.held < grant.slots
        return has_shrunk

    def _demand(self, backend_id: str, slots: BackendSlots, wanted: int, now: float) -> SlotDemand:
        kept = slots.held if now < slots.expires_at else 0
        deadlines = self._deadlines_by_backend.get(backend_id, {}).values()
        lasting_s = tuple(math.ceil(end - now) for end in deadlines if end > now)
        return SlotDemand(backend_id, kept, wanted, lasting_s)

    def _forget_unused(self, wanted: Mapping[str, int]) -> None:
        for backend_id, slots in list(self.slots_by_backend.items()):
            if backend_id not in wanted and slots.in_use == 0:
                del self.slots_by_backend[backend_id]
