"""Track which other hosts are alive."""

import random

from cicadadoor.agent.contact_points import ContactPoints
from cicadadoor.agent.domain_discovery import DomainDiscovery
from cicadadoor.agent.own_record import OwnRecord
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.status import StatusCollector
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.decisions.isolation import IsolationEvidence
from cicadadoor.decisions.membership import DomainTable, MemberTable
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.membership_messages import (
    Heartbeat,
    MemberRecord,
    MemberRecords,
    PullMembers,
)
from cicadadoor.links.messages import Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.timer import TimerService

HEARTBEAT_PERIOD_S = 1.0
RELAYS_PER_DOMAIN = 2
_ANSWER_TIMEOUT_S = 0.8
_PARTNERS_PER_HEARTBEAT = 2
# Ages of domains are small, so more of them are sent than summaries.
_SUMMARIES_OWN_DOMAIN = 1
_SUMMARIES_OTHER_DOMAIN = 2
_DOMAIN_AGES = 32
_SEED_INTERVAL_HEARTBEATS = 10
_MAX_SEEDS = 8
_HOST_LIST_PERIOD_S = 60.0
_NEVER_S = float('-inf')


class KnownHost:
    """Describe when a host was last seen alive, by this host or by another one."""

    __slots__ = ('age_s', 'failure_domain', 'host', 'instance', 'is_alive')

    def __init__(
        self,
        record: MemberRecord,
        age_s: float,
        *,
        is_alive: bool,
    ) -> None:
        self.host = record.host
        self.instance = record.instance
        self.failure_domain = record.failure_domain
        self.age_s = age_s
        self.is_alive = is_alive


