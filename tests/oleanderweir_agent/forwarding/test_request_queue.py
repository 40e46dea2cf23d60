from __future__ import annotations

import heapq

from oleanderweir_agent.forwarding.queued_request import QueuedRequest
from oleanderweir_agent.forwarding.request_queue import RequestQueue
from tests.oleanderweir.flows.fakes import make_key


TARGET_S = 0.25
TIMEOUT_S = 2.0


def make_request(
    number: int, *, arrived_at: float = 0.0, priority: int = 1
) -> QueuedRequest:
    return QueuedRequest(
        key=make_key(number),
        packets=[b"request"],
        end_sequence=0,
        arrived_at=arrived_at,
        due_at=arrived_at + TARGET_S,
        expires_at=arrived_at + TIMEOUT_S,
        priority=priority,
    )


def take_order(
    queue: RequestQueue, *, now: float, service_s: float = 0.05
) -> list[int]:
    order = []
    while (request := queue.pop_next(now=now, service_s=0.05)) is not None:
        order.append(request.key[3])
    return order


def test_requests_that_can_be_in_time_go_by_when_they_are_wanted() -> None:
    queue = RequestQueue()
    for number, arrived_at in [(1, 0.1), (2, 0.0), (3, 0.05)]:
        queue.add(make_request(number, arrived_at=arrived_at))

    assert take_order(queue, now=0.1) == [2, 3, 1]


def test_a_higher_priority_goes_first_while_both_can_be_in_time() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0, priority=2))
    queue.add(make_request(2, arrived_at=0.1, priority=1))

    assert take_order(queue, now=0.1) == [2, 1]


def test_a_request_that_is_late_waits_for_those_that_can_be_in_time() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0))
    queue.add(make_request(2, arrived_at=0.4))

    assert take_order(queue, now=0.45) == [2, 1]


def test_late_requests_go_by_how_long_their_callers_wait() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0))
    queue.add(make_request(2, arrived_at=0.2))

    assert take_order(queue, now=1.0) == [2, 1]


def test_a_request_whose_caller_gave_up_is_taken_out() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0))
    queue.add(make_request(2, arrived_at=1.0))

    assert [r.key[3] for r in queue.pop_expired(now=2.0)] == [1]
    assert len(queue) == 1


def test_packets_of_one_request_stay_in_order_without_copies() -> None:
    queue = RequestQueue()
    queue.add(make_request(1))

    assert queue.append(make_key(1), b"more")
    assert queue.append(make_key(1), b"request")
    assert not queue.append(make_key(2), b"more")
    request = queue.remove(make_key(1))
    assert request is not None
    assert request.packets == [b"request", b"more"]


def replay_return_after_outage(*, is_ordered: bool) -> int:
    """
    Return how many requests of the 2 s after an outage are answered in time.

    120 requests wait when the backend server comes back, 40 more come each second;
    it runs 5 at a time in 50 ms each.
    """
    arrivals = [(0.0, number) for number in range(120)]
    arrivals += [(0.025 * number, 120 + number) for number in range(1, 81)]
    waiting = RequestQueue()
    first_come: list[QueuedRequest] = []
    slots = [0.0] * 5
    in_time = 0
    while arrivals or first_come or len(waiting):
        now = heapq.heappop(slots)
        if not first_come and not len(waiting):
            now = max(now, arrivals[0][0])
        while arrivals and arrivals[0][0] <= now:
            arrived_at, number = arrivals.pop(0)
            request = make_request(number, arrived_at=arrived_at)
            if is_ordered:
                waiting.add(request)
            else:
                first_come.append(request)
        taken = (
            waiting.pop_next(now=now, service_s=0.05)
            if is_ordered
            else first_come.pop(0)
        )
        assert taken is not None
        heapq.heappush(slots, now + 0.05)
        in_time += taken.due_at >= now + 0.05
    return in_time


def test_after_an_outage_more_requests_are_in_time_than_by_first_come() -> None:
    ordered = replay_return_after_outage(is_ordered=True)
    first_come = replay_return_after_outage(is_ordered=False)

    assert ordered > first_come
    # All that came after the outage can be in time: the capacity is 100 a second.
    assert ordered >= 80
