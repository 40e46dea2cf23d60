"""Lookups of the agent whose backend server holds a flow."""

from __future__ import annotations

from oleanderweir.lookups.lookup import Lookup
from oleanderweir.lookups.lookup_table import MAX_LOOKUPS
from oleanderweir.lookups.lookup_table import LookupTable
from oleanderweir.lookups.lookup_transport import LookupTransport
from oleanderweir.lookups.owner_lookup import OwnerLookup
from oleanderweir.lookups.query_sender import MAX_DIRECT_QUERIES


__all__ = [
    "MAX_DIRECT_QUERIES",
    "MAX_LOOKUPS",
    "LookupTransport",
    "Lookup",
    "LookupTable",
    "OwnerLookup",
]
