from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.rendezvous import first_ranked
from oleanderweir.rendezvous import ring_successors


NAMES = [f"instance-{n}" for n in range(40)]


def test_each_ring_gives_everyone_one_predecessor() -> None:
    successors = [ring_successors(n, NAMES, purpose="z", ring_count=1) for n in NAMES]
    assert sorted(name for names in successors for name in names) == sorted(NAMES)


def test_rings_of_one_purpose_join_everyone() -> None:
    reached = {NAMES[0]}
    frontier = [NAMES[0]]
    while frontier:
        found = ring_successors(frontier.pop(), NAMES, purpose="z", ring_count=3)
        frontier += [name for name in found if name not in reached]
        reached.update(found)
    assert reached == set(NAMES)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.sets(st.sampled_from(NAMES), min_size=2), st.sampled_from(NAMES))
def test_successors_are_distinct_others(names: set[str], own: str) -> None:
    successors = ring_successors(own, names, purpose="z", ring_count=3)
    assert len(set(successors)) == len(successors) == min(3, len(names - {own}))
    assert set(successors) <= names - {own}


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.sets(st.sampled_from(NAMES), min_size=2), st.sampled_from(NAMES))
def test_leaving_instance_moves_no_others(names: set[str], leaving: str) -> None:
    before = first_ranked(names, purpose="p", count=len(NAMES))
    kept = [name for name in before if name != leaving]
    assert first_ranked(names - {leaving}, purpose="p", count=5) == kept[:5]
