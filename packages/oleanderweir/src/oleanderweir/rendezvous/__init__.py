"""Rendezvous hashing and hash rings over instance names."""

from __future__ import annotations

from oleanderweir.rendezvous.rendezvous import first_ranked
from oleanderweir.rendezvous.rendezvous import ring_successor
from oleanderweir.rendezvous.rendezvous import ring_successors
from oleanderweir.rendezvous.rendezvous import score


__all__ = ["first_ranked", "ring_successor", "ring_successors", "score"]
