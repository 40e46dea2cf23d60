from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_agent.retries import RetryBudget
from oleanderweir_agent.retries import RetryPolicy
from oleanderweir_agent.verdicts import Verdict


if TYPE_CHECKING:
    from trio.testing import MockClock


def make_policy(*, capacity: float = 10.0) -> RetryPolicy:
    return RetryPolicy(
        budget=RetryBudget(ratio=0.1, capacity=capacity), random=random.Random(1)
    )


def count(policy: RetryPolicy, counter: str, reason: str) -> float | None:
    name = f"oleanderweir_agent_{counter}_total"
    return policy.metrics.registry.get_sample_value(name, {"reason": reason})


@pytest.mark.parametrize(
    ("method", "verdict", "is_retryable"),
    [
        ("POST", Verdict.NOT_RUN, True),
        ("POST", Verdict.MAY_HAVE_RUN, False),
        ("PATCH", Verdict.MAY_HAVE_RUN, False),
        ("GET", Verdict.MAY_HAVE_RUN, True),
        ("PUT", Verdict.MAY_HAVE_RUN, True),
        ("GET", Verdict.RAN, False),
    ],
    ids=["post-not-run", "post-maybe", "patch-maybe", "get-maybe", "put-maybe", "ran"],
)
def test_only_not_run_or_idempotent_requests_are_retryable(
    method: str, verdict: Verdict, is_retryable: bool
) -> None:
    policy = make_policy()

    assert policy.is_retryable(method=method, verdict=verdict) is is_retryable


@pytest.mark.parametrize(
    ("verdict", "attempts", "retry_after_s", "refusal"),
    [
        (Verdict.MAY_HAVE_RUN, 1, None, "may_have_run"),
        (Verdict.NOT_RUN, 3, None, "attempts"),
        (Verdict.NOT_RUN, 1, 2.0, "deadline"),
    ],
    ids=["may-have-run", "attempts", "deadline"],
)
async def test_a_refused_retry_is_counted_by_reason(
    autojump_clock: MockClock,
    verdict: Verdict,
    attempts: int,
    retry_after_s: float | None,
    refusal: str,
) -> None:
    policy = make_policy()

    delay_s = policy.plan_retry(
        method="POST",
        verdict=verdict,
        attempts=attempts,
        deadline=trio.current_time() + 1.0,
        reason="backend_shed",
        retry_after_s=retry_after_s,
    )

    assert delay_s is None
    assert count(policy, "retry_refusals", refusal) == 1.0


async def test_retries_stay_within_their_share_of_first_attempts(
    autojump_clock: MockClock,
) -> None:
    policy = make_policy(capacity=2.0)
    granted = 0
    for _ in range(100):
        policy.budget.record_first_attempt()
        delay_s = policy.plan_retry(
            method="GET",
            verdict=Verdict.NOT_RUN,
            attempts=1,
            deadline=trio.current_time() + 1.0,
            reason="backend_shed",
        )
        granted += delay_s is not None

    assert granted in {11, 12}
    assert count(policy, "request_retries", "backend_shed") == granted
