"""Run requests with an idempotency key at most once."""

import anyio

from cicadadoor.decisions import prefixes
from cicadadoor.decisions.idempotency_table import Entry, IdempotencyTable
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.gate.at_most_once import AtMostOnce, Dispatch
from cicadadoor.gate.claims import ClaimClient
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.peer_forwarding import PeerForwarder
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.state import GateState
from cicadadoor.ids import digest_of, new_nonce
from cicadadoor.kernel import Kernel
from cicadadoor.links.claim_messages import ClaimAnswer
from cicadadoor.timer import TimerService

TABLE_BYTES = 67_108_864
# Limit for the fraction of the table that one organisation's keys may fill.
_MAX_ORGANISATION_SHARE = 0.5
_MAX_UNUSED_CLAIMS = 20_000
_TABLE_FULL_RETRY_AFTER_MS = 1000


class KeyedExecution:
    """Track the execution of a request, with the digest and expiry of its key.

    `is_dispatched` is set before any byte may be sent.
    """

    __slots__ = ('digest', 'dispatch', 'expires_s', 'fingerprint', 'is_dispatched')

    def __init__(
        self,
        digest: str,
        fingerprint: str,
        expires_s: float,
        dispatch: Dispatch,
    ) -> None:
        self.digest = digest
        self.fingerprint = fingerprint
        self.expires_s = expires_s
        self.dispatch = dispatch
        self.is_dispatched = False


