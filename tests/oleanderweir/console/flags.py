from __future__ import annotations

from typing import TYPE_CHECKING

from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers_admin import find_free_address


if TYPE_CHECKING:
    from collections.abc import Mapping


def make_process_flags() -> dict[str, str]:
    """Return usable values for the flags that every process needs."""
    return {
        "--instance-name": "node-1",
        "--availability-zone": "scl-a",
        "--peer-address": str(find_free_address()),
        "--admin-address": str(find_free_address()),
        "--keys": NEW_KEY,
        "--configuration-url": "http://127.0.0.1:8500",
    }


def join_flags(flags: Mapping[str, str]) -> list[str]:
    return [part for item in flags.items() for part in item]


def to_environment(flags: Mapping[str, str]) -> dict[str, str]:
    return {
        "OLEANDERWEIR_" + flag.removeprefix("--").replace("-", "_").upper(): value
        for flag, value in flags.items()
    }
