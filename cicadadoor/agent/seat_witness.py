"""Exchange evidence with other agents about which hosts may hold seats."""

import random

import anyio

from cicadadoor.agent.limits_view import LimitsView
from cicadadoor.agent.membership import Membership
from cicadadoor.agent.state import AgentState
from cicadadoor.decisions.seats import HolderEvidence
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.membership_messages import MemberRecord
from cicadadoor.links.messages import Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.share_messages import SeatStatus, SeatStatusRequest
from cicadadoor.timer import TimerService

SEAT_KIND = 'seat_table'
ROUND_PERIOD_S = 30.0
# Three rounds without contact.
HEARD_TIMEOUT_S = 3 * ROUND_PERIOD_S
# Stands for `never`; finite because it is sent in messages.
NO_CONTACT_S = 1e9
_QUERY_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 5.0
_READ_PEERS = 2
_READ_MAX_CONTACT_AGE_S = 60.0


class SeatWitness(Service):
    """Query peers in rounds, answer their queries, and collect evidence."""

    name = 'seat_witness'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._membership: Membership
        self._peers: PeerHub
        self._limits: LimitsView
        self._contact_s = -NO_CONTACT_S
        self._peer_contact_s = -NO_CONTACT_S
        self._heard_s: dict[str, float] = {}
        self._domain_heard_s: dict[str, float] = {}
        self._peer_heard_s: dict[str, float] = {}
        self.own_seats: tuple[int, ...] = ()
        self.evidence: HolderEvidence

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to requests of peers and schedule the rounds."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._peers = kernel.find('peers')
        self._limits = kernel.find('limits_view')
        self.evidence = HolderEvidence(self._state.settings.seat_isolation_s)
        self._peers.on(SeatStatusRequest, self.answer, SeatStatus)
        self._timer.subscribe('seat_witness', ROUND_PERIOD_S, self.query_peers)

    def note_contact(self) -> None:
        """Record that the platform has answered this host."""
        self._contact_s = self._timer.now_s()

    def is_heard(self, host: str) -> bool:
        """Return whether this host or a domain member heard from a host recently."""
        heard_s = max(
            self._heard_s.get(host, -NO_CONTACT_S),
            self._peer_heard_s.get(host, -NO_CONTACT_S),
        )
        return self._timer.now_s() - heard_s < HEARD_TIMEOUT_S or self._is_member(host)

    def is_heard_directly(self, host: str) -> bool:
        """Return whether this host itself heard from another host recently."""
        age_s = self._timer.now_s() - self._heard_s.get(host, -NO_CONTACT_S)
        return age_s < HEARD_TIMEOUT_S or self._is_member(host)

    def domains_heard(self) -> int:
        """Return the number of other failure domains heard from recently."""
        oldest_s = self._timer.now_s() - HEARD_TIMEOUT_S
        return sum(1 for heard_s in self._domain_heard_s.values() if heard_s > oldest_s)

    def other_domains(self) -> int:
        """Return the number of other configured failure domains."""
        own = self._state.settings.failure_domain
        return len(set(self._limits.domain_seats) - {own})

    async def query_peers(self) -> None:
        """Query all members of this failure domain and one host of each other one."""
        requested_s = self._timer.now_s()
        answers: list[SeatStatus] = []
        async with anyio.create_task_group() as tasks:
            for record in self._select_peers():
                tasks.start_soon(self._query, record, answers)
        own_domain = self._state.settings.failure_domain
        answered: dict[int, float] = {}
        ages_s: dict[str, float] = {}
        for status in answers:
            if status.failure_domain == own_domain:
                answered.update(dict.fromkeys(status.seats, requested_s))
            else:
                ages_s[status.failure_domain] = status.platform_age_s
        seats = self._limits.domain_seats.get(own_domain, 0)
        self.evidence.note_domain(set(self.own_seats), seats, answered)
        self.evidence.note_sole_holder(set(self.own_seats), seats, requested_s)
        self.evidence.note_domains(self.other_domains(), ages_s, requested_s)

    async def read_table(self) -> bytes:
        """Return the encoded seat table as read by a peer, or empty bytes."""
        records = self._membership.live_records()
        for record in random.sample(records, min(_READ_PEERS, len(records))):
            request = self._build_request(self._state.settings.failure_domain)
            answer = await self._peers.ask(
                record.peer_address, request, _READ_TIMEOUT_S
            )
            if isinstance(answer, SeatStatus) and answer.table:
                return answer.table
        return b''

    async def answer(self, request: Message) -> Message:
        """Return when hosts were last heard from, and a seat table if requested."""
        self._note_peer(request.host, request.failure_domain, request.platform_age_s)
        table = b''
        age_s = self._timer.now_s() - self._contact_s
        if request.read_domain and age_s < _READ_MAX_CONTACT_AGE_S:
            stored = await self._state.store.get(SEAT_KIND, request.read_domain)
            table = b'' if isinstance(stored, Failure) else stored.body
        now_s = self._timer.now_s()
        ages_s = {host: now_s - heard_s for host, heard_s in self._heard_s.items()}
        for record in self._membership.live_records():
            ages_s[record.host] = 0.0
        settings = self._state.settings
        return SeatStatus(
            host=settings.host,
            failure_domain=settings.failure_domain,
            seats=self.own_seats,
            heard_age_s=ages_s,
            platform_age_s=self._platform_age_s(),
            table=table,
        )

    async def _query(self, record: MemberRecord, answers: list[SeatStatus]) -> None:
        answer = await self._peers.ask(
            record.peer_address, self._build_request(), _QUERY_TIMEOUT_S
        )
        if not isinstance(answer, SeatStatus):
            return
        self._note_peer(answer.host, answer.failure_domain, answer.platform_age_s)
        if answer.failure_domain == self._state.settings.failure_domain:
            now_s = self._timer.now_s()
            for host, age_s in answer.heard_age_s.items():
                known_s = self._peer_heard_s.get(host, -NO_CONTACT_S)
                self._peer_heard_s[host] = max(known_s, now_s - age_s)
        answers.append(answer)

    def _select_peers(self) -> list[MemberRecord]:
        own_domain = self._state.settings.failure_domain
        selected: list[MemberRecord] = []
        by_domain: dict[str, list[MemberRecord]] = {}
        for record in self._membership.live_records():
            if record.failure_domain == own_domain:
                selected.append(record)
            else:
                by_domain.setdefault(record.failure_domain, []).append(record)
        selected.extend(random.choice(records) for records in by_domain.values())
        return selected

    def _build_request(self, read_domain: str = '') -> SeatStatusRequest:
        settings = self._state.settings
        return SeatStatusRequest(
            host=settings.host,
            failure_domain=settings.failure_domain,
            platform_age_s=self._platform_age_s(),
            read_domain=read_domain,
        )

    def _note_peer(self, host: str, domain: str, platform_age_s: float) -> None:
        now_s = self._timer.now_s()
        self._heard_s[host] = now_s
        if domain != self._state.settings.failure_domain:
            self._domain_heard_s[domain] = now_s
        self._peer_contact_s = max(self._peer_contact_s, now_s - platform_age_s)

    def _platform_age_s(self) -> float:
        contact_s = max(self._contact_s, self._peer_contact_s)
        return min(NO_CONTACT_S, self._timer.now_s() - contact_s)

    def _is_member(self, host: str) -> bool:
        return any(record.host == host for record in self._membership.live_records())
