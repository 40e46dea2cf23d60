"""Size and phases of one soak."""

from __future__ import annotations

import attrs

from oleanderweir_bench.soak.soak_extras import SoakExtras


@attrs.frozen(kw_only=True)
class SoakPlan:
    """
    Numbers of processes and callers, and the durations of the phases in seconds.

    Faults start during ``faults_s``. After the last fault the site has ``recovery_s``
    to recover, during which one backend server is drained and stopped. Requests of the
    following ``measured_s`` must be served again.

    Along with each fault, the store is restored from an older copy with
    ``restore_probability``. ``extras`` are the parts that older seeds don't have.
    """

    seed: int
    balancers: int = 3
    backends: int = 5
    callers: int = 40
    faults_s: float = 12.0
    recovery_s: float = 12.0
    measured_s: float = 3.0
    restore_probability: float = 0.1
    extras: SoakExtras = SoakExtras()
