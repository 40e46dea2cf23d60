"""Kinds of balancer that a deployment can run."""

from __future__ import annotations

from enum import Enum


class BalancerKind(Enum):
    """
    How balancers route established packets.

    ``ANCHORED`` reads the connection ID. ``RENDEZVOUS`` hashes addresses and is the
    baseline of the bench.
    """

    ANCHORED = "anchored"
    RENDEZVOUS = "rendezvous-hash"
