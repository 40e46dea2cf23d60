"""Whether requests ran, and the errors and counters that report it."""

from __future__ import annotations

from oleanderweir_agent.verdicts.exceptions import RequestError
from oleanderweir_agent.verdicts.exceptions import RequestFailedError
from oleanderweir_agent.verdicts.exceptions import RequestRejectedError
from oleanderweir_agent.verdicts.failure_reason import FailureReason
from oleanderweir_agent.verdicts.rejection_messages import REJECTION_MESSAGES
from oleanderweir_agent.verdicts.rejection_reason import RejectionReason
from oleanderweir_agent.verdicts.request_metrics import RequestMetrics
from oleanderweir_agent.verdicts.request_progress import RequestProgress
from oleanderweir_agent.verdicts.request_stage import RequestStage
from oleanderweir_agent.verdicts.verdict import Verdict


__all__ = [
    "REJECTION_MESSAGES",
    "FailureReason",
    "RejectionReason",
    "RequestError",
    "RequestFailedError",
    "RequestMetrics",
    "RequestProgress",
    "RequestRejectedError",
    "RequestStage",
    "Verdict",
]
