"""Which requests may be retried, and how often."""

from __future__ import annotations

from oleanderweir_agent.retries.attempt_count import AttemptCount
from oleanderweir_agent.retries.retry_budget import RetryBudget
from oleanderweir_agent.retries.retry_policy import RetryPolicy
from oleanderweir_agent.retries.retry_refusal import RetryRefusal


__all__ = ["AttemptCount", "RetryBudget", "RetryPolicy", "RetryRefusal"]
