from __future__ import annotations

from oleanderweir.event_log import trace_flow


LINES = [
    'agent {"time": 2.5, "instance": "a1", "code": "request_started", '
    '"flow": "100.64.0.7:1>198.18.0.1:443", "busy": 3}',
    '{"time": 2.0, "instance": "b1", "code": "flow_placed", '
    '"flow": "100.64.0.7:1>198.18.0.1:443", "version": 4}',
    '{"time": 2.1, "instance": "b1", "code": "flow_placed", '
    '"flow": "100.64.0.8:1>198.18.0.1:443"}',
    "100.64.0.7:1 {no json",
]


def test_a_trace_merges_the_lines_of_all_processes_by_time() -> None:
    trace = trace_flow("100.64.0.7:1>198.18.0.1:443", LINES)

    assert [str(line) for line in trace] == [
        "2.0000 b1 flow_placed version=4",
        "2.5000 a1 request_started busy=3",
    ]


def test_a_prefix_selects_all_matching_flows() -> None:
    assert len(trace_flow("100.64.0.", LINES)) == 3
