"""Flows, their keys and packets; payloads are opaque to the load balancer."""

from __future__ import annotations

from oleanderweir.flows.candidate_hosts import LOOKUP_CANDIDATES
from oleanderweir.flows.candidate_hosts import PLACEMENT_CANDIDATES
from oleanderweir.flows.candidate_hosts import candidate_hosts
from oleanderweir.flows.flow_key import FLOW_KEY_BYTES
from oleanderweir.flows.flow_key import FlowKey
from oleanderweir.flows.flow_key import caller_host
from oleanderweir.flows.flow_key import describe_flow
from oleanderweir.flows.flow_key import make_flow_key
from oleanderweir.flows.flow_key import route_address
from oleanderweir.flows.packet import Packet
from oleanderweir.flows.packet_codec import PacketCodec
from oleanderweir.flows.sequence_numbers import MAX_ACKNOWLEDGED_DISTANCE
from oleanderweir.flows.sequence_numbers import SEQUENCE_MODULUS
from oleanderweir.flows.sequence_numbers import are_far


__all__ = [
    "FLOW_KEY_BYTES",
    "LOOKUP_CANDIDATES",
    "MAX_ACKNOWLEDGED_DISTANCE",
    "PLACEMENT_CANDIDATES",
    "SEQUENCE_MODULUS",
    "FlowKey",
    "Packet",
    "PacketCodec",
    "are_far",
    "caller_host",
    "candidate_hosts",
    "describe_flow",
    "make_flow_key",
    "route_address",
]
