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


def pop_order(queue: RequestQueue, *, now: float, service_s: float = 0.05) -> list[int]:
    order = []
    while (request := queue.pop_next(now=now, service_s=0.05)) is not None:
        order.append(request.key[3])
    return order


def test_requests_that_can_be_in_time_are_ordered_by_due_time() -> None:
    queue = RequestQueue()
    for number, arrived_at in [(1, 0.1), (2, 0.0), (3, 0.05)]:
        queue.add(make_request(number, arrived_at=arrived_at))

    assert pop_order(queue, now=0.1) == [2, 3, 1]


def test_a_higher_priority_goes_first_while_both_can_be_in_time() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0, priority=2))
    queue.add(make_request(2, arrived_at=0.1, priority=1))

    assert pop_order(queue, now=0.1) == [2, 1]


def test_a_late_request_waits_for_those_that_can_be_in_time() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0))
    queue.add(make_request(2, arrived_at=0.4))

    assert pop_order(queue, now=0.45) == [2, 1]


def test_late_requests_with_the_latest_expiry_go_first() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0))
    queue.add(make_request(2, arrived_at=0.2))

    assert pop_order(queue, now=1.0) == [2, 1]


def test_expired_requests_are_removed() -> None:
    queue = RequestQueue()
    queue.add(make_request(1, arrived_at=0.0))
    queue.add(make_request(2, arrived_at=1.0))

    assert [request.key[3] for request in queue.pop_expired(now=2.0)] == [1]
    assert len(queue) == 1


def test_packets_of_a_request_keep_their_order_without_copies() -> None:
    queue = RequestQueue()
    queue.add(make_request(1))

    assert queue.append(make_key(1), b"more")
    assert queue.append(make_key(1), b"request")
    assert not queue.append(make_key(2), b"more")
    request = queue.remove(make_key(1))
    assert request is not None
    assert request.packets == [b"request", b"more"]


def simulate_recovery(*, is_ordered: bool) -> int:
    """
    Return how many requests are answered in time in the 2 s after an outage.

    120 requests are queued when the backend server recovers, and 40 more arrive each
    second; it runs 5 at a time, for 50 ms each.
    """
    arrivals = [(0.0, number) for number in range(120)]
    arrivals += [(0.025 * number, 120 + number) for number in range(1, 81)]
    queue = RequestQueue()
    fifo: list[QueuedRequest] = []
    slots = [0.0] * 5
    in_time = 0
    while arrivals or fifo or len(queue):
        now = heapq.heappop(slots)
        if not fifo and not len(queue):
            now = max(now, arrivals[0][0])
        while arrivals and arrivals[0][0] <= now:
            arrived_at, number = arrivals.pop(0)
            request = make_request(number, arrived_at=arrived_at)
            if is_ordered:
                queue.add(request)
            else:
                fifo.append(request)
        started = queue.pop_next(now=now, service_s=0.05) if is_ordered else fifo.pop(0)
        assert started is not None
        heapq.heappush(slots, now + 0.05)
        in_time += started.due_at >= now + 0.05
    return in_time


def test_after_an_outage_more_requests_are_in_time_than_in_fifo_order() -> None:
    ordered = simulate_recovery(is_ordered=True)
    fifo = simulate_recovery(is_ordered=False)

    assert ordered > fifo
    # All 80 that arrive after the outage can be in time: the capacity is 100 a second.
    assert ordered >= 80
