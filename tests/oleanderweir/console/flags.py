from __future__ import annotations

from typing import TYPE_CHECKING

from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers_admin import find_free_address
from tests.oleanderweir.settings.tls_files import LONG_VALIDITY
from tests.oleanderweir.settings.tls_files import write_tls_files


if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


def make_process_flags(folder: Path) -> dict[str, str]:
    """Return valid values for the flags that every process requires."""
    material = write_tls_files(folder, validity=LONG_VALIDITY)
    return {
        "--instance-name": "node-1",
        "--availability-zone": "scl-a",
        "--peer-address": str(find_free_address()),
        "--admin-address": str(find_free_address()),
        "--keys": NEW_KEY,
        "--peer-tls-certificate": str(material.certificate),
        "--peer-tls-private-key": str(material.private_key),
        "--peer-tls-ca": str(material.authorities),
        "--configuration-url": "http://127.0.0.1:8500",
    }


def join_flags(flags: Mapping[str, str]) -> list[str]:
    return [part for pair in flags.items() for part in pair]


def to_environment(flags: Mapping[str, str]) -> dict[str, str]:
    return {
        "OLEANDERWEIR_" + flag.removeprefix("--").replace("-", "_").upper(): value
        for flag, value in flags.items()
    }
