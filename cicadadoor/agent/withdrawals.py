"""Distribute withdrawn keys to all hosts, before other configuration changes."""

from typing import TYPE_CHECKING

from cicadadoor.decisions.withdrawn_keys import WithdrawnKeys, fingerprint
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_messages import (
    PullWithdrawals,
    PushWithdrawals,
    WithdrawalSet,
    WithdrawalUpdate,
)
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.fan_out import FanOut
from cicadadoor.links.messages import Ack, GateReport, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

if TYPE_CHECKING:
    from cicadadoor.agent.membership import Membership

log = logs.logger('withdrawals')

_PULL_PERIOD_S = 0.5
_PULL_TIMEOUT_S = 3.0
_KEYS_PER_MESSAGE = 10_000


class Withdrawals(Service):
    """Hold all withdrawn keys known to this host, and exchange them with peers."""

    name = 'withdrawals'

    def __init__(self) -> None:
        self._timer: TimerService
        self._membership: 'Membership'
        self._peers: PeerHub
        self._link: DaemonLink
        self._fan_out: FanOut
        self.keys = WithdrawnKeys()
        self._known_since_s: dict[str, float] = {}
        # All withdrawals up to this store version are held; 0 if unknown.
        self.covered_version = 0
        self._is_seeded = False
        self._differing_peers: set[str] = set()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to peers and the gate, and schedule pulls."""
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._peers = kernel.find('peers')
        self._link = kernel.find('daemon_link')
        self._fan_out = FanOut(kernel, self._peers)
        self._peers.on(PushWithdrawals, self._handle_push, Ack)
        self._peers.on(PullWithdrawals, self._answer_pull, WithdrawalSet)
        self._link.on(GateReport, self._handle_report)
        self._link.on(WithdrawalUpdate, self._add_from_gate)
        self._timer.subscribe('withdrawals_pull', _PULL_PERIOD_S, self.pull_differing)

    @property
    def is_seeded(self) -> bool:
        """Return whether a complete set of a peer or the platform was received."""
        return self._is_seeded

    async def withdraw(self, key_hash: str) -> None:
        """Withdraw a key on this host and push it to all reachable hosts."""
        await self._add([key_hash], recorded=False)

    def note_peer_digest(self, address: str, digest: str) -> None:
        """Schedule a pull from a peer whose set has a different digest."""
        if digest != self.keys.digest():
            self._differing_peers.add(address)

    async def pull_differing(self) -> None:
        """Pull the set of one peer whose digest differs."""
        if self._differing_peers:
            await self.pull_from(self._differing_peers.pop())

    async def seed_from(self, address: str) -> Failure | None:
        """Pull the set of a peer, unless a complete set was received before.

        A configuration must not take effect before the withdrawals known to the peer
        that sends it.
        """
        return None if self._is_seeded else await self.pull_from(address)

    async def pull_from(self, address: str) -> Failure | None:
        """Pull the keys that a peer holds and this host lacks."""
        while True:
            request = PullWithdrawals(bucket_digests=self.keys.bucket_digests())
            answer = await self._peers.ask(address, request, _PULL_TIMEOUT_S)
            if isinstance(answer, Failure):
                return answer
            if not isinstance(answer, WithdrawalSet):
                return Failure(
                    ErrorKind.MESSAGE_INVALID,
                    f'{address} answered PullWithdrawals with {type(answer).__name__}',
                )
            held = self.keys.digest()
            await self._add(answer.recorded, recorded=True)
            await self._add(answer.unrecorded, recorded=False)
            if answer.is_complete:
                self.covered_version = max(
                    self.covered_version,
                    answer.covered_version,
                )
                self._is_seeded = self._is_seeded or answer.is_seeded
                return None
            if self.keys.digest() == held:
                return Failure(
                    ErrorKind.MESSAGE_INVALID,
                    f'{address} sent an incomplete set without new keys',
                )

    async def add_recorded(self, key_hashes: list[str]) -> None:
        """Add withdrawals that are recorded in the platform."""
        await self._add(key_hashes, recorded=True)

    def note_seeded(self, covered_version: int) -> None:
        """Record that the platform's complete set up to a store version is held."""
        self.covered_version = max(self.covered_version, covered_version)
        self._is_seeded = True

    def unrecorded_since(self, oldest_s: float) -> list[str]:
        """Return unrecorded keys that were known at the given time."""
        return [
            key_hash
            for key_hash in self.keys.unrecorded()
            if self._known_since_s[key_hash] <= oldest_s
        ]

    async def _add(self, key_hashes: list[str], *, recorded: bool) -> None:
        new = self.keys.add(key_hashes, recorded=recorded)
        if not new:
            return
        now_s = self._timer.now_s()
        for key_hash in new:
            self._known_since_s[key_hash] = now_s
        log.info('keys_withdrawn', count=len(new), known=len(self.keys))
        # This host's gate first, as it may have open connections that use the keys.
        await self._send_to_gate(new)
        if len(new) <= _KEYS_PER_MESSAGE:
            self._push(new, self.notified_addresses())

    def notified_addresses(self) -> list[str]:
        """Return the agents to push to; relays forward to their own domains."""
        addresses = self._membership.domain_addresses()
        return [*addresses, *self._membership.other_relay_addresses()]

    def _push(self, key_hashes: list[str], addresses: list[str]) -> None:
        def build(forward_to: list[str]) -> Message:
            return PushWithdrawals(key_hashes=key_hashes, forward_to=forward_to)

        self._fan_out.send(addresses, build)

    async def _handle_push(self, push: Message) -> Message:
        new = self.keys.add(push.key_hashes, recorded=False)
        now_s = self._timer.now_s()
        for key_hash in new:
            self._known_since_s[key_hash] = now_s
        if new:
            await self._send_to_gate(new)
            if self._membership.is_relay():
                self._push(new, self._membership.domain_addresses())
        self._push(push.key_hashes, push.forward_to)
        return Ack()

    async def _answer_pull(self, request: Message) -> Message:
        recorded, others = self.keys.differing(request.bucket_digests)
        return WithdrawalSet(
            recorded=recorded[:_KEYS_PER_MESSAGE],
            unrecorded=others[:_KEYS_PER_MESSAGE],
            is_complete=max(len(recorded), len(others)) <= _KEYS_PER_MESSAGE,
            is_seeded=self._is_seeded,
            covered_version=self.covered_version,
        )

    async def _handle_report(self, report: GateReport) -> None:
        if report.withdrawals == fingerprint(self.keys.all_keys()):
            return
        await self.send_all_to_gate()

    async def send_all_to_gate(self) -> None:
        """Send the complete set, which a starting gate needs to accept requests."""
        if not self._is_seeded:
            return
        keys = self.keys.all_keys()
        for start in range(0, len(keys), _KEYS_PER_MESSAGE):
            await self._send_to_gate(keys[start : start + _KEYS_PER_MESSAGE])
        await self._link.send(WithdrawalUpdate(key_hashes=[], is_complete=True))

    async def _send_to_gate(self, key_hashes: list[str]) -> None:
        await self._link.send(WithdrawalUpdate(key_hashes=key_hashes))

    async def _add_from_gate(self, update: WithdrawalUpdate) -> None:
        # An agent that restarted has lost its set; the gate may still hold it.
        await self._add(update.key_hashes, recorded=False)
