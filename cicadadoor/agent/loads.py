"""Collect the load reports of all gates."""

import abc
from collections import defaultdict

import anyio
import msgspec

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.state import AgentState
from cicadadoor.decisions.shift_steps import MAX_AGE_S, Measurements, RegionLoad
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.membership_messages import MemberRecord
from cicadadoor.links.messages import Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.steering_messages import (
    DomainLoad,
    GateLoad,
    LoadAnswer,
    PullDomainLoad,
    PullLoad,
)
from cicadadoor.timer import TimerService

_ANSWER_TIMEOUT_S = 0.4
_DOMAIN_TIMEOUT_S = 0.8
# A host that was alive within this time counts as missing if it sends no report.
_EXPECTED_FOR_S = 60.0


class AgedLoad:
    """Pair a load report with its age."""

    __slots__ = ('age_s', 'load')

    def __init__(self, load: GateLoad, age_s: float) -> None:
        self.load = load
        self.age_s = age_s


class LoadReports:
    """Hold recent load reports; `missing` maps hosts without one to domains."""

    __slots__ = ('missing', 'reports')

    def __init__(self, reports: list[AgedLoad], missing: dict[str, str]) -> None:
        self.reports = reports
        self.missing = missing

    def measurements(self, failure_domains: list[str]) -> Measurements:
        """Sum the reports; a configured domain without one counts as missing."""
        loads: dict[tuple[str, str], RegionLoad] = defaultdict(RegionLoad)
        links: dict[tuple[str, str], float] = defaultdict(float)
        for aged in self.reports:
            gate = aged.load
            for service, measured in gate.services.items():
                total = loads[service, gate.region]
                total.busy += measured.busy
                total.slots += measured.slots
                total.bytes_per_s += measured.bytes_per_s
            for region, bytes_per_s in gate.link_bytes_per_s.items():
                links[gate.region, region] += bytes_per_s
        reporting = {aged.load.failure_domain for aged in self.reports}
        silent = [name for name in failure_domains if name not in reporting]
        generations = [aged.load.settled_generation for aged in self.reports]
        return Measurements(
            loads=dict(loads),
            link_bytes_per_s=dict(links),
            age_s=max((aged.age_s for aged in self.reports), default=0.0),
            settled_generation=min(generations, default=0),
            missing=[*sorted(self.missing), *silent],
        )


class LoadSource(Service):
    """Provide the load of every gate."""

    name = 'loads'

    @abc.abstractmethod
    async def collect(self) -> LoadReports:
        """Collect the current load reports."""


class PeerLoads(LoadSource):
    """Query the hosts of this failure domain and one relay of each other one.

    So the number of calls does not grow with the number of hosts in other domains.
    """

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._membership: Membership
        self._peers: PeerHub
        self._own_load: GateLoad | None = None
        self._own_load_s = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to this host's gate and to requests of other agents."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._peers = kernel.find('peers')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(GateLoad, self._store_own)
        self._peers.on(PullLoad, self._answer, LoadAnswer)
        self._peers.on(PullDomainLoad, self._answer_domain, DomainLoad)

    async def collect(self) -> LoadReports:
        """Collect the load reports of all hosts that answer."""
        found: list[DomainLoad] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._add_own_domain, found)
            for records in self._membership.domains.all_relays().values():
                tasks.start_soon(self._add_domain, records, found)
        reports = []
        missing: dict[str, str] = {}
        for domain in found:
            for answer in domain.answers:
                if answer.load is not None and answer.age_s <= MAX_AGE_S:
                    reports.append(AgedLoad(answer.load, answer.age_s))
            missing.update(dict.fromkeys(domain.missing, domain.failure_domain))
        return LoadReports(reports, missing)

    async def collect_domain(self) -> DomainLoad:
        """Collect the load reports of this failure domain."""
        own = self._own_answer()
        answers = {self._state.settings.host: own} if own.load else {}
        now_s = self._timer.now_s()
        alive = [member.record for member in self._membership.members.alive(now_s)]
        async with anyio.create_task_group() as tasks:
            for record in alive:
                if record.gate is not None:
                    tasks.start_soon(self._pull_load, record, answers)
        expected = {record.host for record in alive if record.gate is not None}
        expected.update(
            known.host
            for known in self._membership.known_hosts()
            if not known.is_alive and known.age_s < _EXPECTED_FOR_S
        )
        return DomainLoad(
            failure_domain=self._state.settings.failure_domain,
            answers=list(answers.values()),
            missing=sorted(expected - set(answers)),
        )

    async def _add_own_domain(self, found: list[DomainLoad]) -> None:
        found.append(await self.collect_domain())

    async def _add_domain(
        self,
        relays: list[MemberRecord],
        found: list[DomainLoad],
    ) -> None:
        for relay in relays:
            requested_s = self._timer.now_s()
            answer = await self._peers.ask(
                relay.peer_address,
                PullDomainLoad(),
                _DOMAIN_TIMEOUT_S,
            )
            if isinstance(answer, DomainLoad):
                elapsed_s = self._timer.now_s() - requested_s
                answers = [
                    _with_added_age(load_answer, elapsed_s)
                    for load_answer in answer.answers
                ]
                found.append(msgspec.structs.replace(answer, answers=answers))
                return

    async def _pull_load(
        self,
        member: MemberRecord,
        answers: dict[str, LoadAnswer],
    ) -> None:
        requested_s = self._timer.now_s()
        answer = await self._peers.ask(
            member.peer_address,
            PullLoad(),
            _ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, LoadAnswer) and answer.load is not None:
            elapsed_s = self._timer.now_s() - requested_s
            answers[member.host] = _with_added_age(answer, elapsed_s)

    async def _store_own(self, load: GateLoad) -> None:
        self._own_load = load
        self._own_load_s = self._timer.now_s()

    async def _answer(self, request: Message) -> Message:
        return self._own_answer()

    async def _answer_domain(self, request: Message) -> Message:
        return await self.collect_domain()

    def _own_answer(self) -> LoadAnswer:
        age_s = self._timer.now_s() - self._own_load_s
        return LoadAnswer(load=self._own_load, age_s=age_s)


def _with_added_age(answer: LoadAnswer, elapsed_s: float) -> LoadAnswer:
    # The whole round trip counts as age, as the time each way is unknown.
    return msgspec.structs.replace(answer, age_s=answer.age_s + elapsed_s)
