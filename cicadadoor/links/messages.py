"""Define the messages between the system's own processes."""

import msgspec

from cicadadoor.errors import ErrorKind, Failure

MAX_MESSAGE_BYTES = 1_500_000


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Carry the sender's process instance and a number unique in that instance."""

    sender_instance: str = ''
    message_id: int = 0
    in_reply_to: int = 0


class Ack(Message, frozen=True, kw_only=True, tag=True):
    """Tell that a request was applied."""


class Refusal(Message, frozen=True, kw_only=True, tag=True):
    """Tell that a request was not applied, and why."""

    kind: str
    reason: str


class Section(msgspec.Struct, frozen=True):
    """Hold one section of the configuration, compressed."""

    digest: str
    content: bytes


class ConfigUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Carry one part of a delta to a generation.

    `section_digests` names every section of the generation; `sections` holds the
    content that this part brings. A delta larger than a message comes in parts.
    """

    generation: int
    base_generation: int
    digest: str
    section_digests: dict[str, str]
    sections: dict[str, Section]


class LoadCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Count what was steered since the process began."""

    by_region: dict[str, int] = {}
    by_link: dict[str, int] = {}
    by_organisation: dict[str, int] = {}


class GateInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Tell where a gate process takes callers and other gates."""

    host: str
    instance: str
    callers_url: str
    peer_address: str
    failure_domain: str
    region: str
    takes_callers: bool = True


class PeerUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Name the gates of other hosts that are heard."""

    gates: list[GateInfo]


class AgentAlive(Message, frozen=True, kw_only=True, tag=True):
    """Tell the gate that its agent runs and that its peers are unchanged."""


class GateReport(Message, frozen=True, kw_only=True, tag=True):
    """Report what a gate has in use."""

    gate: GateInfo
    generation: int
    digest: str
    in_flight: int
    counters: LoadCounters
    # Digest of the withdrawn keys that the gate refuses.
    withdrawals: str = ''


def encode(message: Message) -> bytes:
    """Encode a message as msgpack."""
    return msgspec.msgpack.encode(message)


class Codec:
    """Decode the message types that one link accepts."""

    def __init__(self, *accepted: type[Message]) -> None:
        union = accepted[0]
        for message_type in accepted[1:]:
            union = union | message_type
        self._decoder = msgspec.msgpack.Decoder(union)

    def decode(self, encoded: bytes) -> Message | Failure:
        """Decode one message; anything else is MESSAGE_INVALID."""
        if len(encoded) > MAX_MESSAGE_BYTES:
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'message of {len(encoded)} bytes is over {MAX_MESSAGE_BYTES}',
            )
        try:
            return self._decoder.decode(encoded)
        except (msgspec.MsgspecError, RecursionError) as error:
            return Failure(ErrorKind.MESSAGE_INVALID, f'malformed message: {error}')
