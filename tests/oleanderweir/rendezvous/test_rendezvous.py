from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.rendezvous import first_ranked
from oleanderweir.rendezvous import ring_successors


NAMES = [f"instance-{n}" for n in range(40)]


def test_each_name_is_the_successor_of_one_other_on_a_ring() -> None:
    successors = [ring_successors(n, NAMES, purpose="z", ring_count=1) for n in NAMES]
    assert sorted(name for names in successors for name in names) == sorted(NAMES)


def test_rings_of_one_purpose_connect_all_names() -> None:
    reached = {NAMES[0]}
    frontier = [NAMES[0]]
    while frontier:
        successors = ring_successors(frontier.pop(), NAMES, purpose="z", ring_count=3)
        frontier += [name for name in successors if name not in reached]
        reached.update(successors)
    assert reached == set(NAMES)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.sets(st.sampled_from(NAMES), min_size=2), st.sampled_from(NAMES))
def test_successors_are_distinct_others(names: set[str], own: str) -> None:
    successors = ring_successors(own, names, purpose="z", ring_count=3)
    assert len(set(successors)) == len(successors) == min(3, len(names - {own}))
    assert set(successors) <= names - {own}


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.sets(st.sampled_from(NAMES), min_size=2), st.sampled_from(NAMES))
def test_removing_a_name_keeps_the_order_of_the_others(
    names: set[str], removed: str
) -> None:
    before = first_ranked(names, purpose="p", count=len(NAMES))
    remaining = [name for name in before if name != removed]
    assert first_ranked(names - {removed}, purpose="p", count=5) == remaining[:5]
