"""Code that the oleanderweir balancer and agent share."""

from __future__ import annotations
