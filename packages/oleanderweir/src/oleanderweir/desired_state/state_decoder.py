"""How published documents are read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_record import BackendRecord
    from oleanderweir.desired_state.desired_state import DesiredState


class StateDecoder(Protocol):
    """The format of the documents; both raise ``InvalidDocumentError``."""

    def decode_desired_state(self, document: bytes) -> DesiredState:
        """Return the routes of a document."""

    def decode_backend_server(self, name: str, document: bytes) -> BackendRecord:
        """Return the backend server of a document published under ``name``."""
