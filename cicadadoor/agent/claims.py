"""Claim idempotency keys in the platform, and delete expired claims."""

import msgspec

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.state import AgentState
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.claim_messages import ClaimAnswer, ClaimRequest
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('claims')

CLAIM_KIND = 'idempotency_claim'
CLAIM_LIFETIME_S = 86_400.0
COLLECT_PERIOD_S = 600.0


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Record who claimed a key, for which request and when."""

    claim_id: str
    holder: str
    fingerprint: str
    claimed_wall_s: float


class IdempotencyClaims(Service):
    """Create claims for the gate of this host."""

    name = 'claims'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._link: DaemonLink
        self._membership: Membership
        self._kernel: Kernel

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the gate's claims and schedule the deletion of old ones."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._link = kernel.find('daemon_link')
        self._link.on(ClaimRequest, self._handle_request)
        self._timer.subscribe('collect_claims', COLLECT_PERIOD_S, self.collect)

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Create the claim, or return the existing one."""
        new_claim = Claim(
            claim_id=request.claim_id,
            holder=request.holder,
            fingerprint=request.fingerprint,
            claimed_wall_s=self._timer.wall_s(),
        )
        writer = ObjectWriter(self._state.store, self._state.instance)
        body = msgspec.json.encode(new_claim)
        stored = await writer.create(CLAIM_KIND, request.name, body)
        if isinstance(stored, StoredObject):
            return _build_answer(request, new_claim)
        if stored.kind is not ErrorKind.STORE_CONFLICT:
            return ClaimAnswer(claim_id=request.claim_id, reason=stored.reason)
        existing = await self._state.store.get(CLAIM_KIND, request.name)
        claim = existing if isinstance(existing, Failure) else _parse(existing)
        if isinstance(claim, Failure):
            return ClaimAnswer(claim_id=request.claim_id, reason=claim.reason)
        return _build_answer(request, claim)

    async def collect(self) -> None:
        """Delete claims older than their lifetime; only relays do so."""
        if not self._membership.is_relay():
            return
        listed = await self._state.store.list(CLAIM_KIND)
        if isinstance(listed, Failure):
            log.info('claims_not_collected', reason=listed.reason)
            return
        oldest_wall_s = self._timer.wall_s() - CLAIM_LIFETIME_S
        for stored in listed.objects:
            claim = _parse(stored)
            if isinstance(claim, Failure) or claim.claimed_wall_s >= oldest_wall_s:
                continue
            await self._state.store.delete(CLAIM_KIND, stored.name, stored.version)

    async def _handle_request(self, request: ClaimRequest) -> None:
        # A slow platform must not delay other messages of the gate.
        self._kernel.spawn(self._answer, request, on_fault=OnFault.CONTINUE)

    async def _answer(self, request: ClaimRequest) -> None:
        await self._link.send(await self.claim(request))


def _build_answer(request: ClaimRequest, claim: Claim) -> ClaimAnswer:
    return ClaimAnswer(
        claim_id=request.claim_id,
        holder=claim.holder,
        held_id=claim.claim_id,
        fingerprint=claim.fingerprint,
    )


def _parse(stored: StoredObject) -> Claim | Failure:
    try:
        return decode_json(stored.body, type=Claim)
    except msgspec.MsgspecError as error:
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'claim {stored.name} is malformed: {error}',
        )
