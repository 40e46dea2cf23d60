from __future__ import annotations

from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_agent.verdicts import Verdict


def test_errors_carry_their_verdict_code_and_reason() -> None:
    rejected = RequestRejectedError(
        reason=RejectionReason.QUEUE_FULL, retry_after_s=1.5
    )
    failed = RequestFailedError(reason=FailureReason.PEER_LOST, message="check first")

    assert rejected.verdict is Verdict.NOT_RUN
    assert rejected.retry_after_s == 1.5
    assert str(rejected) == (
        "[request_rejected] the queue is full; retry later or add slots "
        "(reason queue_full)"
    )
    assert failed.verdict is Verdict.MAY_HAVE_RUN
    assert str(failed) == "[request_failed] check first (reason peer_lost)"
