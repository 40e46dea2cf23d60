"""The fields of a message type in a datagram, and their checks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

from oleanderweir.peering.field_types import find_check


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.peering.messages import Message


@attrs.frozen(kw_only=True, eq=False)
class MessageLayout:
    """
    The names and checks of the fields of ``message_type``, in their order.

    ``positions`` are the indexes of fields that hold positions of the source, and the
    last ``optional_fields`` fields may be omitted.
    """

    message_type: type[Message]
    names: tuple[str, ...]
    checks: tuple[Callable[[Any], bool], ...]
    optional_fields: int
    positions: tuple[int, ...]

    @classmethod
    def of(
        cls,
        message_type: type[Message],
        *,
        optional_fields: int,
        positions: Sequence[str],
    ) -> MessageLayout:
        """Return the layout of a message type; ``positions`` are names of fields."""
        fields = attrs.fields(message_type)
        names = tuple(field.name for field in fields)
        return cls(
            message_type=message_type,
            names=names,
            checks=tuple(find_check(field) for field in fields),
            optional_fields=optional_fields,
            positions=tuple(names.index(name) for name in positions),
        )

    def is_omitted(self, index: int, values: Sequence[Any]) -> bool:
        """Whether a field is an optional one, and was not sent."""
        return index >= self.required_fields and len(values) <= index

    @property
    def required_fields(self) -> int:
        """The number of fields that are always sent."""
        return len(self.names) - self.optional_fields

    def make_message(self, values: Sequence[Any]) -> Message:
        """Return the message with these values; raise ``ValueError`` if invalid."""
        if not self.required_fields <= len(values) <= len(self.names):
            raise ValueError(f"got {len(values)} fields, expected {len(self.names)}")
        for is_valid, value in zip(self.checks, values, strict=False):
            if not is_valid(value):
                raise ValueError("a field has another type or is out of range")
        return self.message_type(**dict(zip(self.names, values, strict=False)))
