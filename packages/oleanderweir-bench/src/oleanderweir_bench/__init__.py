"""Stand-ins, load generators and experiments for oleanderweir."""

from __future__ import annotations
