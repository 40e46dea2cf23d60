"""The instances of the fleet, from the instance list and from observation."""

from __future__ import annotations

from oleanderweir.membership.instance_list_source import InstanceListSource
from oleanderweir.membership.instance_record import InstanceRecord
from oleanderweir.membership.instance_role import InstanceRole
from oleanderweir.membership.instance_state import InstanceState
from oleanderweir.membership.membership import Membership
from oleanderweir.membership.observed_instance import ObservedInstance


__all__ = [
    "InstanceListSource",
    "InstanceRecord",
    "InstanceRole",
    "InstanceState",
    "ObservedInstance",
    "Membership",
]
