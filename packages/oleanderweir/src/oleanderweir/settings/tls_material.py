"""Certificate, private key and authorities of one TLS endpoint."""

from __future__ import annotations

import ssl
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

import attrs
from cryptography import x509

from oleanderweir.settings.exceptions import InvalidTlsMaterialError


if TYPE_CHECKING:
    from pathlib import Path


@attrs.frozen(kw_only=True)
class TlsMaterial:
    """Paths of PEM files; ``authorities`` is ``None`` if peers are not verified."""

    certificate: Path
    private_key: Path
    authorities: Path | None = None

    def check(self, *, now: datetime | None = None) -> None:
        """
        Read and check every file.

        Raise ``InvalidTlsMaterialError`` if a file cannot be read, the private key
        does not match the certificate, or the certificate is expired or not yet valid.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(self.certificate, self.private_key, _empty_password)
        except (OSError, ValueError) as error:
            raise InvalidTlsMaterialError(
                f"{self.certificate} and {self.private_key} cannot be used "
                f"({_describe(error)}); use a PEM certificate and its private key"
            ) from error
        if self.authorities is not None:
            _load_authorities(context, self.authorities)
        self._check_validity(now or datetime.now(UTC))

    def read_certificate(self) -> x509.Certificate:
        """Return the certificate; raise ``InvalidTlsMaterialError`` if unreadable."""
        try:
            return x509.load_pem_x509_certificate(self.certificate.read_bytes())
        except (OSError, ValueError) as error:
            raise InvalidTlsMaterialError(
                f"{self.certificate} cannot be read ({_describe(error)}); "
                "use a PEM certificate"
            ) from error

    def _check_validity(self, now: datetime) -> None:
        """Raise ``InvalidTlsMaterialError`` outside the validity of the certificate."""
        certificate = self.read_certificate()
        if now > certificate.not_valid_after_utc:
            raise InvalidTlsMaterialError(
                f"{self.certificate} expired at {certificate.not_valid_after_utc}; "
                "issue a new certificate"
            )
        if now < certificate.not_valid_before_utc:
            raise InvalidTlsMaterialError(
                f"{self.certificate} is not valid before "
                f"{certificate.not_valid_before_utc}; "
                "check the machine's clock"
            )


def _load_authorities(context: ssl.SSLContext, path: Path) -> None:
    """Raise ``InvalidTlsMaterialError`` unless the file contains certificates."""
    try:
        context.load_verify_locations(cafile=path)
    except OSError as error:
        raise InvalidTlsMaterialError(
            f"{path} cannot be used ({_describe(error)}); "
            "use the certificates of the authorities as PEM"
        ) from error


def _empty_password() -> str:
    """Return an empty password, so that an encrypted key fails instead of prompting."""
    return ""


def _describe(error: Exception) -> str:
    """Return a one-line description of an error."""
    if isinstance(error, ssl.SSLError):
        return error.reason or "not a PEM file"
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error).splitlines()[0]
