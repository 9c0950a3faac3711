"""Define the messages between the processes of the system."""

import msgspec

from cicadadoor.errors import ErrorKind, Failure

MAX_MESSAGE_BYTES = 1_500_000


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Hold the fields that all messages share.

    `message_id` is unique among the messages of the process `sender_instance`.
    """

    sender_instance: str = ''
    message_id: int = 0
    in_reply_to: int = 0


class Ack(Message, frozen=True, kw_only=True, tag=True):
    """Confirm that a request was applied."""


class Refusal(Message, frozen=True, kw_only=True, tag=True):
    """Report that a request was not applied, and why."""

    kind: str
    reason: str


class Section(msgspec.Struct, frozen=True):
    """Hold one section of the configuration, compressed."""

    digest: str
    content: bytes


class ConfigUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Carry one part of the changes that lead to a generation.

    `section_digests` names every section of the generation; `sections` holds the
    contents in this part. Changes that do not fit into one message are sent in parts.
    """

    generation: int
    base_generation: int
    digest: str
    section_digests: dict[str, str]
    sections: dict[str, Section]


class LoadCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Count the requests steered since the process started."""

    by_region: dict[str, int] = {}
    by_link: dict[str, int] = {}
    by_organisation: dict[str, int] = {}


class GateInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the addresses at which a gate process accepts callers and other gates."""

    host: str
    instance: str
    callers_url: str
    peer_address: str
    failure_domain: str
    region: str
    takes_callers: bool = True


class PeerUpdate(Message, frozen=True, kw_only=True, tag=True):
    """List the gates of the other hosts that are alive."""

    gates: list[GateInfo]


class AgentAlive(Message, frozen=True, kw_only=True, tag=True):
    """Tell the gate that its agent is running and its list of peers is unchanged."""


class GateReport(Message, frozen=True, kw_only=True, tag=True):
    """Report the configuration that a gate uses, and its load."""

    gate: GateInfo
    generation: int
    digest: str
    in_flight: int
    counters: LoadCounters
    # Digest of the set of withdrawn keys that the gate refuses.
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
        """Decode one message, or return MESSAGE_INVALID."""
        if len(encoded) > MAX_MESSAGE_BYTES:
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'message of {len(encoded)} bytes exceeds {MAX_MESSAGE_BYTES} bytes',
            )
        try:
            return self._decoder.decode(encoded)
        except (msgspec.MsgspecError, RecursionError) as error:
            return Failure(ErrorKind.MESSAGE_INVALID, f'malformed message: {error}')
