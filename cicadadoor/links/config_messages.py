"""Define the messages that distribute configuration and key withdrawals."""

import msgspec

from cicadadoor.config.acceptance import SectionChange
from cicadadoor.links.messages import Message, Section


class ConfigDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the changes of one generation; `digest` covers the complete result."""

    generation: int
    digest: str
    changes: dict[str, SectionChange]
    removed: tuple[str, ...] = ()


class PushConfig(Message, frozen=True, kw_only=True, tag=True):
    """Send a new generation, to be forwarded to the hosts in `forward_to`."""

    delta: ConfigDelta
    from_address: str
    forward_to: list[str]


class PullConfig(Message, frozen=True, kw_only=True, tag=True):
    """Request the changes after the generation that the sender has."""

    generation: int


class ConfigNews(Message, frozen=True, kw_only=True, tag=True):
    """Send consecutive deltas or, if they do not reach back far enough, all digests."""

    generation: int
    digest: str
    deltas: list[ConfigDelta] = []
    section_digests: dict[str, str] = {}


class PullSections(Message, frozen=True, kw_only=True, tag=True):
    """Request sections by name and digest."""

    section_digests: dict[str, str]


class SectionsPart(Message, frozen=True, kw_only=True, tag=True):
    """Send as many of the requested sections as fit into one message."""

    sections: dict[str, Section]


class WithdrawalUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Send withdrawn keys to the gate; `is_complete` marks the end of the full set."""

    key_hashes: list[str]
    is_complete: bool = False


class PushWithdrawals(Message, frozen=True, kw_only=True, tag=True):
    """Send withdrawn keys, to be forwarded to the hosts in `forward_to`."""

    key_hashes: list[str]
    forward_to: list[str]


class PullWithdrawals(Message, frozen=True, kw_only=True, tag=True):
    """Request the withdrawals in the buckets whose digests differ."""

    bucket_digests: list[bytes]


class WithdrawalSet(Message, frozen=True, kw_only=True, tag=True):
    """Send withdrawals; those in `recorded` are known to be stored in the platform."""

    recorded: list[str]
    unrecorded: list[str]
    is_complete: bool
    # Whether the sender has received a complete set itself, and the platform version
    # that it covers.
    is_seeded: bool
    covered_version: int


class IsolationUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Tell the gate how long this domain has been isolated; 0 if it is not."""

    isolated_for_s: float
