from __future__ import annotations

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding import FlowAdmission
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import make_key


HOST = "10.0.0.1"


def make_document(state: str, *, started_at_ms: int) -> bytes:
    return backend_document(host=HOST, state=state, started_at_ms=started_at_ms)


def make_admission(register: StateRegister) -> FlowAdmission:
    return FlowAdmission(
        register=register,
        service="feed",
        host=HOST,
        port=8080,
        availability_zone="a",
    )


def add_backend(register: StateRegister, name: str, document: bytes) -> None:
    change = Change(name=name, revision=11, document=document)
    changes = Changes(topic=Topic.BACKEND_SERVERS, revision=11, changes=(change,))
    register.apply_changes(changes, origin="test")


async def test_of_two_listed_records_the_later_start_counts() -> None:
    register = make_register()
    backends = {
        "b1": make_document("draining", started_at_ms=1000),
        "b2": make_document("ready", started_at_ms=2000),
    }
    publish(register, backends=backends)

    record = make_admission(register).update_record()

    assert record is not None
    assert record.state is BackendState.READY


async def test_a_new_backend_server_whose_clock_was_set_back_is_not_draining() -> None:
    register = make_register()
    publish(register, backends={"b1": make_document("draining", started_at_ms=5000)})

    # The entry of the one before it is published until its lease ends.
    add_backend(register, "b2", make_document("ready", started_at_ms=2000))

    record = make_admission(register).update_record()
    assert record is not None
    assert record.state is BackendState.READY


# Guards against an agent that outlives its backend server, beside the next user of the
# address.
async def test_a_flow_is_rejected_once_another_service_uses_the_address() -> None:
    register = make_register()
    publish(register, version=1, routes={1: "feed"})
    admission = make_admission(register)
    admission.update_record()
    assert admission.check(make_key(1)) is None

    document = backend_document(host=HOST, service="archive", started_at_ms=2000)
    add_backend(register, "b2", document)
    admission.update_record()

    assert admission.check(make_key(1)) is ReturnReason.NO_ROUTE
