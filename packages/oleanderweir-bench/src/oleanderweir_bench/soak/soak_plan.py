"""The size and the course of one soak."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class SoakPlan:
    """
    How many of each, and for how long, in seconds.

    Faults begin during ``faults_s``. After the last one the site has ``recovery_s``, in
    which one backend server leaves as planned; the requests of the ``measured_s`` that
    follow must be served again.
    """

    seed: int
    balancers: int = 3
    backends: int = 5
    callers: int = 40
    faults_s: float = 12.0
    recovery_s: float = 12.0
    measured_s: float = 3.0
