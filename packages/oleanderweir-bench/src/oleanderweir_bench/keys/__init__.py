"""TLS certificates and private keys for tests and experiments."""

from __future__ import annotations

from oleanderweir_bench.keys.certificate_authority import CertificateAuthority
from oleanderweir_bench.keys.certificate_files import CertificateFiles
from oleanderweir_bench.keys.key_pair import KeyPair


__all__ = ["CertificateAuthority", "CertificateFiles", "KeyPair"]