class Membership(Service):
    """Exchange heartbeats with a few peers and learn of other hosts from them.

    Only answers to this host's own requests prove that a peer is alive, as of the
    time of the request: a process that was paused finds old requests of peers in its
    buffers.
    """

    name = 'membership'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._status: StatusCollector
        self._withdrawals: Withdrawals
        self._peers: PeerHub
        self._kernel: Kernel
        self.own: OwnRecord
        self._contact_points: ContactPoints
        self._discovery: DomainDiscovery
        self.members: MemberTable
        self.domains: DomainTable
        self.evidence = IsolationEvidence()
        self._contact_s = _NEVER_S
        self._heartbeat_count = 0
        self._rng = random.Random()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to heartbeats and schedule sending them."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._status = kernel.find('status')
        self._withdrawals = kernel.find('withdrawals')
        self._peers = kernel.find('peers')
        settings = self._state.settings
        self.members = MemberTable(settings.host, settings.failure_domain)
        self.domains = DomainTable(settings.failure_domain)
        self.own = OwnRecord(self._state, self._timer)
        self._contact_points = ContactPoints(self._state)
        self._discovery = DomainDiscovery(
            kernel, self.domains, self._timer, self.exchange_heartbeat
        )
        self._peers.on(Heartbeat, self._answer, Heartbeat)
        self._peers.on(PullMembers, self._answer_members, MemberRecords)
        self._timer.subscribe('heartbeat', HEARTBEAT_PERIOD_S, self.send_heartbeats)
        self._timer.subscribe('host_list', _HOST_LIST_PERIOD_S, self._read_host_list)
        kernel.spawn(self.send_heartbeats, on_fault=OnFault.CONTINUE)

    def live_records(self) -> list[MemberRecord]:
        """Return the records of live hosts of this domain and of relays of others."""
        now_s = self._timer.now_s()
        records = [member.record for member in self.members.alive(now_s)]
        for summary in self.domains.valid(now_s):
            records.extend(summary.relays)
        return records

    def known_hosts(self) -> list[KnownHost]:
        """Return all other known hosts of this domain, alive or dead."""
        now_s = self._timer.now_s()
        return [
            KnownHost(
                member.record,
                now_s - member.heard_s,
                is_alive=member.is_alive(now_s),
            )
            for member in self.members.known()
        ]

    def report_ages_s(self) -> dict[str, float]:
        """Return the age in s of the latest report from each other failure domain."""
        now_s = self._timer.now_s()
        return {name: now_s - at_s for name, at_s in self.domains.heard().items()}

    def platform_contact_age_s(self) -> float:
        """Return the age in s of the last contact with the platform, or infinity.

        Contacts that other hosts report count as well as those of this host.
        """
        return self._timer.now_s() - self._contact_s

    def note_contact(self) -> None:
        """Record that the platform has answered this host."""
        self._contact_s = self._timer.now_s()

    def is_relay(self) -> bool:
        """Return whether this host is a relay: one of the first live hosts by name."""
        return self.own.record.host in self.relay_hosts()

    def relay_hosts(self) -> list[str]:
        """Return the host names of this domain's relays."""
        return self.members.relays(self._timer.now_s(), RELAYS_PER_DOMAIN)

    def domain_addresses(self) -> list[str]:
        """Return the agent addresses of the other live hosts of this domain."""
        alive = self.members.alive(self._timer.now_s())
        return [member.record.peer_address for member in alive]

    def other_relay_addresses(self) -> list[str]:
        """Return the agent addresses of the relays of other domains."""
        return [
            record.peer_address
            for records in self.domains.all_relays().values()
            for record in records
        ]

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to some peers and forget long-dead hosts."""
        now_s = self._timer.now_s()
        self._heartbeat_count += 1
        self.own.refresh()
        for forgotten in self.members.forget_old(now_s):
            self._peers.disconnect(forgotten.peer_address)
        targets = {
            record.peer_address: record.host
            for record in self.members.gossip_partners(
                now_s, _PARTNERS_PER_HEARTBEAT, self._rng
            )
        }
        for address in self._targets_outside_domain(now_s):
            targets.setdefault(address, '')
        targets.pop(self.own.record.peer_address, None)
        for address, host in targets.items():
            self._kernel.spawn(
                self.exchange_heartbeat, address, host, on_fault=OnFault.CONTINUE
            )

    def _targets_outside_domain(self, now_s: float) -> list[str]:
        chosen: list[str] = []
        is_alone = not self.members.alive(now_s)
        if is_alone or self._heartbeat_count % _SEED_INTERVAL_HEARTBEATS == 1:
            chosen = self._contact_points.sample(_MAX_SEEDS)
        relays = self.domains.all_relays()
        domains = [name for name, records in relays.items() if records]
        if self.is_relay() and domains:
            # One other domain per heartbeat, so that the cost does not grow with them.
            record = self._rng.choice(relays[self._rng.choice(domains)])
            chosen.append(record.peer_address)
        return chosen

    async def exchange_heartbeat(self, address: str, host: str) -> None:
        """Send a heartbeat to a peer and process its answer."""
        requested_s = self._timer.now_s()
        answer = await self._peers.ask(
            address,
            self._heartbeat(),
            _ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, Heartbeat):
            await self._process_answer(answer, address, requested_s)
        elif isinstance(answer, Failure) and host:
            self.members.note_failed_probe(host, requested_s)

    async def _process_answer(
        self,
        answer: Heartbeat,
        address: str,
        requested_s: float,
    ) -> None:
        if answer.record.host == self.own.record.host:
            self.own.refute(answer.record.incarnation, answer.record.instance)
            return
        self.members.note_record(answer.record, requested_s)
        missing: list[str] = []
        is_own_domain = answer.record.failure_domain == self.own.record.failure_domain
        if is_own_domain:
            self.evidence.note_peer(requested_s, answer.evidence_age_s)
            for sighting in (answer.sighting, *answer.sightings):
                if sighting.host == self.own.record.host:
                    self.own.refute(sighting.incarnation, '')
                elif not self.members.note_sighting(sighting, requested_s):
                    missing.append(sighting.host)
        for summary in answer.summaries:
            self._discovery.note_summary(summary, requested_s, address)
        self.domains.note_age(answer.record.failure_domain, requested_s, 0)
        for age in answer.domain_ages:
            self.domains.note_age(age.failure_domain, requested_s, age.age_s)
        self._contact_s = max(
            self._contact_s, requested_s - max(answer.contact_age_s, 0)
        )
        self._sync.note_peer_generation(address, answer.generation)
        self._withdrawals.note_peer_digest(address, answer.withdrawals_digest)
        if missing:
            await self._pull_members(address, missing)

    async def _pull_members(self, address: str, hosts: list[str]) -> None:
        request = PullMembers(hosts=hosts)
        answer = await self._peers.ask(address, request, _ANSWER_TIMEOUT_S)
        if isinstance(answer, MemberRecords):
            for record in answer.records:
                self.members.note_record(record, self._timer.now_s())

    async def _answer(self, request: Message) -> Message:
        if request.record.host != self.own.record.host:
            self.members.note_record(request.record, self._timer.now_s())
            address = request.record.peer_address
            self._sync.note_peer_generation(address, request.generation)
            self._withdrawals.note_peer_digest(address, request.withdrawals_digest)
            self._discovery.note_request(request.record)
        return self._heartbeat(request.record.failure_domain)

    async def _answer_members(self, request: Message) -> Message:
        found = [self.members.find(host) for host in request.hosts]
        records = [member.record for member in found if member is not None]
        return MemberRecords(records=records)

    def _heartbeat(self, requester_domain: str = '') -> Heartbeat:
        now_s = self._timer.now_s()
        sighting = self.own.sighting()
        is_own_domain = requester_domain == self.own.record.failure_domain
        count = _SUMMARIES_OWN_DOMAIN if is_own_domain else _SUMMARIES_OTHER_DOMAIN
        summaries = []
        if requester_domain:
            summaries = self.domains.sample(now_s, count, self._rng)
        if requester_domain and not is_own_domain:
            summaries.append(self._status.summary())
        return Heartbeat(
            record=self.own.record,
            sighting=sighting,
            generation=self._sync.number,
            contact_age_s=self.platform_contact_age_s(),
            evidence_age_s=self.evidence.age_s(now_s),
            withdrawals_digest=self._withdrawals.keys.digest(),
            sightings=self.members.sightings(now_s) if is_own_domain else [],
            summaries=summaries,
            domain_ages=(
                self.domains.sample_ages(now_s, _DOMAIN_AGES, self._rng)
                if requester_domain
                else []
            ),
        )

    async def _read_host_list(self) -> None:
        if self.is_relay() and await self._contact_points.read_host_list():
            self.note_contact()
