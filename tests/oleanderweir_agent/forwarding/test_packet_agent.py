from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import pytest
import trio
import trio.testing

from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding import ProbeOutcome
from oleanderweir_agent.forwarding.agent_program import AgentProgram
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.forwarding import BackendProbe


KEY = make_key(1)
OPENING = encode_packet(KEY, is_opening=True)
OPENED = encode_packet(KEY, is_opening=True, is_acknowledging=True, sequence=5)
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=6)
ANSWER = encode_packet(KEY, payload_bytes=600, is_acknowledging=True)


def encode_returned(**fields: object) -> bytes:
    return encode_packet(KEY, is_returned=True, **fields)  # type: ignore[arg-type]


async def test_packets_are_forwarded_in_both_directions() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST, version=1)
    bench.agent.on_backend_packet(ANSWER)

    assert bench.to_backend() == [OPENING, REQUEST]
    assert bench.to_callers() == [OPENED, ANSWER]


async def test_a_draining_backend_server_gets_no_opening_packet() -> None:
    bench = AgentBench()
    draining = backend_document(host="10.0.0.1", state="draining")
    publish(bench.register, backends={"b1": draining})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.DRAINING, data=OPENING)
    ]


async def test_an_opening_packet_for_a_route_of_another_service_is_returned() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=5)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.NO_ROUTE, data=OPENING)
    ]


async def test_an_opening_packet_of_a_balancer_with_newer_state_is_forwarded() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=6)

    assert bench.to_backend() == [OPENING]


async def test_a_packet_of_an_unknown_flow_is_forwarded_to_check_ownership() -> None:
    bench = AgentBench()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_backend() == [REQUEST]
    assert bench.to_peers() == []

    bench.agent.on_backend_packet(ANSWER)
    assert bench.to_peers() == [OwnerNotice(key=KEY)]


async def test_a_flow_whose_packet_the_backend_server_returned_is_denied() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.to_backend()

    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert bench.to_peers() == [denial]
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_backend() == []
    assert bench.to_peers() == [denial]


async def test_a_query_is_forwarded_even_if_its_route_has_another_service() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.QUERY, REQUEST, version=5)

    assert bench.to_backend() == [REQUEST]


async def test_only_a_query_forwards_an_unknown_flow_of_another_service() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST, version=5)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.NOT_TRIED, data=REQUEST)
    ]


async def test_a_rejected_opening_packet_is_returned() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    bench.agent.on_backend_packet(encode_returned(is_opening=True))

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.FULL, data=OPENING)]


async def test_an_unanswered_opening_packet_is_returned(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    await bench.pass_time(0.15)

    messages = bench.to_peers()
    assert ReturnedPacket(reason=ReturnReason.UNANSWERED, data=OPENING) in messages


async def test_reports_count_requests_in_flight(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    await bench.pass_time(0.1)
    reports = [
        message for message in bench.to_peers() if isinstance(message, LoadReport)
    ]
    assert reports[-1].busy == 1

    bench.agent.on_backend_packet(ANSWER)
    await bench.pass_time(0.1)

    reports = [
        message for message in bench.to_peers() if isinstance(message, LoadReport)
    ]
    assert reports[-1].busy == 0
    assert reports[-1].service_ms == 100.0


def open_flow(bench: AgentBench, number: int) -> None:
    key = make_key(number)
    bench.deliver(DeliveryPurpose.OPEN, encode_packet(key, is_opening=True))
    bench.agent.on_backend_packet(
        encode_packet(key, is_opening=True, is_acknowledging=True)
    )


def request(number: int, *, sequence: int = 1) -> bytes:
    return encode_packet(make_key(number), payload_bytes=900, sequence=sequence)


def answer(number: int) -> bytes:
    return encode_packet(make_key(number), payload_bytes=600, is_acknowledging=True)


async def test_requests_beyond_the_slots_are_queued_until_an_answer() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.agent.on_state_change()
    for number in range(1, 8):
        open_flow(bench, number)
    bench.to_backend()

    for number in range(1, 8):
        bench.deliver(DeliveryPurpose.CONTINUE, request(number), version=1)

    # Four slots, and one spare request that starts as soon as a slot is free.
    assert len(bench.to_backend()) == 5
    bench.agent.on_backend_packet(answer(1))
    assert bench.to_backend() == [request(6)]


async def test_a_copy_of_an_answered_request_holds_no_slot() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)
    bench.agent.on_backend_packet(answer(1))
    bench.to_backend()

    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)

    assert bench.agent.dispatcher.meter.busy == 0
    assert bench.to_backend() == [request(1)]


