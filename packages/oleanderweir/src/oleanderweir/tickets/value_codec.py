"""
Converts services and backend servers to and from plain documents.

A document contains a value's fields by name. Fields at their default are omitted, so
that a field added later does not change the documents of earlier tickets.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

import attrs
import cattrs

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir.tickets.entry_kind import EntryKind


if TYPE_CHECKING:
    from collections.abc import Mapping


VALUE_TYPES: dict[EntryKind, type[Service | BackendServer]] = {
    EntryKind.SERVICE: Service,
    EntryKind.BACKEND_SERVER: BackendServer,
}
FIELD_NAMES: dict[EntryKind, frozenset[str]] = {
    kind: frozenset(field.name for field in attrs.fields(value_type))
    for kind, value_type in VALUE_TYPES.items()
}


def make_converter() -> cattrs.Converter:
    """Return a converter that writes addresses as ``HOST:PORT``."""
    for value_type in VALUE_TYPES.values():
        # The annotations are strings that name ``SocketAddress``, which the modules of
        # these types import for type checking only.
        attrs.resolve_types(value_type, localns={"SocketAddress": SocketAddress})
    converter = cattrs.Converter(omit_if_default=True, detailed_validation=False)
    converter.register_unstructure_hook(SocketAddress, str)
    converter.register_structure_hook(SocketAddress, structure_address)
    for plain_type in (bool, int, str):
        converter.register_structure_hook(plain_type, structure_exactly)
    converter.register_structure_hook(float, structure_finite)
    return converter


def structure_address(value: object, _: type) -> SocketAddress:
    """Return the address that ``HOST:PORT`` describes."""
    return SocketAddress.parse(structure_exactly(value, str))


def structure_exactly(value: object, expected: type) -> Any:
    """Return the value unconverted; raise ``TypeError`` if it has another type."""
    if type(value) is not expected:
        raise TypeError(f"{value!r} is not of type {expected.__name__}")
    return value


def structure_finite(value: object, _: type) -> float:
    """
    Return a finite number as a float.

    Raise ``TypeError`` if the value is not a number, and ``ValueError`` if it is
    infinite or NaN.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return float(value)


CONVERTER = make_converter()


def unstructure_value(value: Service | BackendServer) -> dict[str, Any]:
    """Return the document of a value without the fields at their default."""
    document: dict[str, Any] = CONVERTER.unstructure(value)
    return document


def structure_value(
    kind: EntryKind, document: Mapping[str, Any]
) -> Service | BackendServer:
    """
    Return the value that a document describes, ignoring unknown fields.

    Raise ``ValueError``, ``TypeError``, ``KeyError`` or an ``OleanderweirError`` if the
    document is invalid.
    """
    return CONVERTER.structure(document, VALUE_TYPES[kind])
