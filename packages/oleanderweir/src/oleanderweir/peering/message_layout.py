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

    ``positions`` are the indexes of fields that hold positions of the source.
    """

    message_type: type[Message]
    names: tuple[str, ...]
    checks: tuple[Callable[[Any], bool], ...]
    has_optional_last_field: bool
    positions: tuple[int, ...]

    @classmethod
    def of(
        cls,
        message_type: type[Message],
        *,
        has_optional_last_field: bool,
        positions: Sequence[str],
    ) -> MessageLayout:
        """Return the layout of a message type; ``positions`` are names of fields."""
        fields = attrs.fields(message_type)
        names = tuple(field.name for field in fields)
        return cls(
            message_type=message_type,
            names=names,
            checks=tuple(find_check(field) for field in fields),
            has_optional_last_field=has_optional_last_field,
            positions=tuple(names.index(name) for name in positions),
        )

    def is_omitted(self, index: int, values: Sequence[Any]) -> bool:
        """Whether a field is the optional last one, and was not sent."""
        is_optional = self.has_optional_last_field and index == len(self.names) - 1
        return is_optional and len(values) == index

    def make_message(self, values: Sequence[Any]) -> Message:
        """Return the message with these values; raise ``ValueError`` if invalid."""
        missing = len(self.names) - len(values)
        if missing and not (missing == 1 and self.has_optional_last_field):
            raise ValueError(f"got {len(values)} fields, expected {len(self.names)}")
        for is_valid, value in zip(self.checks, values, strict=False):
            if not is_valid(value):
                raise ValueError("a field has another type or is out of range")
        return self.message_type(**dict(zip(self.names, values, strict=False)))
