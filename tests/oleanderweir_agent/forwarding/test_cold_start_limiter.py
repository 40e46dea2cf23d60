from __future__ import annotations

import random
import time
from typing import Any

import pytest
import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding import ColdStartTolerance
from oleanderweir_agent.forwarding import ProbeOutcome
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench


TOLERANCE = ColdStartTolerance(overage=1.5, slack=2.0)
RATE_PER_S = 4.0
# Of the rate and the tolerance.
TARGET, MAXIMUM = 4, 8
DURATION_S = 2.0


def publish_record(bench: AgentBench, *, revision: int, **fields: Any) -> None:
    document = backend_document(host="10.0.0.1", **fields)
    rates = {"feed": RATE_PER_S}
    backends = {"b1": document}
    publish(bench.register, cold_rates=rates, backends=backends, revision=revision)


async def make_bench(*, age_s: float = 3.0, **arguments: Any) -> AgentBench:
    """Return an agent that has run for a time, and knows the limit but no record."""
    bench = AgentBench(is_new=True, cold_start_tolerance=TOLERANCE, **arguments)
    publish(bench.register, cold_rates={"feed": RATE_PER_S})
    await bench.pass_time(age_s)
    bench.to_peers()
    return bench


def count_admitted(
    bench: AgentBench, *, first: int = 1, is_last_resort: bool = False
) -> int:
    """Deliver 40 opening packets at once; return how many are forwarded, answered."""
    purpose = DeliveryPurpose.OPEN
    if is_last_resort:
        purpose = DeliveryPurpose.OPEN_AS_LAST_RESORT
    admitted = 0
    for number in range(first, first + 40):
        key = make_key(number)
        bench.deliver(purpose, encode_packet(key, is_opening=True))
        for _ in bench.to_backend():
            admitted += 1
            answer = encode_packet(key, is_opening=True, is_acknowledging=True)
            bench.agent.on_backend_packet(answer)
    return admitted


async def test_a_burst_is_returned_beyond_the_rate_that_a_cold_backend_server_bears(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, cold_remaining_s=2.0)

    assert count_admitted(bench) == TARGET

    messages = bench.to_peers()
    returned = [m.reason for m in messages if isinstance(m, ReturnedPacket)]
    reports = [m.is_accepting for m in messages if isinstance(m, LoadReport)]
    assert returned == [ReturnReason.COLD] * (40 - TARGET)
    assert reports
    assert not any(reports)
    assert count_admitted(bench, first=41, is_last_resort=True) == MAXIMUM - TARGET


# Load: new flows of all balancers that find no other backend server, with bursts.
@pytest.mark.parametrize("seed", range(5))
async def test_no_second_of_a_cold_start_gets_more_than_the_maximum(
    seed: int, autojump_clock: trio.testing.MockClock
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, cold_remaining_s=20.0)
    source = random.Random(seed)
    admitted: list[float] = []
    for first in range(1, 8000, 40):
        now = trio.current_time()
        count = count_admitted(bench, first=first, is_last_resort=True)
        admitted += [now] * count
        await bench.pass_time(source.choice([0.05, 0.1, 0.4, 1.0]) * source.random())
        await trio.sleep(source.random() * 0.1)
        if now > admitted[0] + 15:
            break

    counts = [sum(a <= b < a + 1.0 for b in admitted) for a in admitted]
    assert max(counts) == MAXIMUM
    assert len(admitted) > 15 / 1.25 * RATE_PER_S


async def test_copies_count_until_the_flow_is_answered(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, cold_remaining_s=2.0)
    opening = encode_packet(make_key(1), is_opening=True)
    for _ in range(TARGET + 1):
        bench.deliver(DeliveryPurpose.OPEN, opening)
    assert len(bench.to_backend()) == TARGET


async def test_copies_of_an_answered_opening_packet_neither_wait_nor_count(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, cold_remaining_s=2.0)
    opening = encode_packet(make_key(1), is_opening=True)
    bench.deliver(DeliveryPurpose.OPEN, opening)
    bench.agent.on_backend_packet(
        encode_packet(make_key(1), is_opening=True, is_acknowledging=True)
    )
    for _ in range(TARGET + 1):
        bench.deliver(DeliveryPurpose.OPEN, opening)
    assert len(bench.to_backend()) == TARGET + 2

    assert count_admitted(bench, first=2) == TARGET - 1


@pytest.mark.parametrize(
    ("remaining_s", "rate_per_s"), [(0.0, RATE_PER_S), (2.0, None)]
)
async def test_a_warm_one_or_one_without_a_configured_rate_has_no_limit(
    remaining_s: float,
    rate_per_s: float | None,
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, cold_remaining_s=remaining_s)
    rates = {} if rate_per_s is None else {"feed": rate_per_s}
    publish(bench.register, version=2, cold_rates=rates, revision=11)

    assert count_admitted(bench) == 40


