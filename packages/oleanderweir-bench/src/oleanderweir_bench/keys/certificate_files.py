"""Paths of the files of a key pair."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from pathlib import Path


@attrs.frozen(kw_only=True)
class CertificateFiles:
    """The paths of a certificate and its private key, both as PEM."""

    certificate: Path
    private_key: Path
