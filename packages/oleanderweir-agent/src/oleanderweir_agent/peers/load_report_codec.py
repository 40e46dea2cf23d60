"""Encoding and authentication of load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgpack
from cattrs import ClassValidationError
from cattrs.preconf.msgpack import make_converter

from oleanderweir.keys import KeyPurpose
from oleanderweir.keys import MessageAuthenticator
from oleanderweir.keys import UnauthenticMessageError
from oleanderweir_agent.load import LoadReport
from oleanderweir_agent.peers.exceptions import InvalidLoadReportError


if TYPE_CHECKING:
    from oleanderweir.keys import KeyRing


class LoadReportCodec:
    """Encodes and decodes load reports as authenticated msgpack."""

    def __init__(self, *, key_ring: KeyRing) -> None:
        self.authenticator = MessageAuthenticator(
            key_ring=key_ring, purpose=KeyPurpose.LOAD_REPORT
        )
        self.converter = make_converter()

    def encode(self, report: LoadReport) -> bytes:
        """Return a report as authenticated bytes."""
        return self.authenticator.protect(msgpack.packb(attrs.asdict(report)))

    def decode(self, data: bytes) -> LoadReport:
        """Decode a report; raise ``InvalidLoadReportError`` if it is invalid."""
        try:
            body = self.authenticator.verify(data)
            return self.converter.structure(msgpack.unpackb(body), LoadReport)
        except (
            UnauthenticMessageError,
            ClassValidationError,
            msgpack.UnpackException,
            ValueError,
        ) as error:
            raise InvalidLoadReportError(
                "cannot decode a load report; use the same keys and version on all "
                "instances"
            ) from error
