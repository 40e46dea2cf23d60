"""Finding out which agent's backend server holds a flow."""

from __future__ import annotations

from oleanderweir.lookups.finder_links import FinderLinks
from oleanderweir.lookups.lookup import Lookup
from oleanderweir.lookups.lookup_table import LookupTable
from oleanderweir.lookups.owner_finder import MAX_DIRECT_QUESTIONS
from oleanderweir.lookups.owner_finder import OwnerFinder


__all__ = [
    "MAX_DIRECT_QUESTIONS",
    "FinderLinks",
    "Lookup",
    "LookupTable",
    "OwnerFinder",
]
