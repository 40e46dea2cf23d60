from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding import ProbeOutcome
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.bench import simulate_backend_crash
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import REQUEST
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import request


if TYPE_CHECKING:
    import pytest


DENIAL = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
PROBE_INTERVAL_S = 0.35


def make_bench(*, state: str = "ready") -> AgentBench:
    """Return a bench whose backend server was published before a loss of power."""
    bench = AgentBench()
    document = backend_document(host="10.0.0.1", state=state)
    publish(bench.register, backends={"b1": document})
    return bench


def record_probe(
    bench: AgentBench, outcome: ProbeOutcome = ProbeOutcome.REFUSED
) -> None:
    bench.agent.on_probe_outcome(outcome, checked_at=trio.current_time())


async def refuse_probes(bench: AgentBench, count: int = 3) -> None:
    """Refuse probes in succession; the last one ends at the present time."""
    record_probe(bench)
    for _ in range(count - 1):
        await bench.pass_time(PROBE_INTERVAL_S)
        record_probe(bench)


def is_denied(bench: AgentBench) -> bool:
    """Query the flow; return whether it is denied and not forwarded."""
    bench.to_backend()
    bench.to_peers()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    is_forwarded = REQUEST in bench.to_backend()
    assert is_forwarded is (DENIAL not in bench.to_peers())
    return not is_forwarded


async def test_an_unknown_flow_is_denied_if_the_backend_server_has_not_run_yet(
    autojump_clock: trio.testing.MockClock, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    bench = make_bench()

    await refuse_probes(bench)

    assert is_denied(bench)
    assert caplog.records[-1].is_table_complete is True  # type: ignore[attr-defined]


async def test_an_unknown_flow_is_denied_for_any_purpose(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)

    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)

    assert bench.to_backend() == []
    assert DENIAL in bench.to_peers()


async def test_pending_checks_are_denied_when_the_table_becomes_complete(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    await bench.pass_time(0.1)

    await refuse_probes(bench)

    assert DENIAL in bench.to_peers()


async def test_the_table_stays_complete_when_the_backend_server_has_started(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)
    record_probe(bench, ProbeOutcome.ACCEPTED)
    open_flow(bench, 2)

    assert is_denied(bench)
    bench.deliver(DeliveryPurpose.CONTINUE, request(2))
    assert bench.to_backend() == [request(2)]


async def test_the_table_is_complete_after_a_backend_server_that_ran_has_stopped(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    record_probe(bench, ProbeOutcome.ACCEPTED)
    bench.agent.on_backend_packet(answer(2))
    await bench.pass_time(1.0)
    record_probe(bench)
    # The next backend server at the address has started.
    record_probe(bench, ProbeOutcome.ACCEPTED)

    assert is_denied(bench)


async def test_a_flow_in_a_complete_table_is_still_forwarded(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)
    open_flow(bench, 1)

    assert not is_denied(bench)


async def test_an_ended_flow_in_a_complete_table_is_still_checked(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.deliver(DeliveryPurpose.CONTINUE, encode_packet(KEY, is_reset=True))

    assert not is_denied(bench)


async def test_refused_probes_within_a_short_time_prove_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The backend server may have opened flows before the agent was restarted, and
    # may not listen yet.
    bench = make_bench()

    await refuse_probes(bench, count=2)

    assert not is_denied(bench)


async def test_a_silent_probe_starts_the_refused_time_anew(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench, count=2)
    record_probe(bench, ProbeOutcome.SILENT)
    await bench.pass_time(PROBE_INTERVAL_S)
    record_probe(bench)

    assert not is_denied(bench)


async def test_a_backend_server_that_sent_a_packet_is_asked_although_it_refuses(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    record_probe(bench)
    bench.agent.on_backend_packet(answer(2))
    await bench.pass_time(1.0)

    await refuse_probes(bench)

    assert not is_denied(bench)


async def test_a_pause_of_the_agent_is_no_time_of_refusal(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench, count=2)
    # Packets of the backend server may be waiting unread in the socket.
    await trio.sleep(3.0)
    record_probe(bench)

    assert not is_denied(bench)


async def test_a_late_probe_counts_from_its_end_as_the_first_and_from_its_start_as_last(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first_started_at = trio.current_time()
    await bench.pass_time(0.25)
    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=first_started_at)
    await bench.pass_time(0.35)
    record_probe(bench)
    await bench.pass_time(0.2)
    last_started_at = trio.current_time()
    await bench.pass_time(0.1)
    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=last_started_at)

    assert not is_denied(bench)


async def test_a_draining_backend_server_that_has_closed_its_port_is_asked(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench(state="draining")

    await refuse_probes(bench, count=5)

    assert not is_denied(bench)


async def test_a_backend_server_whose_record_is_unknown_is_asked(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()

    await refuse_probes(bench, count=5)

    assert not is_denied(bench)


async def test_the_table_is_incomplete_after_a_flow_is_removed_on_a_presumed_crash(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    # It doesn't listen yet, and the answers to opening packets are lost.
    await simulate_backend_crash(bench)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    assert bench.agent.table.get(KEY) is None
    bench.agent.on_backend_packet(answer(2))

    assert not is_denied(bench)


async def test_the_table_is_incomplete_after_a_flow_that_its_caller_reset_expires(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    # The backend server ignores it: it belongs to an earlier flow of the port.
    bench.deliver(DeliveryPurpose.CONTINUE, encode_packet(KEY, is_reset=True))
    await trio.sleep(6.0)
    bench.agent.expire()
    assert bench.agent.table.get(KEY) is None

    assert not is_denied(bench)


async def test_the_table_stays_complete_when_an_ended_flow_expires(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    await refuse_probes(bench)
    open_flow(bench, 1)
    final = encode_packet(KEY, is_final=True)
    bench.deliver(DeliveryPurpose.CONTINUE, final)
    bench.agent.on_backend_packet(final)
    await trio.sleep(6.0)
    bench.agent.expire()
    assert bench.agent.table.get(KEY) is None

    assert is_denied(bench)
