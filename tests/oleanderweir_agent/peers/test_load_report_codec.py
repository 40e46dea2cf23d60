from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir_agent.load import LoadReport
from oleanderweir_agent.peers.exceptions import InvalidLoadReportError
from oleanderweir_agent.peers.load_report_codec import LoadReportCodec
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers import make_key_ring


CODEC = LoadReportCodec(key_ring=make_key_ring())
REPORT = LoadReport(
    name="horaflujo-1",
    incarnation=7,
    sequence=3,
    slots=4,
    limit=4,
    free_slots=2,
    free_long_slots=1,
    waiting=0,
    expected_wait_s=0.0,
    busy_share=0.5,
    service_time_s=0.1,
    sessions=12,
)


def test_encode_and_decode_round_trip() -> None:
    assert CODEC.decode(CODEC.encode(REPORT)) == REPORT


def test_a_report_with_an_unknown_key_is_rejected() -> None:
    foreign = LoadReportCodec(key_ring=make_key_ring(NEW_KEY))

    with pytest.raises(InvalidLoadReportError):
        CODEC.decode(foreign.encode(REPORT))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(InvalidLoadReportError):
        CODEC.decode(data)


@given(
    st.sampled_from([field.name for field in attrs.fields(LoadReport)]),
    st.one_of(st.none(), st.text(), st.lists(st.integers(0, 99))),
)
def test_an_authentic_report_with_another_field_type_decodes_or_raises(
    field: str, value: object
) -> None:
    fields = {**attrs.asdict(REPORT), field: value}
    data = CODEC.authenticator.protect(CODEC.converter.dumps(fields))

    try:
        report = CODEC.decode(data)
    except InvalidLoadReportError:
        return
    assert isinstance(report, LoadReport)
