"""Requests to services while backend servers, gates and grantors fail, on virtual time."""

import asyncio
import dataclasses
import random
import unittest
from collections.abc import Awaitable, Callable

from pollengate.backend_client import BackendRequest, BackendResponse, ExchangeFailure
from pollengate.configuration import Service
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.request_outcomes import FailurePoint, Sent
from pollengate.slots import GRANT_TTL_S, SlotGrantor
from pollengate.virtual_machines import VmState
from result import Err, Ok, Result

from tests.service_fleet import SERVICE, FleetGate, ServiceFleet, build_request
from tests.utils import run_virtual

TIMEOUT_MS = 500
LOAD_S = 6.0
RATE = 250.0
LEAVING_GRACE_S = 3.0

FaultInjector = Callable[[ServiceFleet], Awaitable[None]]


@dataclasses.dataclass
class Sample:
    """A request and its result."""

    request_id: str
    is_idempotent: bool
    result: Result[BackendResponse, Refusal]


def build_fault(
    point: FailurePoint, sent: Sent, every: int = 2
) -> Callable[[BackendRequest], object]:
    """Returns a fault that affects each request whose number is a multiple of `every`."""
    count = 0

    def fault(_: BackendRequest) -> ExchangeFailure | None:
        nonlocal count
        count += 1
        return ExchangeFailure(point, sent, "injected") if count % every == 0 else None

    return fault


async def run_load(
    fleet: ServiceFleet, inject_fault: FaultInjector, load_s: float = LOAD_S
) -> list[Sample]:
    """Sends idempotent and other requests to all running gates while a fault is injected."""
    await fleet.start()
    generator = random.Random(7)
    samples: list[Sample] = []

    async def send(gate: FleetGate) -> None:
        request = build_request(generator.random() < 0.5, TIMEOUT_MS)
        samples.append(
            Sample(request.request_id, request.is_idempotent, await gate.proxy.send(request))
        )

    injecting = asyncio.create_task(inject_fault(fleet))
    end = asyncio.get_running_loop().time() + load_s
    tasks = []
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(generator.expovariate(RATE))
        running = [gate for gate in fleet.gates if not gate.renewing.done()]
        tasks.append(asyncio.create_task(send(generator.choice(running))))
    await asyncio.gather(*tasks)
    await injecting
    await fleet.stop()
    return samples


