"""Certificates for the peers of an experiment."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from oleanderweir.replication import PeerCredentials


if TYPE_CHECKING:
    from pathlib import Path


VALIDITY = datetime.timedelta(days=1)


def write_peer_credentials(folder: Path) -> PeerCredentials:
    """Write a CA certificate, an instance certificate and its key as PEM files."""
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = make_certificate(
        "authority", authority_key, issuer="authority", issuer_key=authority_key
    )
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = make_certificate(
        "instance", key, issuer="authority", issuer_key=authority_key
    )
    pem = serialization.Encoding.PEM
    key_pem = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (folder / "authority.pem").write_bytes(authority.public_bytes(pem))
    (folder / "instance.pem").write_bytes(certificate.public_bytes(pem))
    (folder / "instance.key").write_bytes(key_pem)
    return PeerCredentials(
        certificate_path=str(folder / "instance.pem"),
        key_path=str(folder / "instance.key"),
        authority_path=str(folder / "authority.pem"),
    )


def make_certificate(
    subject: str,
    key: ec.EllipticCurvePrivateKey,
    *,
    issuer: str,
    issuer_key: ec.EllipticCurvePrivateKey,
) -> x509.Certificate:
    """Return a certificate; a self-issued one is a CA certificate."""
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(make_name(subject))
        .issuer_name(make_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(
            x509.BasicConstraints(ca=subject == issuer, path_length=None), critical=True
        )
        .sign(issuer_key, hashes.SHA256())
    )


def make_name(common_name: str) -> x509.Name:
    """Return an X.509 name that has only a common name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])
