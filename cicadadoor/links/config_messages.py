"""Define the messages that bring configuration and withdrawals to other hosts."""

import msgspec

from cicadadoor.config.acceptance import SectionChange
from cicadadoor.links.messages import Message, Section


class ConfigDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a generation changed; `digest` is that of the whole result."""

    generation: int
    digest: str
    changes: dict[str, SectionChange]
    removed: tuple[str, ...] = ()


class PushConfig(Message, frozen=True, kw_only=True, tag=True):
    """Bring a new generation, to be passed on to the hosts named."""

    delta: ConfigDelta
    from_address: str
    forward_to: list[str]


class PullConfig(Message, frozen=True, kw_only=True, tag=True):
    """Ask for what is newer than the generation that the sender has."""

    generation: int


class ConfigNews(Message, frozen=True, kw_only=True, tag=True):
    """Answer with deltas in order or, if they do not reach back, all digests."""

    generation: int
    digest: str
    deltas: list[ConfigDelta] = []
    section_digests: dict[str, str] = {}


class PullSections(Message, frozen=True, kw_only=True, tag=True):
    """Ask for sections by name and digest."""

    section_digests: dict[str, str]


class SectionsPart(Message, frozen=True, kw_only=True, tag=True):
    """Answer with as many of the sections as fit into a message."""

    sections: dict[str, Section]


class WithdrawalUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Tell the gate withdrawn keys; `is_complete` ends the full set."""

    key_hashes: list[str]
    is_complete: bool = False


class PushWithdrawals(Message, frozen=True, kw_only=True, tag=True):
    """Bring withdrawn keys, to be passed on to the hosts named."""

    key_hashes: list[str]
    forward_to: list[str]


class PullWithdrawals(Message, frozen=True, kw_only=True, tag=True):
    """Ask for withdrawals in those buckets whose digests differ."""

    bucket_digests: list[bytes]


class WithdrawalSet(Message, frozen=True, kw_only=True, tag=True):
    """Answer with withdrawals; `recorded` are known to be in the platform."""

    recorded: list[str]
    unrecorded: list[str]
    is_complete: bool
    # Whether the sender took over a whole set itself, and up to which version of the
    # platform.
    is_seeded: bool
    covered_version: int


class IsolationUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Tell the gate for how long this domain is cut off; 0 if it is not."""

    isolated_for_s: float
