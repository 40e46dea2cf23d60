from __future__ import annotations

import json

import cattrs
import httpx
import pytest

from oleanderweir.admin import ProcessStatus
from oleanderweir.admin import ReadinessReason
from oleanderweir.console import NoAnswerError
from oleanderweir.console.status_reader import StatusReader
from oleanderweir.net import SocketAddress


STATUS = ProcessStatus(
    role="agent",
    version="0.1.0",
    instance_name="node-1",
    availability_zone="scl-a",
    region="scl",
    uptime_s=2.5,
    is_ready=False,
    reasons=(ReadinessReason.STARTING,),
)


def create_reader(response: httpx.Response) -> StatusReader:
    return StatusReader(
        address=SocketAddress(host="192.0.2.1", port=9100),
        transport=httpx.MockTransport(lambda request: response),
    )


def test_a_status_round_trips() -> None:
    document = cattrs.unstructure(STATUS)

    assert create_reader(httpx.Response(200, json=document)).read() == STATUS


@pytest.mark.parametrize(
    ("response", "message"),
    [
        (httpx.Response(404), "returned no status"),
        (httpx.Response(200, text="hello"), "is not an oleanderweir status"),
        (httpx.Response(200, text=json.dumps([1])), "is not an oleanderweir status"),
        (httpx.Response(200, json={"role": "agent"}), "is not an oleanderweir status"),
        (
            httpx.Response(
                200, json={**cattrs.unstructure(STATUS), "reasons": ["because"]}
            ),
            "is not an oleanderweir status",
        ),
    ],
    ids=["not-found", "not-json", "list", "fields-missing", "unknown-reason"],
)
def test_invalid_responses_raise_distinct_errors(
    response: httpx.Response, message: str
) -> None:
    with pytest.raises(NoAnswerError, match=message):
        create_reader(response).read()
