"""The interface for decoding published documents."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_record import BackendRecord
    from oleanderweir.desired_state.desired_state import DesiredState


class StateDecoder(Protocol):
    """Decodes documents; all methods raise ``InvalidDocumentError``."""

    def decode_desired_state(self, document: bytes) -> DesiredState:
        """Decode the configuration of routes."""

    def decode_evacuated_zone(self, name: str) -> str | None:
        """
        Return the availability zone of the evacuation order published under ``name``.

        Return ``None`` for a document that is no such order.
        """

    def check_evacuation_order(self, document: bytes) -> None:
        """Check the value of an evacuation order, which is in force nevertheless."""

    def decode_backend_server(self, name: str, document: bytes) -> BackendRecord:
        """Decode the record of a backend server published under ``name``."""