class IdempotencyKeys(AtMostOnce):
    """Store the keys and outcomes of non-idempotent requests."""

    def __init__(self, table_bytes: int = TABLE_BYTES) -> None:
        self._state: GateState
        self._timer: TimerService
        self._directory: GateDirectory
        self._peer_forwarder: PeerForwarder
        self._claims: ClaimClient
        self._signer: prefixes.PrefixSigner
        not_stored = Failure(
            ErrorKind.ANSWER_NOT_KEPT,
            'the request ran, but its response is not stored',
        )
        self._not_stored = not_stored
        self._table = IdempotencyTable(table_bytes, _MAX_ORGANISATION_SHARE, not_stored)
        self._completed: dict[str, anyio.Event] = {}
        # By digest of an opaque key: ids of the claims requested since this process
        # last dispatched a request with the key.
        self._unused_claims: dict[str, frozenset[str]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the services used, and create the signer of key prefixes."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._directory = kernel.find('directory')
        self._peer_forwarder = kernel.find('peer_forwarder')
        self._claims = kernel.find('claims')
        self._signer = prefixes.PrefixSigner(self._state.instance)

    def issue_prefix(self, service: str) -> str:
        """Return a signed prefix for a caller's idempotency keys."""
        return self._signer.issue(service, self._timer.now_s())

    async def run(
        self,
        request: SteeredRequest,
        dispatch: Dispatch,
        *,
        is_forwarded: bool = False,
    ) -> SteeredResponse | Failure:
        """Dispatch the request, or return the stored outcome of a repeated one."""
        text = request.idempotency_key
        if request.is_idempotent or not text:
            return await dispatch(request)
        if len(text) > prefixes.MAX_KEY_LENGTH:
            return _key_invalid(
                f'it has {len(text)} characters; the limit is {prefixes.MAX_KEY_LENGTH}'
            )
        if prefixes.is_prefix_key(text):
            return await self._run_prefixed(request, dispatch, is_forwarded)
        return await self._run_opaque(request, dispatch, is_forwarded)

    async def _run_prefixed(
        self,
        request: SteeredRequest,
        dispatch: Dispatch,
        is_forwarded: bool,
    ) -> SteeredResponse | Failure:
        key = prefixes.parse(request.idempotency_key)
        if key is None:
            return _key_invalid(
                'malformed; use the idempotency_prefix of a look-up followed by a nonce'
            )
        if key.instance != self._state.instance:
            if is_forwarded:
                return _outcome_unknown(
                    'the gate process that issued the prefix has ended'
                )
            return await self._forward_to_owner(request, key.instance)
        if not self._signer.is_genuine(key, request.service.name):
            return _key_invalid(
                f'its prefix was not issued for service {request.service.name}'
            )

        async def check_and_dispatch(
            sent: SteeredRequest,
        ) -> SteeredResponse | Failure:
            refusal = self._refuse_expired(key)
            if refusal is not None:
                return refusal
            execution.is_dispatched = True
            return await dispatch(sent)

        execution = self._new_execution(
            request, key.remembered_until_s, check_and_dispatch
        )
        return await self._run_once(request, execution)

    async def _run_opaque(
        self,
        request: SteeredRequest,
        dispatch: Dispatch,
        is_forwarded: bool,
    ) -> SteeredResponse | Failure:
        async def claim_and_dispatch(
            sent: SteeredRequest,
        ) -> SteeredResponse | Failure:
            claim_id = sent.claim_id
            if not is_forwarded:
                claim = await self._claim(sent, execution)
                if not isinstance(claim, ClaimAnswer):
                    return claim
                claim_id = claim.held_id
            # Only a claim requested since this process last dispatched the request
            # proves that it has not run.
            if claim_id not in self._unused_claims.get(execution.digest, ()):
                return _outcome_unknown(
                    'the holder of the claim has no record of the request'
                )
            unused = self._unused_claims.pop(execution.digest)
            execution.is_dispatched = True
            response = await dispatch(sent)
            if _did_not_run(response):
                self._remember_unused(execution.digest, unused)
            return response

        expires_s = self._timer.now_s() + prefixes.REMEMBERED_S
        execution = self._new_execution(request, expires_s, claim_and_dispatch)
        return await self._run_once(request, execution)

    async def _claim(
        self,
        request: SteeredRequest,
        execution: KeyedExecution,
    ) -> ClaimAnswer | SteeredResponse | Failure:
        """Return the claim if this process holds it, otherwise the outcome."""
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            return Failure(
                ErrorKind.DEADLINE_PASSED,
                'the deadline passed before the request was sent',
            )
        claim_id = new_nonce()
        requested_ids = self._unused_claims.get(execution.digest, frozenset())
        self._remember_unused(execution.digest, requested_ids | {claim_id})
        claim = await self._claims.claim(
            claim_id,
            execution.digest,
            execution.fingerprint,
            left_s,
        )
        if isinstance(claim, Failure):
            return claim
        if claim.fingerprint != execution.fingerprint:
            return _key_reused()
        if claim.holder == self._state.instance:
            return claim
        self._unused_claims.pop(execution.digest, None)
        return await self._forward_to_owner(request, claim.holder, claim.held_id)

    def _remember_unused(self, digest: str, claim_ids: frozenset[str]) -> None:
        self._unused_claims.pop(digest, None)
        self._unused_claims[digest] = claim_ids
        if len(self._unused_claims) > _MAX_UNUSED_CLAIMS:
            self._unused_claims.pop(next(iter(self._unused_claims)))

    async def _forward_to_owner(
        self,
        request: SteeredRequest,
        instance: str,
        claim_id: str = '',
    ) -> SteeredResponse | Failure:
        gate = self._directory.find(instance)
        if gate is None:
            return _outcome_unknown(
                'the gate process that owns the key is not known to this host'
            )
        return await self._peer_forwarder.forward_to_owner(request, gate, claim_id)

    def _new_execution(
        self,
        request: SteeredRequest,
        expires_s: float,
        dispatch: Dispatch,
    ) -> KeyedExecution:
        scope = f'{request.organisation_name} {request.service.name}'
        scoped = f'{scope} {request.idempotency_key}'
        return KeyedExecution(
            digest_of(scoped.encode()),
            request.fingerprint,
            expires_s,
            dispatch,
        )

    def _refuse_expired(self, key: prefixes.PrefixKey) -> Failure | None:
        now_s = self._timer.now_s()
        if now_s >= key.remembered_until_s:
            return _outcome_unknown(
                'its prefix expired so long ago that its record was deleted'
            )
        if now_s >= key.usable_until_s:
            return _key_invalid('its prefix has expired; get a new one by a look-up')
        return None

    async def _run_once(
        self,
        request: SteeredRequest,
        execution: KeyedExecution,
    ) -> SteeredResponse | Failure:
        while True:
            entry = self._table.find(execution.digest, self._timer.now_s())
            if entry is None:
                return await self._run_first(request, execution)
            if entry.fingerprint != execution.fingerprint:
                return _key_reused()
            if entry.outcome is not None:
                return entry.outcome
            completed = self._completed[execution.digest]
            with anyio.move_on_after(request.deadline_s - self._timer.now_s()):
                await completed.wait()
            if not completed.is_set():
                return Failure(
                    ErrorKind.IDEMPOTENCY_IN_PROGRESS,
                    'the first request with this idempotency key is still in flight',
                )

    async def _run_first(
        self,
        request: SteeredRequest,
        execution: KeyedExecution,
    ) -> SteeredResponse | Failure:
        entry = Entry(
            execution.fingerprint, request.organisation_name, execution.expires_s
        )
        if not self._table.begin(execution.digest, entry):
            return Failure(
                ErrorKind.IDEMPOTENCY_TABLE_FULL,
                'the table of idempotency keys of this host is full',
                _TABLE_FULL_RETRY_AFTER_MS,
            )
        self._completed[execution.digest] = anyio.Event()
        response: SteeredResponse | Failure = _outcome_unknown(
            'the first request with the key was interrupted'
        )
        try:
            response = await execution.dispatch(request)
        finally:
            self._settle(execution, response)
        return response

    def _settle(
        self, execution: KeyedExecution, response: SteeredResponse | Failure
    ) -> None:
        if execution.is_dispatched and not _did_not_run(response):
            self._record(execution, response)
        else:
            self._table.forget(execution.digest)
        self._completed.pop(execution.digest).set()

    def _record(
        self, execution: KeyedExecution, response: SteeredResponse | Failure
    ) -> None:
        if isinstance(response, Failure):
            self._table.settle(execution.digest, response, 0)
        elif response.stream is None:
            self._table.settle(execution.digest, response, _size_bytes(response))
        else:
            self._table.settle(execution.digest, self._not_stored, 0)


def _did_not_run(response: SteeredResponse | Failure) -> bool:
    return isinstance(response, Failure) and response.run is Executed.NO


def _size_bytes(response: SteeredResponse) -> int:
    headers_bytes = sum(len(name) + len(text) for name, text in response.headers)
    return len(response.body) + headers_bytes + 1


def _key_invalid(reason: str) -> Failure:
    return Failure(
        ErrorKind.IDEMPOTENCY_KEY_INVALID, f'invalid idempotency key: {reason}'
    )


def _outcome_unknown(reason: str) -> Failure:
    return Failure(
        ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN,
        f'it is unknown whether the request with this idempotency key ran: {reason}',
    )


def _key_reused() -> Failure:
    return Failure(
        ErrorKind.IDEMPOTENCY_KEY_REUSED,
        'the idempotency key was already used for a different request',
    )
