"""What this process knows of the other instances."""

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
    The last instance list, corrected by what this process saw itself.

    The list lags. So an instance that opened a session is known for
    ``observed_lease_s`` after it was heard last, though the list lacks it, and one
    that didn't answer is suspected for ``suspicion_s``, though the list has it.
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
        Take a newly read list; return whether it was taken.

        ``availability_zone`` tells that the list covers that zone only. An empty list,
        which a platform in trouble gives, leaves the last one in use.
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
        """Return what is listed for the other availability zones."""
        return {
            name: record
            for name, record in self.listed.items()
            if record.availability_zone != availability_zone
        }

    def record_observed(self, record: InstanceRecord) -> None:
        """Remember an instance that introduced itself; renew its lease."""
        known = self.observed.get(record.name)
        is_new = known is None or known.record != record
        was_suspected = self.suspected_until.pop(record.name, None) is not None
        if is_new or was_suspected:
            self.version += 1
        self.observed[record.name] = ObservedInstance(
            record=record, expires_at=trio.current_time() + self.observed_lease_s
        )

    def suspect(self, name: str) -> None:
        """Remember that an instance didn't answer, though it may be listed."""
        self.version += 1
        self.suspected_until[name] = trio.current_time() + self.suspicion_s

    def is_suspected(self, name: str) -> bool:
        """Whether an instance failed to answer a short time ago."""
        deadline = self.suspected_until.get(name)
        if deadline is None:
            return False
        if deadline > trio.current_time():
            return True
        del self.suspected_until[name]
        self.version += 1
        return False

    def instances(self) -> dict[str, InstanceRecord]:
        """Return every known instance by name; what was seen goes before the list."""
        now = trio.current_time()
        expired = [n for n, known in self.observed.items() if known.expires_at <= now]
        for name in expired:
            del self.observed[name]
            self.version += 1
        seen = {name: known.record for name, known in self.observed.items()}
        return {**self.listed, **seen}
