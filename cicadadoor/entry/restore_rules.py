"""State what a host uses of each topic after the store came back from a copy."""

import math

from cicadadoor.decisions.restored_records import RestoreRules
from cicadadoor.entry.model import (
    BackendRecord,
    HostRecord,
    Record,
    Topic,
    later_record,
)

# The platform removes entries of backend servers after three silent heartbeats, 4.5 s.
_WITHHOLD_S = 6.0
# Operators and hosts have written theirs again by then.
_HOLD_S = 6.0


def is_older(record: Record | None, known: Record | None) -> bool:
    """Return whether a record was written before a known one of the same name."""
    if isinstance(record, HostRecord) and isinstance(known, HostRecord):
        return record.written_s < known.written_s
    return record != known and later_record(known, record) is known


def _has_left(record: Record | None) -> bool:
    return isinstance(record, BackendRecord) and record.is_draining


RULES: dict[Topic, RestoreRules[Record | None]] = {
    # Each version replaces the one before; there is always one.
    Topic.POLICY: RestoreRules(hold_s=math.inf, withhold_s=0, is_older=is_older),
    # Servers whose entries are missing are followed apart, as after any outage.
    Topic.BACKENDS: RestoreRules(
        hold_s=0, withhold_s=_WITHHOLD_S, is_older=is_older, has_left=_has_left
    ),
    # An evacuation that may have ended keeps servers unused; the reverse breaks it.
    Topic.EVACUATIONS: RestoreRules(hold_s=_HOLD_S, withhold_s=0, is_older=is_older),
    Topic.HOSTS: RestoreRules(
        hold_s=_HOLD_S, withhold_s=_WITHHOLD_S, is_older=is_older
    ),
}