class RequestFaultTest(unittest.TestCase):
    """One fault per test; each checks executions, outcomes and slots."""

    def run_cell(
        self, inject_fault: FaultInjector, fleet: ServiceFleet | None = None, load_s: float = LOAD_S
    ) -> list[Sample]:
        self.fleet = fleet or ServiceFleet(backends_per_zone=3, gates_per_zone=3)
        samples = run_virtual(run_load(self.fleet, inject_fault, load_s))
        executions = self.fleet.executions()
        for sample in samples:
            count = executions.get(sample.request_id, 0)
            if not sample.is_idempotent:
                self.assertLessEqual(count, 1, sample)
            if isinstance(sample.result, Err):
                if sample.result.err_value.outcome is Outcome.NOT_RUN:
                    self.assertEqual(0, count, sample)
            else:
                self.assertGreaterEqual(count, 1, sample)
                body = sample.result.ok_value.body.decode()
                self.assertEqual(sample.request_id, body.rpartition(".")[0])
        self.assertEqual(0, self.fleet.refused())
        return samples

    def refusals(self, samples: list[Sample]) -> list[Refusal]:
        return [s.result.err_value for s in samples if isinstance(s.result, Err)]

    def test_no_fault(self) -> None:
        async def nothing(_: ServiceFleet) -> None:
            return

        self.assertEqual([], self.refusals(self.run_cell(nothing)))

    def test_connect_refused(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            del fleet.backends_by_address["a1:80"]

        self.assertEqual([], self.refusals(self.run_cell(inject_fault)))

    def check_fault(self, point: FailurePoint, sent: Sent, is_before: bool) -> list[Sample]:
        async def inject_fault(fleet: ServiceFleet) -> None:
            name = "fail_before" if is_before else "fail_after"
            setattr(fleet.backend("a1"), name, build_fault(point, sent))

        samples = self.run_cell(inject_fault)
        for sample in samples:
            if isinstance(sample.result, Err):
                self.assertFalse(sample.is_idempotent, sample)
                self.assertEqual(Outcome.UNKNOWN, sample.result.err_value.outcome)
        return samples

    def test_reset_before_the_request(self) -> None:
        samples = self.check_fault(FailurePoint.CONNECT_FAILED, Sent.NOTHING, is_before=True)
        self.assertEqual([], self.refusals(samples))

    def test_reset_during_the_request(self) -> None:
        samples = self.check_fault(FailurePoint.CONNECTION_LOST, Sent.PART, is_before=True)
        self.assertNotEqual([], self.refusals(samples))

    def test_reset_after_the_request(self) -> None:
        self.check_fault(FailurePoint.CONNECTION_LOST, Sent.WHOLE, is_before=False)

    def test_truncated_response(self) -> None:
        self.check_fault(FailurePoint.ANSWER_CUT_SHORT, Sent.WHOLE, is_before=False)

    def test_response_of_wrong_length(self) -> None:
        self.check_fault(FailurePoint.ANSWER_MALFORMED, Sent.WHOLE, is_before=False)

    def test_responses_out_of_order(self) -> None:
        self.check_fault(FailurePoint.ANSWER_TO_ANOTHER_REQUEST, Sent.WHOLE, is_before=False)

    def test_late_responses(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.backend("a1").get_duration_s = lambda: 3.0

        samples = self.run_cell(inject_fault)
        self.assertLess(len(self.refusals(samples)), len(samples) / 10)

    def test_silent_connections(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.backend("a1").is_silent = True
            await asyncio.sleep(2.0)
            fleet.backend("a1").is_silent = False

        samples = self.run_cell(inject_fault)
        self.assertLess(len(self.refusals(samples)), len(samples) / 10)

    def test_slow_backend_server_receives_only_probes(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.backend("a1").get_duration_s = lambda: 0.3
            await asyncio.sleep(3.0)
            self.before = sum(fleet.backend("a1").executions_by_id.values())

        samples = self.run_cell(inject_fault)
        later = sum(self.fleet.backend("a1").executions_by_id.values()) - self.before
        self.assertLess(later, len(samples) / 50)
        self.assertEqual([], self.refusals(samples))

    def test_backend_server_that_fails_all_requests_receives_only_probes(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            point = FailurePoint.CONNECTION_LOST
            fleet.backend("a1").fail_after = build_fault(point, Sent.WHOLE, every=1)  # type: ignore[assignment]

        samples = self.run_cell(inject_fault)
        self.assertLess(len(self.refusals(samples)), len(samples) / 50)

    def test_recovered_backend_server_receives_requests_again(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            backend = fleet.backend("a1")
            backend.fail_after = build_fault(  # type: ignore[assignment]
                FailurePoint.CONNECTION_LOST, Sent.WHOLE, every=1
            )
            await asyncio.sleep(2.0)
            backend.fail_after = lambda _: None
            await asyncio.sleep(4.0)
            self.before = len(backend.executions_by_id)

        samples = self.run_cell(inject_fault, load_s=10.0)
        later = len(self.fleet.backend("a1").executions_by_id) - self.before
        self.assertGreater(later, len(samples) * 0.4 / 3 / 2)

    def test_draining_backend_server_that_is_still_listed_as_live(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.backend("a1").is_draining = True
            await asyncio.sleep(LEAVING_GRACE_S)
            self.before = fleet.backend("a1").refused

        self.fleet = ServiceFleet(backends_per_zone=3)
        self.fleet.refused = lambda: 0  # type: ignore[method-assign]
        samples = self.run_cell(inject_fault, self.fleet)
        self.assertEqual(self.before, self.fleet.backend("a1").refused)
        self.assertEqual([], self.refusals(samples))

    def test_backend_server_leaves_the_list(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            vm = fleet.machines_by_id["a1"]
            fleet.machines_by_id["a1"] = dataclasses.replace(vm, state=VmState.LEAVING)
            fleet.list_machines()
            await asyncio.sleep(LEAVING_GRACE_S)
            self.before = len(fleet.backend("a1").executions_by_id)

        samples = self.run_cell(inject_fault)
        self.assertEqual(self.before, len(self.fleet.backend("a1").executions_by_id))
        self.assertEqual([], self.refusals(samples))

    def test_gate_killed(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.gates[0].kill()
            await asyncio.sleep(GRANT_TTL_S + 2.0)
            self.held = await self.count_most_held(fleet, fleet.gates[1:])

        self.assertEqual([], self.refusals(self.run_cell(inject_fault, load_s=12.0)))
        self.assertEqual(3 * 8, self.held)

    def test_gate_cut_off_from_the_grantor(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.gates[0].is_cut = True
            await asyncio.sleep(GRANT_TTL_S + 2.0)
            self.held = await self.count_most_held(fleet, fleet.gates[1:])

        samples = self.run_cell(inject_fault, load_s=12.0)
        self.assertEqual(3 * 8, self.held)
        self.assertEqual({Reason.NO_SLOT}, {r.reason for r in self.refusals(samples)})

    def test_owner_replaced_before_grants_expire(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            del fleet.grantors_by_zone["a"]
            await asyncio.sleep(4.5)
            now = asyncio.get_running_loop().time()
            fleet.grantors_by_zone["a"] = SlotGrantor(now, is_first=False)

        self.assertEqual([], self.refusals(self.run_cell(inject_fault, load_s=20.0)))

    def test_gate_joins(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            fleet.gates.append(FleetGate(fleet, "gate-new", "a"))
            await asyncio.sleep(2.0)
            self.held = await self.count_most_held(fleet, fleet.gates[-1:])

        self.run_cell(inject_fault)
        self.assertGreaterEqual(self.held, 3 * 2)

    def test_configuration_changes_under_load(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            for slots in (4, 8, 6):
                await asyncio.sleep(1.0)
                fleet.slots = slots
                services = {SERVICE: Service(slots=slots)}
                changed = dataclasses.replace(fleet.configuration, services_by_name=services)
                for gate in fleet.gates:
                    gate.configuration_cache.current = changed

        self.assertEqual([], self.refusals(self.run_cell(inject_fault)))

    def test_zone_without_backend_servers_uses_another(self) -> None:
        async def inject_fault(fleet: ServiceFleet) -> None:
            for number in range(3):
                del fleet.machines_by_id[f"a{number}"]
            fleet.list_machines()

        fleet = ServiceFleet(backends_per_zone=3, gates_per_zone=1, zones=("a", "b"))
        samples = self.run_cell(inject_fault, fleet)
        self.assertLess(len(self.refusals(samples)), len(samples) / 50)

    def test_queued_request_is_not_run_after_its_caller_disconnects(self) -> None:
        async def disconnect() -> None:
            await asyncio.sleep(0.02)

        async def main() -> tuple[ServiceFleet, Result[BackendResponse, Refusal]]:
            fleet = ServiceFleet(backends_per_zone=1, gates_per_zone=1)
            await fleet.start()
            fleet.backend("a0").get_duration_s = lambda: 0.3
            gate = fleet.gates[0]
            busy = [asyncio.create_task(gate.send(timeout_ms=2000)) for _ in range(8)]
            await asyncio.sleep(0.01)
            result = await gate.send(timeout_ms=2000, wait_for_disconnect=disconnect)
            await asyncio.gather(*busy)
            await fleet.stop()
            return fleet, result

        fleet, result = run_virtual(main())
        self.assertEqual(Reason.CALLER_GONE, result.unwrap_err().reason)
        self.assertEqual(8, len(fleet.executions()))

    def test_request_is_refused_at_once_if_it_cannot_meet_its_deadline(self) -> None:
        async def main() -> tuple[Result[BackendResponse, Refusal], float]:
            fleet = ServiceFleet(backends_per_zone=1, gates_per_zone=1)
            await fleet.start()
            gate, loop = fleet.gates[0], asyncio.get_running_loop()
            await asyncio.gather(*(gate.send() for _ in range(50)))
            busy = [asyncio.create_task(gate.send(timeout_ms=5000)) for _ in range(400)]
            await asyncio.sleep(0.01)
            requested_at = loop.time()
            result = await gate.send(timeout_ms=100)
            waited_s = loop.time() - requested_at
            await asyncio.gather(*busy)
            await fleet.stop()
            return result, waited_s

        result, waited_s = run_virtual(main())
        self.assertEqual(Reason.DEADLINE_TOO_SHORT, result.unwrap_err().reason)
        self.assertIsNotNone(result.unwrap_err().retry_after_s)
        self.assertEqual(0.0, waited_s)

    def test_long_request_holds_its_slot_after_the_grant_expires(self) -> None:
        async def main() -> int:
            fleet = ServiceFleet(backends_per_zone=1, gates_per_zone=1)
            await fleet.start()
            fleet.backend("a0").get_duration_s = lambda: 30.0
            sending = asyncio.create_task(fleet.gates[0].send(timeout_ms=40_000))
            await asyncio.sleep(1.0)
            fleet.gates[0].kill()
            await asyncio.sleep(2 * GRANT_TTL_S)
            held = fleet.grantors_by_zone["a"].held("a0", asyncio.get_running_loop().time())
            self.assertIsInstance(await sending, Ok)
            return held

        self.assertEqual(1, run_virtual(main()))

    async def count_most_held(self, fleet: ServiceFleet, gates: list[FleetGate]) -> int:
        """Returns the highest number of held slots in one second of samples.

        A slot in transit between gates is held by none of them, so that one sample may be too low.
        """
        most = 0
        for _ in range(20):
            most = max(most, self.count_held_slots(fleet, gates))
            await asyncio.sleep(0.05)
        return most

    def count_held_slots(self, fleet: ServiceFleet, gates: list[FleetGate]) -> int:
        now = asyncio.get_running_loop().time()
        return sum(
            slots.held
            for gate in gates
            for slots in gate.slot_manager.slots("a").slots_by_backend.values()
            if now < slots.expires_at
        )
