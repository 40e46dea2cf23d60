"""Validation rules for the fields of a ticket."""

from __future__ import annotations

from oleanderweir.tickets.rules.address_rule import AddressRule
from oleanderweir.tickets.rules.boolean_rule import BooleanRule
from oleanderweir.tickets.rules.exceptions import InvalidFieldError
from oleanderweir.tickets.rules.field_rule import FieldRule
from oleanderweir.tickets.rules.integer_rule import IntegerRule
from oleanderweir.tickets.rules.name_rule import NameRule
from oleanderweir.tickets.rules.number_rule import NumberRule
from oleanderweir.tickets.rules.path_list_rule import PathListRule
from oleanderweir.tickets.rules.text_rule import TextRule


__all__ = [
    "AddressRule",
    "BooleanRule",
    "FieldRule",
    "IntegerRule",
    "InvalidFieldError",
    "NameRule",
    "NumberRule",
    "PathListRule",
    "TextRule",
]
