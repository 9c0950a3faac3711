"""Collect the load reports of all gates."""

import abc
from collections import defaultdict

import anyio

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.state import AgentState
from cicadadoor.decisions.shift_steps import MAX_AGE_S, Measurements, RegionLoad
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import Heartbeat, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.steering_messages import GateLoad, LoadAnswer, PullLoad
from cicadadoor.timer import TimerService

_ANSWER_TIMEOUT_S = 1.0
# A host that was heard within this time has to report, or its figures are missing.
_EXPECTED_FOR_S = 60.0


class AgedLoad:
    """Hold a load report and its age."""

    __slots__ = ('age_s', 'load')

    def __init__(self, load: GateLoad, age_s: float) -> None:
        self.load = load
        self.age_s = age_s


class LoadReports:
    """Hold all fresh load reports; `missing` maps silent hosts to their domains."""

    __slots__ = ('missing', 'reports')

    def __init__(self, reports: list[AgedLoad], missing: dict[str, str]) -> None:
        self.reports = reports
        self.missing = missing

    def measurements(self, failure_domains: list[str]) -> Measurements:
        """Add the reports up; each configured failure domain has to have one."""
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
        heard = {aged.load.failure_domain for aged in self.reports}
        unheard = [name for name in failure_domains if name not in heard]
        generations = [aged.load.settled_generation for aged in self.reports]
        return Measurements(
            loads=dict(loads),
            link_bytes_per_s=dict(links),
            age_s=max((aged.age_s for aged in self.reports), default=0.0),
            settled_generation=min(generations, default=0),
            missing=[*sorted(self.missing), *unheard],
        )


class LoadSource(Service):
    """Tell the load of every gate."""

    name = 'loads'

    @abc.abstractmethod
    async def collect(self) -> LoadReports:
        """Return the load reports of this moment."""


class PeerLoads(LoadSource):
    """Ask the agent of every host that is heard."""

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._membership: Membership
        self._peers: PeerHub
        self._own: GateLoad | None = None
        self._own_s = 0.0
        self._heard_s: dict[str, float] = {}
        self._domains: dict[str, str] = {}

    async def start(self, kernel: Kernel) -> None:
        """Take the reports of this host's gate and answer other agents."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._peers = kernel.find('peers')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(GateLoad, self._take)
        self._peers.on(PullLoad, self._answer, LoadAnswer)

    async def collect(self) -> LoadReports:
        """Return the load reports of all hosts that answer."""
        now_s = self._timer.now_s()
        members = [beat for beat in self._membership.heard() if beat.gate is not None]
        for member in members:
            self._heard_s[member.host] = now_s
            self._domains[member.host] = member.failure_domain
        answers = {self._state.settings.host: self._own_answer()}
        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(self._ask, member, answers)
        reports = [
            AgedLoad(answer.load, answer.age_s)
            for answer in answers.values()
            if answer.load is not None and answer.age_s <= MAX_AGE_S
        ]
        reported = {aged.load.host for aged in reports}
        missing = {
            host: self._domains[host]
            for host, heard_s in self._heard_s.items()
            if now_s - heard_s < _EXPECTED_FOR_S and host not in reported
        }
        return LoadReports(reports, missing)

    async def _ask(self, member: Heartbeat, answers: dict[str, LoadAnswer]) -> None:
        asked_s = self._timer.now_s()
        answer = await self._peers.ask(
            member.peer_address,
            PullLoad(),
            _ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, Failure) or not isinstance(answer, LoadAnswer):
            return
        # The time on the way counts as age, because its part each way is not known.
        age_s = answer.age_s + self._timer.now_s() - asked_s
        answers[member.host] = LoadAnswer(load=answer.load, age_s=age_s)

    async def _take(self, load: GateLoad) -> None:
        self._own = load
        self._own_s = self._timer.now_s()

    async def _answer(self, request: Message) -> Message:
        return self._own_answer()

    def _own_answer(self) -> LoadAnswer:
        age_s = self._timer.now_s() - self._own_s
        return LoadAnswer(load=self._own, age_s=age_s)
