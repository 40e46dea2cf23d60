"""Shared parts of the oleanderweir load balancer."""

from __future__ import annotations
