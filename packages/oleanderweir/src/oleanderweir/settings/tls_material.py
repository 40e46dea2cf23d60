"""Certificate, private key and authorities of one end of TLS."""

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
    """Paths of PEM files; ``authorities`` is absent where no peer is verified."""

    certificate: Path
    private_key: Path
    authorities: Path | None = None

    def check(self, *, now: datetime | None = None) -> None:
        """
        Read every file.

        Raises ``InvalidTlsMaterialError`` if a file can't be read, the certificate
        and the private key don't belong together, or the certificate is out of date.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(self.certificate, self.private_key, _empty_password)
        except (OSError, ValueError) as error:
            raise InvalidTlsMaterialError(
                f"{self.certificate} and {self.private_key} can't be used "
                f"({_describe(error)}); give a PEM certificate and its private key"
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
                f"{self.certificate} can't be read ({_describe(error)}); "
                "give a PEM certificate"
            ) from error

    def _check_validity(self, now: datetime) -> None:
        """Raise ``InvalidTlsMaterialError`` if the certificate is out of date."""
        certificate = self.read_certificate()
        if now > certificate.not_valid_after_utc:
            raise InvalidTlsMaterialError(
                f"{self.certificate} ended at {certificate.not_valid_after_utc}; "
                "issue a new certificate"
            )
        if now < certificate.not_valid_before_utc:
            raise InvalidTlsMaterialError(
                f"{self.certificate} begins at {certificate.not_valid_before_utc}; "
                "check the machine's clock"
            )


def _load_authorities(context: ssl.SSLContext, path: Path) -> None:
    """Raise ``InvalidTlsMaterialError`` unless the file lists authorities."""
    try:
        context.load_verify_locations(cafile=path)
    except OSError as error:
        raise InvalidTlsMaterialError(
            f"{path} can't be used ({_describe(error)}); "
            "give the certificates of the authorities as PEM"
        ) from error


def _empty_password() -> str:
    """Answer for an encrypted private key, so that nothing waits for a terminal."""
    return ""


def _describe(error: Exception) -> str:
    """Return what is wrong, in one line."""
    if isinstance(error, ssl.SSLError):
        return error.reason or "no PEM"
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error).splitlines()[0]
