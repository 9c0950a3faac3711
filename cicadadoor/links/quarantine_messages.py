"""Define the messages that spread convictions within a failure domain."""

from cicadadoor.links.messages import Message


class CrashReport(Message, frozen=True, kw_only=True, tag=True):
    """Tell the agent which fingerprints the gate refuses, and for how long (s)."""

    convictions: dict[str, float]


class QuarantineUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Tell an agent, or the gate of its host, what others refuse (s left each)."""

    convictions: dict[str, float]


class ReserveServer(Message, frozen=True, kw_only=True, tag=True):
    """Ask a gate of the domain to keep a backend server free for a run alone.

    The answer is Ack if the gate has nothing in flight there and sends nothing until
    `hold_s` has passed; 0 ends an earlier reservation.
    """

    backend_server: str
    hold_s: float
