"""Tests of the slots that are granted to gates."""

import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from pollengate.slots import (
    GRANT_TTL_S,
    GateSlots,
    SlotDemand,
    SlotGrantor,
    SlotReply,
    SlotRequest,
    fair_shares,
)

SLOTS = 8
BACKEND = "b0"
LISTED = {BACKEND: SLOTS}
DELAY_S = 0.01


def exchange(gate: GateSlots, grantor: SlotGrantor, wanted: int, now: float) -> bool:
    """Sends a slot request and applies the reply without delay."""
    return gate.apply_reply(grantor.handle(gate.next_request({BACKEND: wanted}, now), LISTED, now))


class FairSharesTest(unittest.TestCase):
    """Fair split of one backend server's slots."""

    def test_slots_that_no_gate_wants_are_split_evenly(self) -> None:
        shares = fair_shares(8, {"a": 0, "b": 0, "c": 0}, 1)
        self.assertEqual([2, 3, 3], sorted(shares.values()))

    def test_busy_gate_gets_what_the_others_leave(self) -> None:
        self.assertEqual({"a": 6, "b": 1, "c": 1}, fair_shares(8, {"a": 20, "b": 1, "c": 1}, 0))

    @settings(derandomize=True, max_examples=200)
    @given(
        st.integers(0, 40),
        st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 30), min_size=1),
        st.integers(0, 9),
    )
    def test_split_is_complete_and_fair(
        self, slots: int, wanted: dict[str, int], rotation: int
    ) -> None:
        shares = fair_shares(slots, wanted, rotation)
        self.assertEqual(slots, sum(shares.values()))
        lacking = [shares[gate] for gate in wanted if shares[gate] < wanted[gate]]
        over = [shares[gate] for gate in wanted if shares[gate] > wanted[gate]]
        self.assertFalse(lacking and over)
        self.assertLessEqual(max(lacking, default=0) - min(lacking, default=0), 1)


