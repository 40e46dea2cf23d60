from __future__ import annotations

import attrs
import pytest

from oleanderweir.configuration_service import InstanceListReader
from oleanderweir.configuration_service import InvalidServiceResponseError
from oleanderweir.configuration_service import ServiceUnavailableError
from oleanderweir.configuration_service.messages import InstanceListPart
from oleanderweir.membership.instance_record import InstanceRecord
from oleanderweir.membership.instance_role import InstanceRole
from oleanderweir.membership.instance_state import InstanceState
from oleanderweir.net import SocketAddress
from tests.oleanderweir.configuration_service.fakes import scripted_client


RECORD = InstanceRecord(
    name="h-1",
    role=InstanceRole.AGENT,
    region="south",
    availability_zone="stgo-b",
    peer_address=SocketAddress(host="192.0.2.9", port=4434),
    data_address=SocketAddress(host="192.0.2.9", port=4433),
    state=InstanceState.LEAVING,
)
FIRST = InstanceListPart(version=3, part=0, parts=2, instances=(RECORD,))
SECOND = attrs.evolve(FIRST, part=1)


async def test_list_is_assembled_from_its_parts() -> None:
    service, client = scripted_client(FIRST, SECOND)
    reader = InstanceListReader(client=client, availability_zone="stgo-b")

    assert await reader.read_instances() == (RECORD, RECORD)

    assert service.requests[1] == "/v1/instances?part=1&availability_zone=stgo-b"


async def test_list_replaced_during_every_read_is_an_error() -> None:
    _, client = scripted_client(*[FIRST, attrs.evolve(SECOND, version=4)] * 3)

    with pytest.raises(ServiceUnavailableError, match="instance list was replaced"):
        await InstanceListReader(client=client).read_instances()


@pytest.mark.parametrize(
    ("field", "value"),
    [("role", "cook"), ("state", "asleep"), ("peer_address", "x"), ("name", 4)],
)
async def test_invalid_records_are_rejected(field: str, value: object) -> None:
    document = b'{"version":3,"part":0,"parts":1,"instances":[%s]}'
    fields: dict[str, object] = {
        "name": "h-1",
        "role": "agent",
        "region": "south",
        "availability_zone": "stgo-b",
        "peer_address": "192.0.2.9:1",
        "data_address": "192.0.2.9:1",
        "state": "live",
    }
    text = str(fields | {field: value}).replace("'", '"').encode()
    _, client = scripted_client(document % text)

    with pytest.raises(InvalidServiceResponseError):
        await InstanceListReader(client=client).read_instances()