async def test_a_second_request_of_a_flow_is_counted() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)
    bench.agent.on_backend_packet(answer(1))

    bench.deliver(DeliveryPurpose.CONTINUE, request(1, sequence=901), version=1)

    assert bench.agent.dispatcher.meter.busy == 1


async def test_a_request_whose_caller_closed_the_flow_holds_no_slot() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)

    closing = encode_packet(make_key(1), is_final=True, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, closing, version=1)

    assert bench.agent.dispatcher.meter.busy == 0


async def test_a_request_without_an_answer_frees_its_slot_after_its_timeout(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)

    await bench.pass_time(2.1)

    assert bench.agent.dispatcher.meter.busy == 0


async def test_the_record_of_the_newest_incarnation_is_used() -> None:
    bench = AgentBench()
    old = backend_document(host="10.0.0.1", started_at_ms=1000)
    publish(bench.register, backends={"b1": old})
    bench.agent.on_state_change()
    open_flow(bench, 1)
    new = backend_document(host="10.0.0.1", started_at_ms=2000)
    publish(bench.register, backends={"b1": old, "b2": new}, revision=11)
    bench.agent.on_state_change()

    publish(bench.register, backends={"b2": new, "b1": old}, revision=12)
    bench.agent.on_state_change()

    assert bench.agent.backend_started_at_ms == 2000


async def test_an_established_flow_whose_packet_is_returned_is_lost() -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_peers()

    again = request(1, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, again)
    bench.agent.on_backend_packet(
        encode_packet(make_key(1), is_returned=True, payload_bytes=900, sequence=901)
    )

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.LOST, data=again)]


async def simulate_backend_crash(bench: AgentBench) -> None:
    """Leave opening packets unanswered until the backend server counts as down."""
    for number in (101, 102, 103):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN, opening)
        await bench.pass_time(0.3)
    bench.to_peers()


async def test_a_query_is_denied_when_the_backend_server_is_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    await simulate_backend_crash(bench)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    await bench.pass_time(0.1)

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert denial in bench.to_peers()


async def test_a_query_is_not_denied_without_a_sign_of_a_crash(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    await bench.pass_time(2.0)

    assert not [
        message for message in bench.to_peers() if isinstance(message, ReturnedPacket)
    ]


async def test_flows_of_a_backend_server_that_is_down_are_lost(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    await simulate_backend_crash(bench)

    again = request(1, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, again)

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.LOST, data=again)]


async def test_a_long_request_alone_does_not_mark_the_backend_server_as_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))

    await bench.pass_time(1.5)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))

    assert bench.to_backend()[-1] == request(1)


def acknowledge(number: int, *, up_to: int) -> bytes:
    return encode_packet(make_key(number), is_acknowledging=True, acknowledged=up_to)


async def test_a_request_of_a_query_holds_one_slot_until_it_is_answered() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    meter = bench.agent.dispatcher.meter
    bench.deliver(DeliveryPurpose.QUERY, request(1), version=1)
    bench.agent.on_backend_packet(acknowledge(1, up_to=901))
    assert meter.busy == 1

    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)
    assert meter.busy == 1

    bench.agent.on_backend_packet(answer(1))
    assert meter.busy == 0


async def test_a_queued_copy_of_acknowledged_bytes_is_dropped() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    for number in range(1, 8):
        open_flow(bench, number)
        bench.deliver(DeliveryPurpose.CONTINUE, request(number), version=1)
    assert len(bench.agent.dispatcher.queue) == 2

    # The backend server received the request of flow 7 before the agent was started.
    bench.agent.on_backend_packet(acknowledge(7, up_to=901))

    assert len(bench.agent.dispatcher.queue) == 1


async def test_a_query_is_denied_when_the_backend_server_is_no_longer_published(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(3.0)
    bench.to_peers()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == []
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert denial in bench.to_peers()


async def test_a_brief_removal_of_the_published_record_is_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(1.5)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]


