"""The faults that the fabric injects."""

from __future__ import annotations

import attrs
from attrs import validators


PROBABILITY = (validators.ge(0.0), validators.le(1.0))
PERIOD_S = (validators.ge(0.0), validators.le(60.0))


@attrs.frozen(kw_only=True)
class Conditions:
    """
    The faults that the fabric injects in both directions.

    ``loss``, ``duplication`` and ``reorder`` are probabilities for each packet. Every
    packet is delayed by ``delay_s``, a reordered one by ``reorder_delay_s`` more.
    Packets of callers and balancers whose hosts are in ``cut_hosts`` are dropped.
    """

    loss: float = attrs.field(default=0.0, validator=PROBABILITY)
    duplication: float = attrs.field(default=0.0, validator=PROBABILITY)
    reorder: float = attrs.field(default=0.0, validator=PROBABILITY)
    delay_s: float = attrs.field(default=0.0, validator=PERIOD_S)
    reorder_delay_s: float = attrs.field(default=0.01, validator=PERIOD_S)
    cut_hosts: frozenset[str] = frozenset()

    @property
    def has_no_faults(self) -> bool:
        """Whether packets are forwarded unchanged and at once."""
        return not (
            self.loss
            or self.duplication
            or self.reorder
            or self.delay_s
            or self.cut_hosts
        )
