"""The policy for retrying requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.retries.retry_refusal import RetryRefusal
from oleanderweir_agent.verdicts import RequestMetrics
from oleanderweir_agent.verdicts import Verdict


if TYPE_CHECKING:
    import random

    from oleanderweir_agent.retries.retry_budget import RetryBudget


IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
MAX_ATTEMPTS = 3
BASE_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5


@attrs.define(kw_only=True)
class RetryPolicy:
    """
    Decides whether, and after which delay, a request is retried.

    A request may be retried if it did not run, or if it may have run and its method
    is idempotent (RFC 9110, 9.2.2). Its deadline, the maximum number of attempts and
    the retry budget of the service limit its retries.
    """

    budget: RetryBudget
    random: random.Random
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    max_attempts: int = MAX_ATTEMPTS

    def is_retryable(self, *, method: str, verdict: Verdict) -> bool:
        """Whether it is safe to send the request again."""
        if verdict is Verdict.NOT_RUN:
            return True
        return verdict is Verdict.MAY_HAVE_RUN and method in IDEMPOTENT_METHODS

    def plan_retry(
        self,
        *,
        method: str,
        verdict: Verdict,
        attempts: int,
        deadline: float,
        reason: str,
        retry_after_s: float | None = None,
    ) -> float | None:
        """
        Return the seconds to wait before the next attempt, or None for no retry.

        ``attempts`` is the number of attempts so far, ``deadline`` is a trio time, and
        ``reason`` is the label for the counter of retries. ``retry_after_s`` replaces
        the backoff.
        """
        delay_s = self.backoff_s(attempts) if retry_after_s is None else retry_after_s
        refusal = self.refuse_or_spend(
            method=method,
            verdict=verdict,
            attempts=attempts,
            starts_at=trio.current_time() + delay_s,
            deadline=deadline,
        )
        if refusal is not None:
            self.metrics.retry_refusals.labels(reason=refusal.value).inc()
            return None
        self.metrics.retries.labels(reason=reason).inc()
        return delay_s

    def refuse_or_spend(
        self,
        *,
        method: str,
        verdict: Verdict,
        attempts: int,
        starts_at: float,
        deadline: float,
    ) -> RetryRefusal | None:
        """Return why a retry is refused, or spend a budget token and return None."""
        if not self.is_retryable(method=method, verdict=verdict):
            return RetryRefusal.MAY_HAVE_RUN
        if attempts >= self.max_attempts:
            return RetryRefusal.ATTEMPTS
        if starts_at >= deadline:
            return RetryRefusal.DEADLINE
        if not self.budget.try_spend():
            return RetryRefusal.BUDGET
        return None

    def backoff_s(self, attempts: int) -> float:
        """Return a backoff with full jitter, whose bound doubles with each attempt."""
        max_delay_s: float = BASE_BACKOFF_S * 2 ** (attempts - 1)
        return self.random.uniform(0.0, min(MAX_BACKOFF_S, max_delay_s))
