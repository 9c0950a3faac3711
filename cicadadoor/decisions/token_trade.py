"""Decide which tokens a gate requests from other gates and gives to them."""

from cicadadoor.decisions.buckets import TimedShare
from cicadadoor.decisions.gate_limits import (
    LOAN_MARGIN_S,
    LOAN_S,
    Account,
    GateLimits,
)
from cicadadoor.ids import digest_of
from cicadadoor.links.share_messages import TokenAmount

# A gate requests tokens when it has less than it needs for this long, and keeps that
# much for itself when others request tokens.
RESERVE_S = 0.5


class TokenTrade:
    """Pass tokens between buckets; a lost message loses tokens, never adds any."""

    __slots__ = ('_instance', '_limits')

    def __init__(self, instance: str, limits: GateLimits) -> None:
        self._instance = instance
        self._limits = limits

    def wishes(self, now_s: float) -> tuple[TokenAmount, ...]:
        """Return the requests for missing tokens, and reserve capacity for them."""
        if not self._limits.has_seat(now_s):
            return ()
        wished: list[TokenAmount] = []
        for name, account in self._limits.active(now_s):
            wish = self._wish(name, account, now_s)
            if wish is not None:
                account.bucket.reserve(wish.tokens, now_s)
                wished.append(wish)
        return tuple(wished)

    def give(
        self, wish: TokenAmount, requester: str, now_s: float
    ) -> TokenAmount | None:
        """Subtract and return what this gate can spare for the requesting instance."""
        account = self._limits.account(wish.organisation, now_s)
        if account is None or not self._limits.has_seat(now_s):
            return None
        bucket = account.bucket
        bucket.refill(now_s)
        is_lending = self._lends_to(wish.organisation, account, requester)
        reserve = 0 if is_lending else account.wanted_per_s * RESERVE_S
        fraction = min(wish.fraction, bucket.unlent_floor()) if is_lending else 0
        # Tokens beyond the requester's reservation fit into the share that is lent.
        most = wish.tokens + fraction * bucket.burst
        tokens = max(0, min(most, bucket.tokens - reserve))
        if tokens <= 0 and fraction <= 0:
            return None
        until_s = now_s + LOAN_S + LOAN_MARGIN_S
        bucket.lend(tokens, TimedShare(fraction, until_s), now_s)
        return TokenAmount(
            organisation=wish.organisation, tokens=tokens, fraction=fraction
        )

    def settle(
        self,
        wish: TokenAmount,
        given: TokenAmount | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """End the reservation of a request and add what was given, if anything.

        The borrower counts the loan from before the request was sent and the lender
        from after it arrived, so the borrower's deadline is the earlier one.
        """
        account = self._limits.account(wish.organisation, now_s)
        if account is None:
            return
        tokens = given.tokens if given else 0
        fraction = given.fraction if given else 0
        loan = TimedShare(fraction, sent_s + LOAN_S)
        if loan.deadline_s <= now_s:
            # The borrowed share has expired, so only the reserved tokens still fit.
            tokens = min(tokens, wish.tokens)
        account.bucket.settle(wish.tokens, tokens, loan, now_s)

    def _wish(self, name: str, account: Account, now_s: float) -> TokenAmount | None:
        bucket = account.bucket
        room = bucket.room(now_s)
        missing = max(1, account.wanted_per_s * RESERVE_S) - bucket.tokens
        fraction = 0.0
        if self._limits.lends_floors(name):
            fraction = max(0, 1 / bucket.burst - bucket.share())
        if missing <= 0 or max(room, fraction) <= 0:
            return None
        return TokenAmount(
            organisation=name, tokens=min(room, missing), fraction=fraction
        )

    def _lends_to(self, name: str, account: Account, requester: str) -> bool:
        # Of several gates that all hold less than a whole token, those of lower rank
        # lend to the others; otherwise each would keep a fraction that is of no use.
        if not self._limits.lends_floors(name):
            return False
        if not account.is_active():
            return True
        holds_whole = account.bucket.share() * account.bucket.burst >= 1
        return not holds_whole and _rank(name, requester) > _rank(name, self._instance)


def _rank(name: str, instance: str) -> str:
    return digest_of(f'{name}/{instance}'.encode())
