from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from oleanderweir.settings import TlsMaterial


if TYPE_CHECKING:
    from pathlib import Path


ISSUED_AT = datetime(2026, 1, 1, tzinfo=UTC)
VALIDITY = timedelta(days=30)
LONG_VALIDITY = timedelta(days=36_500)


def write_tls_files(folder: Path, *, validity: timedelta = VALIDITY) -> TlsMaterial:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "horaflujo")])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(ISSUED_AT)
        .not_valid_after(ISSUED_AT + validity)
        .sign(key, hashes.SHA256())
    )
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / "certificate.pem").write_bytes(pem)
    (folder / "private_key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsMaterial(
        certificate=folder / "certificate.pem",
        private_key=folder / "private_key.pem",
        authorities=folder / "certificate.pem",
    )
