"""The envelope that carries packets between balancers and agents."""

from __future__ import annotations

from oleanderweir.envelope.envelope import Envelope
from oleanderweir.envelope.envelope_codec import EnvelopeCodec
from oleanderweir.envelope.exceptions import InvalidEnvelopeError


__all__ = ["Envelope", "EnvelopeCodec", "InvalidEnvelopeError"]
