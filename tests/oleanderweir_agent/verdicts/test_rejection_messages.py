from __future__ import annotations

import pytest

from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError


@pytest.mark.parametrize("reason", RejectionReason, ids=lambda reason: reason.value)
def test_every_reason_has_a_message(reason: RejectionReason) -> None:
    assert reason.value in str(RequestRejectedError(reason=reason))