async def test_without_a_tolerance_there_is_no_limit() -> None:
    bench = AgentBench()
    publish_record(bench, revision=11, cold_remaining_s=2.0)

    assert count_admitted(bench) == 40


# Failure: the agent is killed in the middle of a cold start. Its predecessor may have
# sent the maximum just before.
async def test_a_restarted_agent_admits_none_until_its_window_is_complete(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench(age_s=0.0)
    publish_record(bench, revision=11, cold_remaining_s=1.8)

    assert count_admitted(bench, is_last_resort=True) == 0
    await bench.pass_time(1.3)
    assert count_admitted(bench, first=41) == TARGET
    await bench.pass_time(0.6)
    assert count_admitted(bench, first=81) == 40


# Failure: the source is down; neither the record nor its removal is known in time.
async def test_a_cold_start_ends_by_the_last_record_while_the_source_is_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    assert count_admitted(bench) == TARGET
    publish_record(bench, revision=11, cold_remaining_s=2.0)
    publish(bench.register, cold_rates={"feed": RATE_PER_S}, revision=12)
    await bench.pass_time(1.8)
    assert count_admitted(bench, first=41) == TARGET

    await bench.pass_time(0.25)

    assert count_admitted(bench, first=81) == 40


# Failure: a peer sends a listing from before the cold start.
async def test_an_older_record_ends_no_cold_start(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, sequence=8, cold_remaining_s=2.0)

    publish_record(bench, revision=12, sequence=7, cold_remaining_s=0.0)

    assert count_admitted(bench) == TARGET


async def test_a_newer_record_ends_or_restarts_a_cold_start(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, sequence=8, cold_remaining_s=2.0)
    publish_record(bench, revision=12, sequence=9, cold_remaining_s=0.0)
    assert count_admitted(bench) == 40
    await bench.pass_time(1.3)

    publish_record(bench, revision=13, sequence=10, cold_remaining_s=2.0)

    assert count_admitted(bench, first=41) == TARGET


# Failure: the time of day jumps, forward and back.
@pytest.mark.parametrize("jump_s", [-3600.0, 3600.0])
async def test_a_step_of_the_time_of_day_changes_no_cold_start(
    jump_s: float,
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11, cold_remaining_s=2.0)
    time_of_day = time.time()
    monkeypatch.setattr(time, "time", lambda: time_of_day + jump_s)

    await bench.pass_time(1.9)
    assert count_admitted(bench) == TARGET
    await bench.pass_time(0.15)
    assert count_admitted(bench, first=41) == 40


# Failure: the backend server crashes and returns; its new record is not known yet.
@pytest.mark.parametrize("cold_remaining_s", [DURATION_S, 0.0])
async def test_a_return_after_a_proven_stop_is_a_cold_start_by_the_record_of_it(
    autojump_clock: trio.testing.MockClock, cold_remaining_s: float
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11)
    for outcome in (ProbeOutcome.ACCEPTED, ProbeOutcome.REFUSED):
        bench.agent.on_probe_outcome(outcome, checked_at=trio.current_time())
        await bench.pass_time(0.4)

    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())

    # It may be one of another service, until a record or an open flow tells.
    assert count_admitted(bench) == 0
    await bench.pass_time(0.1)
    publish_record(
        bench, revision=12, cold_remaining_s=cold_remaining_s, started_at_ms=2000
    )
    assert count_admitted(bench, first=41) == (TARGET if cold_remaining_s else 40)
    await bench.pass_time(DURATION_S + 0.1)
    assert count_admitted(bench, first=81) == 40


# Failure: the same, and an open flow shows that it had not stopped after all.
async def test_a_backend_server_that_is_recognised_without_a_record_counts_as_cold(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    publish_record(bench, revision=11)
    for outcome in (ProbeOutcome.ACCEPTED, ProbeOutcome.REFUSED):
        bench.agent.on_probe_outcome(outcome, checked_at=trio.current_time())
        await bench.pass_time(0.4)
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())

    bench.agent.continuity.on_held_flow()

    assert count_admitted(bench) == TARGET
    await bench.pass_time(DURATION_S + 0.1)
    assert count_admitted(bench, first=41) == 40


@pytest.mark.parametrize(("has_newer_record", "admitted"), [(False, 4), (True, 40)])
async def test_the_end_of_an_evacuation_starts_a_cold_start_unless_a_record_denies_it(
    has_newer_record: bool, admitted: int, autojump_clock: trio.testing.MockClock
) -> None:
    ended_at: dict[str, float] = {}
    bench = await make_bench(evacuation_ended_at=ended_at.get)
    publish_record(bench, revision=11, sequence=1)
    await bench.pass_time(0.2)
    ended_at["a"] = trio.current_time()
    await bench.pass_time(0.2)
    if has_newer_record:
        publish_record(bench, revision=12, sequence=2)

    assert count_admitted(bench) == admitted
