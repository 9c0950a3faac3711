"""Define the messages by which a gate claims opaque idempotency keys."""

from cicadadoor.links.messages import Message


class ClaimRequest(Message, frozen=True, kw_only=True, tag=True):
    """Ask the agent to claim a key for the gate process `holder`."""

    claim_id: str
    name: str
    holder: str
    fingerprint: str


class ClaimAnswer(Message, frozen=True, kw_only=True, tag=True):
    """Name the gate process that holds the claim; `holder` is empty if unknown.

    `held_id` is the id of the request that made the claim.
    """

    claim_id: str
    holder: str = ''
    held_id: str = ''
    fingerprint: str = ''
    reason: str = ''
