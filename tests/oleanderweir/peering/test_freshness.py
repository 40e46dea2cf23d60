from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from oleanderweir.peering import Members
from oleanderweir.peering.freshness import PROOF_S
from oleanderweir.peering.freshness import Freshness


READER = "10.0.0.9"


def make_freshness() -> Freshness:
    return Freshness(members=Members(own_host="10.0.0.1"))


async def test_a_proof_is_as_old_as_the_older_response_of_the_two_topics() -> None:
    freshness = make_freshness()
    freshness.record_response(Topic.DESIRED_STATE, proved_at=5.0)
    assert freshness.own_proof_at == float("-inf")

    freshness.record_response(Topic.BACKEND_SERVERS, proved_at=3.0)

    assert freshness.own_proof_at == 3.0


async def test_a_late_message_makes_no_proof_older() -> None:
    freshness = make_freshness()
    for proved_at in (7.0, 6.0):
        freshness.record_confirmation(READER, proved_at=proved_at, is_shared=True)

    assert freshness.proved_at == 7.0
    assert freshness.confirmed_at == {READER: 7.0}


async def test_a_reader_lapses_and_is_forgotten(
    autojump_clock: trio.testing.MockClock,
) -> None:
    freshness = make_freshness()
    freshness.record_confirmation(READER, proved_at=trio.current_time(), is_shared=True)
    assert freshness.find_readers() == [READER]

    await trio.sleep(PROOF_S + 0.1)
    assert freshness.find_readers() == []
    assert freshness.find_lapsed() == {READER}

    await trio.sleep(10.0)
    assert freshness.find_lapsed() == set()


async def test_a_state_that_differs_from_that_of_the_reader_is_not_proved(
    autojump_clock: trio.testing.MockClock,
) -> None:
    freshness = make_freshness()

    freshness.record_confirmation(
        READER, proved_at=trio.current_time(), is_shared=False
    )

    assert freshness.find_readers() == [READER]
    assert not freshness.is_proved_within(PROOF_S)


async def test_a_pause_of_this_process_is_no_silence_of_the_readers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    freshness = make_freshness()
    pauses = freshness.members.pauses
    pauses.record_run(trio.current_time())
    freshness.record_confirmation(READER, proved_at=trio.current_time(), is_shared=True)

    await trio.sleep(PROOF_S + 1.0)
    pauses.record_run(trio.current_time())

    assert freshness.find_readers() == [READER]


async def test_a_standstill_ends_the_proof_of_the_state_but_no_reader(
    autojump_clock: trio.testing.MockClock,
) -> None:
    freshness = make_freshness()
    freshness.record_confirmation(READER, proved_at=trio.current_time(), is_shared=True)

    freshness.forget()

    assert not freshness.is_proved_within(PROOF_S)
    assert freshness.find_readers() == [READER]


async def test_proofs_count_longer_only_while_the_source_answers_late(
    autojump_clock: trio.testing.MockClock,
) -> None:
    freshness = make_freshness()
    await trio.sleep(5.0)
    now = trio.current_time()
    topic = Topic.BACKEND_SERVERS
    freshness.record_response(topic, proved_at=now - 1.0)
    assert freshness.proof_s > PROOF_S

    freshness.record_response(topic, proved_at=now)
    assert freshness.proof_s == PROOF_S

    freshness.record_response(topic, proved_at=now - 1.0)
    await trio.sleep(4.1)
    assert freshness.proof_s == PROOF_S