class GrantorTest(unittest.TestCase):
    """Grants, recalls and expired grants."""

    def setUp(self) -> None:
        self.grantor = SlotGrantor(0.0, is_first=True)
        self.first = GateSlots("g1")
        self.second = GateSlots("g2")

    def test_lone_gate_gets_every_slot(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        self.assertEqual(SLOTS, self.first.get_or_create(BACKEND).free(0.1))

    def test_second_gate_gets_its_share_once_the_first_has_released_it(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        exchange(self.second, self.grantor, 1, 0.1)
        self.assertEqual(0, self.second.get_or_create(BACKEND).held)
        self.assertTrue(exchange(self.first, self.grantor, 1, 0.2))
        self.assertFalse(exchange(self.first, self.grantor, 1, 0.2))
        exchange(self.second, self.grantor, 1, 0.3)
        self.assertEqual(4, self.second.get_or_create(BACKEND).held)

    def test_slots_in_use_are_released_when_they_become_free(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        for _ in range(SLOTS):
            self.first.occupy(BACKEND)
        exchange(self.second, self.grantor, 1, 0.1)
        exchange(self.first, self.grantor, 1, 0.2)
        self.assertEqual(SLOTS, self.first.get_or_create(BACKEND).held)
        self.assertEqual(0, self.first.get_or_create(BACKEND).free(0.2))
        for _ in range(SLOTS):
            self.first.release(BACKEND)
        self.assertLess(self.first.get_or_create(BACKEND).held, SLOTS)

    def test_slots_of_a_dead_gate_are_granted_again_after_its_grant_has_expired(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        exchange(self.second, self.grantor, 1, GRANT_TTL_S)
        self.assertEqual(0, self.second.get_or_create(BACKEND).held)
        exchange(self.second, self.grantor, 1, GRANT_TTL_S + 1)
        self.assertEqual(SLOTS, self.second.get_or_create(BACKEND).held)

    def test_grant_counts_from_when_it_was_requested(self) -> None:
        request = self.first.next_request({BACKEND: 1}, 0.0)
        self.first.apply_reply(self.grantor.handle(request, LISTED, GRANT_TTL_S - 1))
        self.assertEqual(0, self.first.get_or_create(BACKEND).free(GRANT_TTL_S))

    def test_long_request_keeps_its_slot_after_the_grant_has_expired(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        self.first.occupy(BACKEND)
        self.first.add_long_request(BACKEND, 1, 60.0)
        exchange(self.first, self.grantor, 1, 0.1)
        self.assertEqual(1, self.grantor.held(BACKEND, 59.0))
        exchange(self.second, self.grantor, 1, 30.0)
        self.assertEqual(SLOTS - 1, self.second.get_or_create(BACKEND).held)
        self.assertEqual(SLOTS, self.grantor.held(BACKEND, 31.0))

    def test_late_request_changes_nothing(self) -> None:
        late = self.first.next_request({BACKEND: 1}, 0.0)
        exchange(self.first, self.grantor, 1, 0.1)
        self.assertEqual(0.0, self.grantor.handle(late, LISTED, 0.2).ttl_s)

    def test_reply_to_an_earlier_request_is_ignored(self) -> None:
        reply = self.grantor.handle(self.first.next_request({BACKEND: 1}, 0.0), LISTED, 0.0)
        self.first.next_request({BACKEND: 1}, 0.1)
        self.first.apply_reply(reply)
        self.assertEqual(0, self.first.get_or_create(BACKEND).held)

    def test_successor_renews_what_is_reported_and_grants_no_more(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        successor = SlotGrantor(1.0, is_first=False)
        exchange(self.second, successor, 1, 1.1)
        exchange(self.first, successor, 1, 1.2)
        self.assertEqual(0, self.second.get_or_create(BACKEND).held)
        self.assertEqual(4, self.first.get_or_create(BACKEND).held)
        for now in range(2, 2 + int(GRANT_TTL_S)):
            exchange(self.first, successor, 1, now)
            exchange(self.second, successor, 1, now)
        self.assertEqual(0, self.second.get_or_create(BACKEND).held)
        exchange(self.second, successor, 1, 1.5 + GRANT_TTL_S)
        self.assertEqual(4, self.second.get_or_create(BACKEND).held)

    def test_reduced_slot_count_is_applied(self) -> None:
        exchange(self.first, self.grantor, 1, 0.0)
        request = self.first.next_request({BACKEND: 1}, 0.1)
        self.first.apply_reply(self.grantor.handle(request, {BACKEND: 3}, 0.1))
        self.assertEqual(3, self.first.get_or_create(BACKEND).free(0.1))

    def test_reported_slots_never_exceed_the_backend_server_after_a_takeover(self) -> None:
        successor = SlotGrantor(0.0, is_first=False)
        for gate_id in ("g1", "g2", "g3"):
            request = SlotRequest(gate_id, 1, (SlotDemand(BACKEND, 5, 5),))
            successor.handle(request, LISTED, 0.1)
        self.assertEqual(SLOTS, successor.held(BACKEND, 0.2))


WEIGHT_BY_STEP = {
    "send_request": 6,
    "deliver_request": 6,
    "deliver_reply": 6,
    "lose_reply": 1,
    "start_request": 12,
    "advance_clock": 2,
    "replace_grantor": 0.3,
}
WALK_COUNT = 300
STEPS_PER_WALK = 250


class RandomWalk:
    """Gates and a grantor whose messages are delayed, lost or reordered.

    A running request ends at its deadline even if its gate fails. The gates are chosen with
    different odds; one that rarely sends requests stands for a frozen or partitioned gate.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self.gates = [GateSlots(f"g{number}") for number in range(3)]
        self.grantor = SlotGrantor(self.now, is_first=True)
        self.generation = 0
        self.requests: list[tuple[int, SlotRequest, int]] = []
        self.replies: list[tuple[int, SlotReply]] = []
        self.running: list[tuple[int, float]] = []
        self.peak_running = 0

    def step(self, name: str) -> None:
        """Executes one step and then ends the running requests whose deadline has passed."""
        self.now += self.random.random() / 100
        index = int(self.random.triangular(0, len(self.gates), 0))
        getattr(self, name)(min(index, 2))
        for entry in [entry for entry in self.running if entry[1] <= self.now]:
            self.running.remove(entry)
            self.gates[entry[0]].release(BACKEND)
        self.peak_running = max(self.peak_running, len(self.running))

    def send_request(self, index: int) -> None:
        request = self.gates[index].next_request({BACKEND: self.random.randrange(SLOTS)}, self.now)
        self.requests.append((index, request, self.generation))

    def deliver_request(self, _: int) -> None:
        if self.requests:
            sender, request, generation = self.requests.pop(self._pick_index(self.requests))
            if generation == self.generation:
                self.replies.append((sender, self.grantor.handle(request, LISTED, self.now)))

    def deliver_reply(self, _: int) -> None:
        if self.replies:
            receiver, reply = self.replies.pop(self._pick_index(self.replies))
            self.gates[receiver].apply_reply(reply)

    def lose_reply(self, _: int) -> None:
        if self.replies:
            self.replies.pop(self._pick_index(self.replies))

    def start_request(self, index: int) -> None:
        slots = self.gates[index].get_or_create(BACKEND)
        if slots.free(self.now):
            self.gates[index].occupy(BACKEND)
            end = self.now + self.random.random() * 4
            self.running.append((index, min(slots.expires_at, end)))

    def advance_clock(self, _: int) -> None:
        self.now += self.random.random() * 4

    def replace_grantor(self, _: int) -> None:
        self.grantor = SlotGrantor(self.now, is_first=False)
        self.generation += 1

    def _pick_index(self, messages: list[Any]) -> int:
        return -1 if self.random.random() < 0.8 else self.random.randrange(len(messages))


class SafetyTest(unittest.TestCase):
    """The number of requests at a backend server never exceeds its slots."""

    def test_running_requests_never_exceed_the_slots(self) -> None:
        peak = 0
        for seed in range(WALK_COUNT):
            walk = RandomWalk(seed)
            names = walk.random.choices(
                list(WEIGHT_BY_STEP), list(WEIGHT_BY_STEP.values()), k=STEPS_PER_WALK
            )
            for name in names:
                walk.step(name)
            self.assertLessEqual(walk.peak_running, SLOTS, f"seed {seed}")
            peak = max(peak, walk.peak_running)
        self.assertEqual(SLOTS, peak)
