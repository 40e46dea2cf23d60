from __future__ import annotations

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import make_position
from tests.oleanderweir.desired_state.fakes import backend_document


HOST = "10.0.0.1"


def restored(revision: int) -> int:
    """Return a position in the history after a restore."""
    return make_position(history=1, revision=revision)


def make_document(
    state: str = "ready", *, started_at_ms: int = 1000, sequence: int
) -> bytes:
    return backend_document(
        host=HOST, state=state, started_at_ms=started_at_ms, sequence=sequence
    )


def write(register: StateRegister, document: bytes | None, *, revision: int) -> None:
    """Apply one change of the backend server ``b1``."""
    change = Change(name="b1", revision=revision, document=document)
    changes = Changes(topic=Topic.BACKEND_SERVERS, revision=revision, changes=(change,))
    register.apply_changes(changes, origin="test")


def list_documents(
    register: StateRegister, *, revision: int, **documents: bytes
) -> None:
    """Apply a listing of documents by name."""
    changes = tuple(
        Change(name=name, revision=revision, document=document)
        for name, document in documents.items()
    )
    listing = Listing(topic=Topic.BACKEND_SERVERS, revision=revision, documents=changes)
    register.apply_listing(listing, origin="test")
