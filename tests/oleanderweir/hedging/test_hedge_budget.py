from __future__ import annotations

from oleanderweir.hedging import MAX_CREDIT
from oleanderweir.hedging import HedgeBudget


def test_hedges_never_exceed_their_share_of_the_flows() -> None:
    budget = HedgeBudget(max_share=0.03)
    hedges = 0

    for flows in range(1, 2000):
        budget.on_candidate()
        hedges += budget.take()
        assert hedges <= 0.03 * flows + 1e-6

    assert hedges >= 58


def test_a_quiet_time_saves_up_a_few_hedges_only() -> None:
    budget = HedgeBudget(max_share=0.5)
    for _ in range(1000):
        budget.on_candidate()

    assert sum(budget.take() for _ in range(100)) == int(MAX_CREDIT)


def test_nothing_is_hedged_without_a_share() -> None:
    budget = HedgeBudget(max_share=0.0)
    for _ in range(1000):
        budget.on_candidate()

    assert not budget.take()


def test_a_lower_share_takes_away_what_a_higher_one_saved_up() -> None:
    budget = HedgeBudget(max_share=0.5)
    for _ in range(10):
        budget.on_candidate()

    budget.change_share(0.0)

    assert not budget.take()


def test_a_hedge_of_a_higher_share_is_not_given_back() -> None:
    budget = HedgeBudget(max_share=0.5)
    for _ in range(2):
        budget.on_candidate()
    assert budget.take()

    budget.change_share(0.01)
    budget.give_back(taken_at_share=0.5)

    assert not budget.take()
