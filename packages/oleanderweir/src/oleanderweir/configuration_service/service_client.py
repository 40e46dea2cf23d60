"""HTTP client of one of the platform's services."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import httpx
import trio

from oleanderweir.configuration_service.exceptions import InvalidServiceResponseError
from oleanderweir.configuration_service.exceptions import InvalidServiceUrlError
from oleanderweir.configuration_service.exceptions import ServiceReadError
from oleanderweir.configuration_service.exceptions import ServiceThrottledError
from oleanderweir.configuration_service.exceptions import ServiceTimeoutError
from oleanderweir.configuration_service.exceptions import ServiceUnavailableError
from oleanderweir.configuration_service.messages import MAX_VALUE_BYTES
from oleanderweir.configuration_service.messages import decode_message
from oleanderweir.configuration_service.metrics import PLATFORM_READ_RETRIES
from oleanderweir.configuration_service.metrics import PLATFORM_READS


if TYPE_CHECKING:
    from collections.abc import Mapping

    from oleanderweir.configuration_service.retry_backoff import RetryBackoff


CALL_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 3
MAX_CONNECTIONS = 4

MessageT = TypeVar("MessageT")

logger = logging.getLogger(__name__)


def make_http_client() -> httpx.AsyncClient:
    """Return a client without timeouts; ``ServiceClient`` applies its own."""
    return httpx.AsyncClient(
        timeout=None,
        trust_env=False,
        limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
    )


def check_url(_: object, __: object, url: str) -> None:
    """Raise ``InvalidServiceUrlError`` unless a URL is an HTTP URL."""
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL as error:
        raise InvalidServiceUrlError(
            f"'{url}' is not a URL ({error}); write http://HOST:PORT"
        ) from error
    if parsed.scheme not in {"http", "https"} or not parsed.host:
        raise InvalidServiceUrlError(
            f"'{url}' is not an HTTP URL; write http://HOST:PORT"
        )


@attrs.define(kw_only=True, eq=False)
class ServiceClient:
    """
    Reads messages below one URL, with timeouts, a size limit and retries.

    The body of a response may have up to ``MAX_VALUE_BYTES`` after decompression.
    """

    url: str = attrs.field(validator=check_url)
    backoff: RetryBackoff
    http_client: httpx.AsyncClient = attrs.field(factory=make_http_client)
    call_timeout_s: float = CALL_TIMEOUT_S
    max_attempts: int = MAX_ATTEMPTS

    async def aclose(self) -> None:
        """Close the connections to the service."""
        await self.http_client.aclose()

    async def read(
        self,
        path: str,
        message_type: type[MessageT],
        parameters: Mapping[str, str | int],
    ) -> MessageT:
        """
        Read a message; retry the call after a transient failure.

        Raise ``ServiceUnavailableError`` after the last attempt, and
        ``InvalidServiceResponseError`` without a retry.
        """
        attempt = 0
        while True:
            try:
                return await self.read_once(path, message_type, parameters)
            except ServiceUnavailableError as error:
                if attempt + 1 >= self.max_attempts:
                    raise
                await self.wait_before_retry(attempt, error)
            attempt += 1

    async def wait_before_retry(
        self, attempt: int, error: ServiceUnavailableError
    ) -> None:
        """Count and log a retry, then wait for its backoff delay."""
        delay_s = self.backoff.delay_s(attempt)
        PLATFORM_READ_RETRIES.labels(reason=error.reason).inc()
        logger.info(
            "%s; next attempt in %.2f s", error, delay_s, extra={"code": error.code}
        )
        await trio.sleep(delay_s)

    async def read_once(
        self,
        path: str,
        message_type: type[MessageT],
        parameters: Mapping[str, str | int],
        *,
        wait_s: float = 0.0,
    ) -> MessageT:
        """
        Read a message with one call; the service may delay its response by ``wait_s``.

        Raise ``ServiceUnavailableError`` or ``InvalidServiceResponseError``.
        """
        try:
            data = await self.fetch_with_timeout(path, parameters, wait_s)
            message = decode_message(data, message_type)
        except ServiceReadError as error:
            PLATFORM_READS.labels(path=path, outcome=error.reason).inc()
            raise
        PLATFORM_READS.labels(path=path, outcome="ok").inc()
        return message

    async def fetch_with_timeout(
        self, path: str, parameters: Mapping[str, str | int], wait_s: float
    ) -> bytes:
        """
        Return the body of a response.

        Raise ``ServiceTimeoutError`` after the timeout, and
        ``ServiceUnavailableError`` when the call fails.
        """
        limit_s = self.call_timeout_s + wait_s
        try:
            with trio.fail_after(limit_s):
                return await self.fetch(path, parameters)
        except trio.TooSlowError as error:
            raise ServiceTimeoutError(
                f"{self.url}{path} did not respond within {limit_s:g} s; "
                "check the service and the network"
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise ServiceUnavailableError(
                f"{self.url}{path} cannot be read ({type(error).__name__}: {error}); "
                "check the service and the network"
            ) from error

    async def fetch(self, path: str, parameters: Mapping[str, str | int]) -> bytes:
        """
        Return the body of a response.

        Raise a ``ServiceReadError`` if its status is not 200 or its body is too long.
        """
        url = self.url.rstrip("/") + path
        async with self.http_client.stream("GET", url, params=parameters) as response:
            self.check_status(path, response.status_code)
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > MAX_VALUE_BYTES:
                    raise InvalidServiceResponseError(
                        f"{self.url}{path} returned more than "
                        f"{MAX_VALUE_BYTES} bytes; publish smaller parts"
                    )
            return bytes(body)

    def check_status(self, path: str, status: int) -> None:
        """Raise the ``ServiceReadError`` for a status other than 200."""
        if status == httpx.codes.OK:
            return
        message = f"{self.url}{path} returned status {status}"
        if status == httpx.codes.TOO_MANY_REQUESTS:
            raise ServiceThrottledError(
                f"{message}; check which clients exceed the rate limit"
            )
        if status >= httpx.codes.INTERNAL_SERVER_ERROR:
            raise ServiceUnavailableError(f"{message}; check the service")
        raise InvalidServiceResponseError(f"{message}; check the URL")
