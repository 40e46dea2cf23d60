from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import cast

import attrs
import pytest
import trio

from oleanderweir_agent.copies import CopyOutcome
from oleanderweir_agent.copies import CopyRefusal
from oleanderweir_agent.copies.copy_runner import MAX_OFFERS
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError
from tests.oleanderweir_agent.copies.copy_bench import DELAY_S
from tests.oleanderweir_agent.copies.copy_bench import ROUTE
from tests.oleanderweir_agent.copies.copy_bench import CopyBench
from tests.oleanderweir_agent.copies.copy_bench import Run
from tests.oleanderweir_agent.copies.copy_bench import ZonedConfiguration
from tests.oleanderweir_agent.copies.copy_bench import make_copy_policy


if TYPE_CHECKING:
    from trio.testing import MockClock


SENT = CopyOutcome.SENT
SHED = RequestRejectedError(reason=RejectionReason.BACKEND_SHED)
LOST = RequestFailedError(reason=FailureReason.BACKEND_LOST, message="lost")
PEER_REFUSED = RequestRejectedError(reason=RejectionReason.PEER_REFUSED)
PEER_LOST = RequestFailedError(reason=FailureReason.PEER_LOST, message="lost")


async def test_a_straggler_is_answered_by_its_copy_and_stopped(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(first=Run(starts_after_s=5.0), copy=Run(starts_after_s=0.05))

    await bench.send()

    assert bytes(bench.responder.body) == b"copy.copy."
    assert bench.responder.closed_at == pytest.approx(DELAY_S + 0.05)
    assert bench.first.is_cancelled
    assert bench.outcomes == [SENT, CopyOutcome.WON, CopyOutcome.CANCELLED]
    assert bench.attempts.count == 2
    assert bench.policy.races == 0


async def test_an_answer_before_the_delay_is_not_copied(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(first=Run(starts_after_s=DELAY_S / 2))

    await bench.send()

    assert bytes(bench.responder.body) == b"first.first."
    assert not bench.copy.is_started


async def test_nothing_of_the_loser_reaches_the_caller(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(
        first=Run(starts_after_s=0.2, ends_after_s=0.1),
        copy=Run(starts_after_s=0.05, ends_after_s=5.0),
    )

    await bench.send()

    assert bytes(bench.responder.body) == b"first.first."
    assert bench.outcomes == [SENT, CopyOutcome.WASTED]


async def test_a_loser_that_is_not_stopped_answers_nobody(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(
        first=Run(starts_after_s=0.2),
        copy=Run(starts_after_s=0.4, ignores_cancel=True),
    )

    await bench.send()

    assert bytes(bench.responder.body) == b"first.first."
    assert bench.responder.closed_at == pytest.approx(0.2)
    assert bench.copy.ended_at == pytest.approx(DELAY_S + 0.4)
    assert bench.outcomes == [SENT, CopyOutcome.WASTED]


async def test_a_long_answer_begins_before_it_is_whole(
    autojump_clock: MockClock,
) -> None:
    long_run = Run(starts_after_s=0.2, ends_after_s=1.0, part_count=6_000)
    bench = CopyBench(first=long_run, copy=Run(starts_after_s=5.0))

    with trio.move_on_after(0.5):
        await bench.send()

    assert bytes(bench.responder.body) == b"first." * 6_000


async def test_a_request_whose_answer_has_begun_is_not_copied(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(first=Run(ends_after_s=0.3))

    await bench.send()

    assert bytes(bench.responder.body) == b"first.first."
    assert bench.refusals == [CopyRefusal.ANSWERING]


async def test_a_first_answer_that_breaks_off_leaves_the_copy_to_answer(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(
        first=Run(starts_after_s=0.11, ends_after_s=0.1, error=LOST),
        copy=Run(starts_after_s=0.3),
    )

    await bench.send()

    assert bytes(bench.responder.body) == b"copy.copy."


@pytest.mark.parametrize("status", [429, 503])
async def test_a_failure_status_of_the_copy_does_not_stop_the_first_run(
    autojump_clock: MockClock, status: int
) -> None:
    bench = CopyBench(first=Run(starts_after_s=0.5), copy=Run(status=status))

    await bench.send()

    assert bytes(bench.responder.body) == b"first.first."
    assert bench.outcomes == [SENT, CopyOutcome.FAILED]


@pytest.mark.parametrize(
    ("first", "copy", "raised"),
    [
        (SHED, PEER_REFUSED, SHED),
        (SHED, PEER_LOST, PEER_LOST),
        (LOST, PEER_REFUSED, LOST),
        (LOST, PEER_LOST, LOST),
    ],
    ids=["neither-ran", "copy-may-have-run", "first-may-have-run", "both"],
)
async def test_not_run_is_reported_only_if_neither_ran(
    autojump_clock: MockClock, first: Exception, copy: Exception, raised: Exception
) -> None:
    bench = CopyBench(
        first=Run(starts_after_s=0.2, error=first),
        copy=Run(starts_after_s=0.3, error=copy),
    )

    with pytest.raises(type(raised)) as caught:
        await bench.send()

    assert caught.value is raised
    assert not bench.responder.is_head_sent


@pytest.mark.parametrize("method", ["POST", "PATCH", "PUT", "DELETE"])
async def test_a_request_that_may_change_something_is_never_copied(
    autojump_clock: MockClock, method: str
) -> None:
    bench = CopyBench(first=Run(starts_after_s=5.0))

    await bench.send(method=method)

    assert not bench.copy.is_started
    assert bench.policy.metrics.candidate_count == 0


async def test_copies_stay_within_their_share(autojump_clock: MockClock) -> None:
    policy = make_copy_policy(credit=0.0)
    policy.group.table.lifetime_s = math.inf
    for entry in policy.group.table.entries.values():
        entry.report = attrs.evolve(entry.report, free_slots=100, free_long_slots=100)
    cast("ZonedConfiguration", policy.configuration).max_copy_share = 0.02

    for requests in range(1, 501):
        slow_s = 1.0 if requests % 25 == 0 else 0.01
        await CopyBench(first=Run(starts_after_s=slow_s), policy=policy).send()
        assert policy.metrics.accepted <= 0.02 * requests + 1e-9

    assert policy.metrics.accepted in {9, 10}
    assert policy.metrics.read_share() == pytest.approx(0.02, abs=0.002)


async def test_a_rejected_copy_costs_nothing_and_another_peer_is_tried(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(first=Run(starts_after_s=0.45), copy=Run(error=PEER_REFUSED))

    await bench.send()

    assert bytes(bench.responder.body) == b"first.first."
    assert bench.peers[0] == "d"
    assert len(set(bench.peers)) == len(bench.peers) == MAX_OFFERS
    assert bench.attempts.count == 1
    assert bench.policy.budget.take()
    assert bench.outcomes == [SENT, CopyOutcome.REJECTED]


async def test_retries_and_copies_share_the_maximum_of_attempts(
    autojump_clock: MockClock,
) -> None:
    bench = CopyBench(first=Run(starts_after_s=1.0))
    bench.attempts.count = 3

    await bench.send()

    assert bench.refusals == [CopyRefusal.ATTEMPTS]


async def test_a_ticket_turns_copies_off_for_requests_that_already_run(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    bench = CopyBench(first=Run(starts_after_s=1.0))
    configuration = cast("ZonedConfiguration", bench.policy.configuration)

    nursery.start_soon(bench.send)
    await trio.sleep(DELAY_S / 2)
    configuration.max_copy_share = 0.0
    await trio.sleep(2.0)

    assert bytes(bench.responder.body) == b"first.first."
    assert bench.refusals == [CopyRefusal.TURNED_OFF]


async def test_the_delay_follows_when_all_answers_slow_down(
    autojump_clock: MockClock,
) -> None:
    policy = make_copy_policy(credit=5.0)
    for _ in range(30):
        await CopyBench(first=Run(starts_after_s=0.5), policy=policy).send()

    assert policy.delays.read(ROUTE) == pytest.approx(0.5)
