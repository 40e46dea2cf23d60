from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

from oleanderweir.configuration_service import InvalidServiceResponseError
from oleanderweir.configuration_service import InvalidServiceUrlError
from oleanderweir.configuration_service import ServiceReadError
from oleanderweir.configuration_service import ServiceThrottledError
from oleanderweir.configuration_service import ServiceTimeoutError
from oleanderweir.configuration_service import ServiceUnavailableError
from oleanderweir.configuration_service.messages import MAX_VALUE_BYTES
from oleanderweir.configuration_service.messages import TicketPage
from oleanderweir.configuration_service.service_client import CALL_TIMEOUT_S
from tests.oleanderweir.configuration_service.fakes import gaps_s
from tests.oleanderweir.configuration_service.fakes import make_client
from tests.oleanderweir.configuration_service.fakes import scripted_client


if TYPE_CHECKING:
    import trio


PAGE = TicketPage(highest_ticket=0, tickets=())


@pytest.mark.parametrize(
    "failure",
    [503, 429, httpx.ConnectError("refused"), httpx.ReadError("reset"), 60.0],
    ids=["unavailable", "throttled", "refused", "reset", "timeout"],
)
async def test_transient_failures_are_retried_with_backoff(
    failure: object, autojump_clock: trio.testing.MockClock
) -> None:
    service, client = scripted_client(failure, failure, PAGE)

    assert await client.read("/v1/tickets", TicketPage, {"after": 4}) == PAGE

    assert service.requests == ["/v1/tickets?after=4"] * 3
    timeout_s = CALL_TIMEOUT_S if isinstance(failure, float) else 0.0
    first_s, second_s = gaps_s(service.times)
    assert 0.05 <= first_s - timeout_s <= 0.1
    assert 0.1 <= second_s - timeout_s <= 0.2


@pytest.mark.parametrize(
    ("failure", "error_type"),
    [
        (503, ServiceUnavailableError),
        (429, ServiceThrottledError),
        (60.0, ServiceTimeoutError),
        (httpx.ConnectError("refused"), ServiceUnavailableError),
    ],
    ids=["unavailable", "throttled", "timeout", "refused"],
)
async def test_persistent_failures_are_raised_with_a_code(
    failure: object,
    error_type: type[ServiceReadError],
    autojump_clock: trio.testing.MockClock,
) -> None:
    _, client = scripted_client(failure, failure, failure)

    with pytest.raises(error_type) as caught:
        await client.read("/v1/tickets", TicketPage, {})

    assert caught.value.code == error_type.code


@pytest.mark.parametrize(
    "response",
    [404, b"", b"[]", b'{"highest_ticket": true, "tickets": []}', b"[" * 100_000],
    ids=["not-found", "empty", "other-type", "other-field", "nested"],
)
async def test_invalid_responses_are_not_retried(response: object) -> None:
    service, client = scripted_client(response)

    with pytest.raises(InvalidServiceResponseError):
        await client.read("/v1/tickets", TicketPage, {})

    assert len(service.requests) == 1


async def test_responses_above_the_size_limit_are_rejected() -> None:
    _, client = scripted_client(b" " * (MAX_VALUE_BYTES + 1))

    with pytest.raises(InvalidServiceResponseError, match="publish smaller parts"):
        await client.read("/v1/tickets", TicketPage, {})


async def test_watch_may_last_longer_than_a_call(
    autojump_clock: trio.testing.MockClock,
) -> None:
    _, client = scripted_client(34.0)

    with pytest.raises(InvalidServiceResponseError):
        await client.read_once("/v1/tickets", TicketPage, {}, wait_s=30.0)


@pytest.mark.parametrize("url", ["", "platform:80", "ftp://platform", "http://"])
def test_urls_other_than_http_are_rejected(url: str) -> None:
    client = make_client(httpx.MockTransport(lambda _: httpx.Response(200)))

    with pytest.raises(InvalidServiceUrlError, match="write http://HOST:PORT"):
        type(client)(url=url, backoff=client.backoff)
