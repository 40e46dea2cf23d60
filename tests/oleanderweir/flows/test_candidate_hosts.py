from __future__ import annotations

from collections import Counter

from oleanderweir.flows import candidate_hosts
from tests.oleanderweir.flows.fakes import make_key


HOSTS = [f"10.0.0.{number}" for number in range(1, 43)]


def test_candidates_do_not_depend_on_the_order_of_hosts() -> None:
    first = candidate_hosts(make_key(1), HOSTS, count=6)

    assert first == candidate_hosts(make_key(1), reversed(HOSTS), count=6)
    assert len(set(first)) == 6


def test_candidates_are_distributed_evenly_over_all_hosts() -> None:
    counts = Counter[str]()
    for number in range(4200):
        counts.update(candidate_hosts(make_key(number), HOSTS, count=6))

    # The expected count per host is 600; five standard deviations are about 115.
    assert all(485 <= counts[host] <= 715 for host in HOSTS)


def test_a_departed_host_only_moves_up_the_hosts_ranked_after_it() -> None:
    before = candidate_hosts(make_key(7), HOSTS, count=6)
    remaining = [host for host in HOSTS if host != before[2]]

    after = candidate_hosts(make_key(7), remaining, count=6)

    assert after[:5] == [host for host in before if host != before[2]]
