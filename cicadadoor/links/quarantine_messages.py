"""Define the messages that share quarantined requests within a failure domain."""

from cicadadoor.links.messages import Message


class CrashReport(Message, frozen=True, kw_only=True, tag=True):
    """Tell the agent which request fingerprints the gate refuses, with seconds left."""

    convictions: dict[str, float]


class QuarantineUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Tell an agent or gate the fingerprints that others refuse, with seconds left."""

    convictions: dict[str, float]


class ReserveServer(Message, frozen=True, kw_only=True, tag=True):
    """Ask a gate of the domain to reserve a backend server for an isolated run.

    The answer is Ack if the gate has no request in flight there and will send none
    until `hold_s` has passed; 0 ends an earlier reservation.
    """

    backend_server: str
    hold_s: float
