"""Claim opaque idempotency keys in the platform through the agent.

An opaque key is chosen by the caller, without a prefix that a gate issued.
"""

import anyio

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.claim_messages import ClaimAnswer, ClaimRequest
from cicadadoor.links.daemon_link import DaemonLink

CLAIM_TIMEOUT_S = 5.0
_RETRY_AFTER_MS = 1000


class PendingClaim:
    """Track a claim request until the agent answers it."""

    __slots__ = ('answer', 'answered')

    def __init__(self) -> None:
        self.answer: ClaimAnswer | None = None
        self.answered = anyio.Event()


class ClaimClient(Service):
    """Claim idempotency keys for this gate process."""

    name = 'claims'

    def __init__(self) -> None:
        self._state: GateState
        self._link: DaemonLink
        self._pending: dict[str, PendingClaim] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to claim answers of the agent."""
        self._state = kernel.find('state')
        self._link = kernel.find('daemon_link')
        self._link.on(ClaimAnswer, self._handle_claim_answer)

    async def claim(
        self,
        claim_id: str,
        name: str,
        fingerprint: str,
        left_s: float,
    ) -> ClaimAnswer | Failure:
        """Return the holder of the claim, or CLAIM_UNAVAILABLE if it is unknown.

        After CLAIM_UNAVAILABLE, this process may hold the claim nevertheless.
        """
        pending = PendingClaim()
        self._pending[claim_id] = pending
        request = ClaimRequest(
            claim_id=claim_id,
            name=name,
            holder=self._state.instance,
            fingerprint=fingerprint,
        )
        timeout_s = min(left_s, CLAIM_TIMEOUT_S)
        try:
            with anyio.move_on_after(timeout_s):
                failure = await self._link.send(request)
                if failure is not None:
                    return _unavailable(failure.reason)
                await pending.answered.wait()
        finally:
            self._pending.pop(claim_id)
        answer = pending.answer
        if answer is None:
            return _unavailable(f'no answer of the agent within {timeout_s:.1f} s')
        return answer if answer.holder else _unavailable(answer.reason)

    async def _handle_claim_answer(self, answer: ClaimAnswer) -> None:
        pending = self._pending.get(answer.claim_id)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()


def _unavailable(reason: str) -> Failure:
    return Failure(
        ErrorKind.CLAIM_UNAVAILABLE,
        f'could not claim the idempotency key: {reason}; retry with the same key, or '
        'use a key that starts with the idempotency_prefix of a look-up',
        _RETRY_AFTER_MS,
    )
