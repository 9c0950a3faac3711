"""Transfer rate-limit tokens between the gates of different hosts."""

import random
from collections import OrderedDict

from cicadadoor.decisions.token_trade import TokenTrade
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.shares import GateShares
from cicadadoor.gate.state import GateState
from cicadadoor.ids import new_nonce
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import GateInfo, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.share_messages import (
    TokenAmount,
    TokensGiven,
    TransferTokens,
)
from cicadadoor.timer import TimerService

_PERIOD_S = 0.2
_REQUEST_TIMEOUT_S = 0.5
# Pause after a round in which no peer had tokens to spare.
_PAUSE_S = 1.0
_PEERS_PER_ROUND = 16
_MAX_REMEMBERED_TRANSFERS = 1000


class TokenExchange(Service):
    """Request the missing tokens of all organisations from one gate at a time."""

    name = 'token_exchange'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._shares: GateShares
        self._trade: TokenTrade
        self._directory: GateDirectory
        self._peers: PeerHub
        self._round: list[GateInfo] = []
        self._round_had_grants = True
        self._resume_s = 0.0
        self._handled_transfers: OrderedDict[str, None] = OrderedDict()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to requests, and send requests while tokens are missing."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._shares = kernel.find('shares')
        self._trade = TokenTrade(self._state.instance, self._shares.limits())
        self._directory = kernel.find('directory')
        self._peers = kernel.find('peers')
        self._peers.on(TransferTokens, self.grant_tokens, TokensGiven)
        self._timer.subscribe('token_exchange', _PERIOD_S, self.request_tokens)

    async def request_tokens(self) -> None:
        """Request all missing tokens from the next gate of the round."""
        requested_s = self._timer.now_s()
        if requested_s < self._resume_s:
            return
        gate = self._next_gate()
        if gate is None:
            return
        self._shares.limits()
        trade = self._trade
        wishes = trade.wishes(requested_s)
        if not wishes:
            return
        request = TransferTokens(transfer_id=new_nonce(), wishes=wishes)
        given: dict[str, TokenAmount] = {}
        try:
            given = await self._request(gate, request)
        finally:
            now_s = self._timer.now_s()
            for wish in wishes:
                part = given.get(wish.organisation)
                trade.settle(wish, part, requested_s, now_s)
        self._round_had_grants = self._round_had_grants or bool(given)

    async def grant_tokens(self, request: Message) -> Message:
        """Transfer the tokens that can be spared; a repeated request gets none."""
        now_s = self._timer.now_s()
        given: list[TokenAmount] = []
        if request.transfer_id not in self._handled_transfers:
            self._remember(request.transfer_id)
            self._shares.limits()
            for wish in request.wishes:
                part = self._trade.give(wish, request.sender_instance, now_s)
                if part is not None:
                    given.append(part)
        return TokensGiven(transfer_id=request.transfer_id, given=tuple(given))

    async def _request(
        self,
        gate: GateInfo,
        request: TransferTokens,
    ) -> dict[str, TokenAmount]:
        answer = await self._peers.ask(gate.peer_address, request, _REQUEST_TIMEOUT_S)
        if not isinstance(answer, TokensGiven):
            return {}
        if answer.transfer_id != request.transfer_id:
            return {}
        return {part.organisation: part for part in answer.given}

    def _remember(self, transfer_id: str) -> None:
        self._handled_transfers[transfer_id] = None
        if len(self._handled_transfers) > _MAX_REMEMBERED_TRANSFERS:
            self._handled_transfers.popitem(last=False)

    def _next_gate(self) -> GateInfo | None:
        if not self._round:
            if not self._round_had_grants:
                self._resume_s = self._timer.now_s() + _PAUSE_S
                self._round_had_grants = True
                return None
            self._round_had_grants = False
            self._round = self._new_round()
        return self._round.pop() if self._round else None

    def _new_round(self) -> list[GateInfo]:
        own_domain = self._state.settings.failure_domain
        gates = self._directory.all_gates()
        random.shuffle(gates)
        # Gates are popped from the end, so those of this domain come first.
        gates.sort(key=lambda gate: gate.failure_domain == own_domain)
        return gates[-_PEERS_PER_ROUND:]
