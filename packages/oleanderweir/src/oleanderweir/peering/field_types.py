"""
Checks of the types of message fields.

A message is checked once, where it is decoded: a value of another type would raise an
error in the code that uses it, or block the process, as a host name does that has to be
looked up.
"""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING
from typing import Any

from oleanderweir.flows import FLOW_KEY_BYTES


if TYPE_CHECKING:
    from collections.abc import Callable

    import attrs


MAX_TEXT_CHARS = 255


def is_text(value: Any) -> bool:
    """Whether a value is a short string."""
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARS


def is_count(value: Any) -> bool:
    """Whether a value is an integer that is not negative."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def is_host(value: Any) -> bool:
    """Whether a value is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, value)
    except (OSError, TypeError, ValueError):
        return False
    return True


def _is_quantity(value: Any) -> bool:
    """Whether a value is a finite number that is not negative."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value) and value >= 0


def _are_hosts(value: Any) -> bool:
    return isinstance(value, list) and all(is_host(host) for host in value)


def _is_host_or_empty(value: Any) -> bool:
    return value == "" or is_host(value)


def _is_flow_key(value: Any) -> bool:
    return isinstance(value, bytes) and len(value) == FLOW_KEY_BYTES


CHECKS_BY_NAME: dict[str, Callable[[Any], bool]] = {
    "host": _is_host_or_empty,
    "reader": _is_host_or_empty,
}
# By the annotation of a field.
CHECKS: dict[str, Callable[[Any], bool]] = {
    "int": is_count,
    "float": _is_quantity,
    "str": is_text,
    "bool": lambda value: isinstance(value, bool),
    "bytes": lambda value: isinstance(value, bytes),
    "bytes | None": lambda value: value is None or isinstance(value, bytes),
    "tuple[str, ...]": _are_hosts,
    "FlowKey": _is_flow_key,
    # Their converters raise ``ValueError`` for another value.
    "DeliveryPurpose": lambda _: True,
    "PeerRole": lambda _: True,
    "ReturnReason": lambda _: True,
}


def find_check(field: attrs.Attribute[Any]) -> Callable[[Any], bool]:
    """Return the check of a field's value before its converter runs."""
    return CHECKS_BY_NAME.get(field.name) or CHECKS[str(field.type)]