async def test_an_unpublished_backend_server_that_sends_packets_gets_queries(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(3.0)
    bench.agent.on_backend_packet(answer(2))

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert REQUEST in bench.to_backend()


def saturate(bench: AgentBench) -> None:
    """Fill the slots, and queue as many requests."""
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.agent.on_state_change()
    slots = bench.agent.dispatcher.meter.slots
    for number in range(1, 2 * slots + 2):
        open_flow(bench, number)
        bench.deliver(DeliveryPurpose.CONTINUE, request(number))
    bench.to_peers()


async def test_a_saturated_agent_returns_new_flows_with_a_load_report() -> None:
    bench = AgentBench()
    saturate(bench)
    opening = encode_packet(make_key(99), is_opening=True)

    bench.deliver(DeliveryPurpose.OPEN, opening)

    report, returned_opening = bench.to_peers()
    assert isinstance(report, LoadReport)
    assert report.busy > bench.agent.dispatcher.meter.slots
    assert returned_opening == ReturnedPacket(reason=ReturnReason.BUSY, data=opening)


async def test_a_saturated_agent_accepts_a_flow_that_must_not_be_returned() -> None:
    bench = AgentBench()
    saturate(bench)
    bench.to_backend()
    opening = encode_packet(make_key(99), is_opening=True)

    bench.deliver(DeliveryPurpose.OPEN_EVEN_IF_BUSY, opening)

    assert bench.to_backend() == [opening]


async def test_a_copy_of_a_forwarded_opening_packet_is_not_returned() -> None:
    bench = AgentBench()
    opening = encode_packet(make_key(99), is_opening=True)
    bench.deliver(DeliveryPurpose.OPEN, opening)
    saturate(bench)
    bench.to_backend()

    bench.deliver(DeliveryPurpose.OPEN, opening)

    assert bench.to_backend() == [opening]


async def test_flows_of_a_stopped_backend_server_are_reset_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_callers()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    [data] = bench.to_callers()
    reset = EmulatedPacketCodec().decode_from_caller(data)
    assert reset is not None
    assert reset.is_reset
    assert reset.key == make_key(1)
    assert not bench.agent.dispatcher.is_busy
    bench.deliver(DeliveryPurpose.QUERY, request(1))
    [denial] = bench.to_peers()
    assert isinstance(denial, ReturnedPacket)
    assert denial.reason is ReturnReason.NOT_HELD


async def test_a_flow_that_was_used_after_the_probe_is_kept(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1)
    checked_at = trio.current_time()
    await trio.sleep(0.01)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.to_callers()

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=checked_at)

    assert bench.to_callers() == []
    assert make_key(1) in bench.agent.table.flows


async def test_opening_packets_at_a_stopped_backend_server_are_returned_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    await trio.sleep(0.01)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    expected = ReturnedPacket(reason=ReturnReason.UNANSWERED, data=OPENING)
    assert bench.to_peers() == [expected]


async def test_open_flows_are_kept_while_the_backend_server_is_not_listening_yet(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())
    await trio.sleep(1)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_callers()
    await trio.sleep(1)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    assert bench.to_callers() == []


class FakeProbe:
    def __init__(self, *, refuses: bool) -> None:
        self.refuses = refuses

    async def probe(self) -> ProbeOutcome:
        return ProbeOutcome.REFUSED if self.refuses else ProbeOutcome.ACCEPTED


@pytest.mark.parametrize("refuses", [False, True])
async def test_a_drain_announces_a_departure_only_if_the_backend_server_stopped(
    refuses: bool, autojump_clock: trio.testing.MockClock
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_callers()
    bench.to_peers()
    program = AgentProgram(
        agent=bench.agent,
        backend_socket=cast("UdpSocket", bench.backend_socket),
        probe=cast("BackendProbe", FakeProbe(refuses=refuses)),
    )
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1)

    await program.drain()

    departures = [
        message for message in bench.to_peers() if isinstance(message, Departure)
    ]
    assert len(departures) == refuses
    assert len(bench.to_callers()) == refuses


async def test_a_pause_of_the_agent_does_not_lose_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    for number in (2, 3):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN, opening)
    bench.agent.on_tick()
    bench.to_peers()
    # The answers of the backend server are still unread in the socket, behind the
    # next packet.
    await trio.sleep(1.7)

    bench.deliver(DeliveryPurpose.CONTINUE, request(1))

    lost = [
        message for message in bench.to_peers() if isinstance(message, ReturnedPacket)
    ]
    assert lost == []


async def test_a_late_answer_to_an_opening_packet_sends_no_owner_notice() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.to_backend()
    bench.agent.openings.discard(KEY)
    bench.agent.table.remove(KEY)
    # The flow was opened elsewhere, and a balancer looks up its owner.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.agent.on_backend_packet(OPENED)

    assert bench.to_peers() == []
    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))
    [denial] = bench.to_peers()
    assert isinstance(denial, ReturnedPacket)
    assert denial.reason is ReturnReason.NOT_HELD


async def test_a_half_open_flow_is_not_claimed_before_its_backend_server_answers() -> (
    None
):
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    # The caller has acknowledged the answer of another backend server.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_peers() == []

    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    ]


@pytest.mark.parametrize("purpose", [DeliveryPurpose.CONTINUE, DeliveryPurpose.QUERY])
async def test_a_late_answer_to_an_opening_packet_does_not_make_its_flow_lost(
    purpose: DeliveryPurpose,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # Another backend server has opened the flow; this one answers the opening packet
    # before it returns the caller's next packet.
    bench.deliver(purpose, REQUEST)
    bench.agent.on_backend_packet(OPENED)

    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == [ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)]


