"""The instances known to this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.membership.observed_instance import ObservedInstance


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.membership.instance_record import InstanceRecord


@attrs.define(kw_only=True, eq=False)
class Membership:
    """
    The last instance list, corrected by the observations of this process.

    The list lags behind. An instance that sent a hello is therefore kept for
    ``observed_lease_s`` after it was last observed, even if the list lacks it. An
    instance that did not respond is suspected for ``suspicion_s``, even if the list
    contains it. ``has_list`` is true once a list was read. ``version`` increases
    with every change.
    """

    observed_lease_s: float
    suspicion_s: float
    listed: dict[str, InstanceRecord] = attrs.field(factory=dict)
    observed: dict[str, ObservedInstance] = attrs.field(factory=dict)
    suspected_until: dict[str, float] = attrs.field(factory=dict)
    has_list: bool = False
    version: int = 0

    def update(
        self,
        records: Iterable[InstanceRecord],
        *,
        availability_zone: str | None = None,
    ) -> bool:
        """
        Replace the list by a newly read one; return whether it was accepted.

        If ``availability_zone`` is set, the new list covers only that zone. An empty
        list, as a failing platform may return, does not replace one with instances.
        """
        listed = {record.name: record for record in records}
        if not listed and self.listed:
            return False
        self.has_list = True
        if availability_zone is not None:
            listed = {**self._listed_outside(availability_zone), **listed}
        if listed != self.listed:
            self.listed = listed
            self.version += 1
        return True

    def _listed_outside(self, availability_zone: str) -> dict[str, InstanceRecord]:
        """Return the listed instances of the other availability zones."""
        return {
            name: record
            for name, record in self.listed.items()
            if record.availability_zone != availability_zone
        }

    def record_observed(self, record: InstanceRecord) -> None:
        """Record an observed instance: renew its lease and stop suspecting it."""
        previous = self.observed.get(record.name)
        is_new = previous is None or previous.record != record
        was_suspected = self.suspected_until.pop(record.name, None) is not None
        if is_new or was_suspected:
            self.version += 1
        self.observed[record.name] = ObservedInstance(
            record=record, expires_at=trio.current_time() + self.observed_lease_s
        )

    def suspect(self, name: str) -> None:
        """Suspect an unresponsive instance for ``suspicion_s``."""
        self.version += 1
        self.suspected_until[name] = trio.current_time() + self.suspicion_s

    def is_suspected(self, name: str) -> bool:
        """Whether an instance is suspected; an expired suspicion is removed."""
        deadline = self.suspected_until.get(name)
        if deadline is None:
            return False
        if deadline > trio.current_time():
            return True
        del self.suspected_until[name]
        self.version += 1
        return False

    def instances(self) -> dict[str, InstanceRecord]:
        """Return all known instances by name; observed records override listed ones."""
        now = trio.current_time()
        expired = [
            name
            for name, instance in self.observed.items()
            if instance.expires_at <= now
        ]
        for name in expired:
            del self.observed[name]
            self.version += 1
        observed = {name: instance.record for name, instance in self.observed.items()}
        return {**self.listed, **observed}
