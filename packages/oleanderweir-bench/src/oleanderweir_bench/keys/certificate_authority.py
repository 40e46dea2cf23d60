"""A short-lived certificate authority for one experiment."""

from __future__ import annotations

import datetime
import ipaddress
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from oleanderweir.replication import PeerCredentials
from oleanderweir_bench.keys.certificate_files import CertificateFiles
from oleanderweir_bench.keys.key_pair import KeyPair


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


VALIDITY = datetime.timedelta(days=2)
CLOCK_SKEW = datetime.timedelta(hours=1)
PRIVATE_KEY_MODE = 0o600


class CertificateAuthority:
    """
    Issues certificates for services and instances.

    Certificates are valid from ``CLOCK_SKEW`` before ``now`` to ``VALIDITY`` after it.
    """

    def __init__(
        self,
        *,
        common_name: str = "oleanderweir bench",
        now: datetime.datetime | None = None,
    ) -> None:
        self.now = now or datetime.datetime.now(datetime.UTC)
        self.private_key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])
        self.certificate = self.build_authority_certificate()

    @property
    def certificate_pem(self) -> bytes:
        """The certificate that callers trust, as PEM."""
        return self.certificate.public_bytes(serialization.Encoding.PEM)

    def issue(
        self, name: str, *, dns_names: Sequence[str] = (), hosts: Sequence[str] = ()
    ) -> KeyPair:
        """
        Issue a certificate for ``name``.

        The subject's alternative names are ``name``, ``dns_names`` and the IP
        addresses ``hosts``.
        """
        private_key = ec.generate_private_key(ec.SECP256R1())
        alternatives: list[x509.GeneralName] = [
            x509.DNSName(dns_name) for dns_name in (name, *dns_names)
        ]
        alternatives += [x509.IPAddress(ipaddress.ip_address(host)) for host in hosts]
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        builder = self.create_builder(subject, private_key.public_key())
        builder = builder.add_extension(
            x509.SubjectAlternativeName(alternatives), critical=False
        )
        builder = builder.add_extension(
            x509.BasicConstraints(ca=False, path_length=None), critical=True
        )
        certificate = builder.sign(self.private_key, hashes.SHA256())
        return KeyPair(
            certificate_pem=certificate.public_bytes(serialization.Encoding.PEM),
            private_key_pem=encode_private_key(private_key),
        )

    def write(
        self, folder: Path, name: str, *, hosts: Sequence[str] = ()
    ) -> CertificateFiles:
        """Issue a certificate for ``name`` and write both files into ``folder``."""
        pair = self.issue(name, hosts=hosts)
        files = CertificateFiles(
            certificate=folder / f"{name}.crt.pem",
            private_key=folder / f"{name}.key.pem",
        )
        files.certificate.write_bytes(pair.certificate_pem)
        files.private_key.touch(mode=PRIVATE_KEY_MODE)
        files.private_key.write_bytes(pair.private_key_pem)
        return files

    def write_authority(self, folder: Path) -> Path:
        """Write the authority's own certificate into ``folder``; return its path."""
        path = folder / "ca.crt.pem"
        path.write_bytes(self.certificate_pem)
        return path

    def write_peer_credentials(self, folder: Path) -> PeerCredentials:
        """Write the certificates of instances into ``folder``; return their paths."""
        files = self.write(folder, "instance")
        return PeerCredentials(
            certificate_path=str(files.certificate),
            key_path=str(files.private_key),
            authority_path=str(self.write_authority(folder)),
        )

    def build_authority_certificate(self) -> x509.Certificate:
        """Return the self-signed certificate of the authority."""
        builder = self.create_builder(self.name, self.private_key.public_key())
        builder = builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        return builder.sign(self.private_key, hashes.SHA256())

    def create_builder(
        self, subject: x509.Name, public_key: ec.EllipticCurvePublicKey
    ) -> x509.CertificateBuilder:
        """Return a builder with the fields that all certificates have in common."""
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(self.now - CLOCK_SKEW)
            .not_valid_after(self.now + VALIDITY)
        )


def encode_private_key(private_key: ec.EllipticCurvePrivateKey) -> bytes:
    """Return the private key as unencrypted PEM (PKCS 8)."""
    return private_key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