async def test_a_stopped_backend_server_resets_no_flow_that_it_had_only_half_open(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # The flow was opened elsewhere; the query is lost before its return.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(OPENED)
    bench.to_callers()
    await trio.sleep(1.0)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    assert bench.to_callers() == []


async def test_a_half_open_flow_is_not_lost_when_the_backend_server_is_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    await simulate_backend_crash(bench)
    bench.to_peers()

    # The caller has acknowledged the answer of another backend server.
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == [ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)]


async def test_a_copy_of_an_answered_opening_packet_is_not_returned() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    bench.agent.on_backend_packet(OPENED)
    draining = backend_document(host="10.0.0.1", state="draining")
    publish(bench.register, backends={"b1": draining}, revision=20)

    # A balancer that gets the copy back opens the flow a second time elsewhere.
    copy = encode_packet(KEY, is_opening=True, acknowledged=1)
    bench.deliver(DeliveryPurpose.OPEN, copy, version=1)

    assert bench.to_peers() == []


async def test_an_answer_that_waited_in_the_socket_during_a_pause_counts_as_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_tick()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # The process is paused; the tick runs before the waiting answer is read.
    await trio.sleep(0.5)

    bench.agent.on_tick()
    bench.agent.on_backend_packet(OPENED)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == []


async def test_a_half_open_flow_is_claimed_once_its_backend_server_answers() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(ANSWER)

    assert bench.to_peers() == [OwnerNotice(key=KEY)]


async def test_a_reset_in_answer_to_an_ownership_check_reaches_no_caller() -> None:
    bench = AgentBench()
    # An earlier flow with this key has ended here; the open one is held elsewhere.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.agent.on_backend_packet(encode_packet(KEY, is_reset=True))

    assert bench.to_callers() == []
    assert OwnerNotice(key=KEY) not in bench.to_peers()


async def test_a_query_of_a_queued_request_does_not_bypass_the_queue() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    for number in range(1, 8):
        open_flow(bench, number)
        bench.deliver(DeliveryPurpose.CONTINUE, request(number), version=1)
    bench.to_backend()

    # The caller sends its queued request again, through another balancer.
    bench.deliver(DeliveryPurpose.QUERY, request(7), version=1)

    assert bench.to_backend() == []


async def test_a_request_of_a_half_open_flow_holds_a_slot_while_it_is_checked(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)

    bench.deliver(DeliveryPurpose.QUERY, request(1))
    assert bench.agent.dispatcher.meter.busy == 1

    await bench.pass_time(0.1)
    bench.agent.on_backend_packet(answer(1))
    assert bench.agent.dispatcher.meter.service_s == pytest.approx(0.1)


async def test_a_check_of_a_half_open_flow_notifies_each_balancer_that_queried() -> (
    None
):
    bench = AgentBench()
    open_flow(bench, 1)
    query = Delivery(purpose=DeliveryPurpose.QUERY, version=0, data=request(1))
    bench.agent.on_message("10.0.9.2", query)
    bench.agent.on_message("10.0.9.3", query)

    bench.agent.on_backend_packet(answer(1))

    notified = {host for _, (host, _) in bench.peer_socket.pop_sent()}
    assert {"10.0.9.2", "10.0.9.3"} <= notified


async def test_a_query_is_not_denied_before_backend_servers_were_listed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    # The agent was restarted and has received the desired state only.
    bench.agent.on_state_change()
    await bench.pass_time(3.0)
    bench.to_peers()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]


async def test_an_answer_that_waited_during_a_short_pause_counts_as_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_tick()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # Longer than any interval of ticks; the waiting answer is read after the tick.
    await trio.sleep(0.25)

    bench.agent.on_tick()
    bench.agent.on_backend_packet(OPENED)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == []


async def test_a_refusal_from_before_a_probe_denies_no_later_check(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1.0)
    checked_at = trio.current_time()
    await trio.sleep(0.1)
    # The next backend server at the address has started since the probe.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=checked_at)

    assert bench.to_peers() == []


async def test_an_ended_flow_is_not_claimed_for_a_query_of_a_new_one() -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.deliver(DeliveryPurpose.CONTINUE, encode_packet(make_key(1), is_final=True))
    bench.agent.on_backend_packet(encode_packet(make_key(1), is_final=True))
    bench.to_callers()
    bench.to_peers()

    # Another backend server has opened the next flow from the same port.
    bench.deliver(DeliveryPurpose.QUERY, request(1, sequence=70000))

    assert bench.to_peers() == []
