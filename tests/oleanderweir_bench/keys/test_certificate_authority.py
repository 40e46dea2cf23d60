from __future__ import annotations

from typing import TYPE_CHECKING

from cryptography import x509

from oleanderweir_bench.keys import CertificateAuthority


if TYPE_CHECKING:
    from pathlib import Path


def test_service_certificate_is_signed_and_names_the_service(tmp_path: Path) -> None:
    authority = CertificateAuthority()

    files = authority.write(tmp_path, "horaflujo", hosts=["127.0.0.1"])

    certificate = x509.load_pem_x509_certificate(files.certificate.read_bytes())
    certificate.verify_directly_issued_by(authority.certificate)
    names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    assert names.value.get_values_for_type(x509.DNSName) == ["horaflujo"]
    assert [str(ip) for ip in names.value.get_values_for_type(x509.IPAddress)] == [
        "127.0.0.1"
    ]


def test_private_key_is_readable_by_its_owner_only(tmp_path: Path) -> None:
    files = CertificateAuthority().write(tmp_path, "horaflujo")

    assert files.private_key.stat().st_mode & 0o077 == 0
