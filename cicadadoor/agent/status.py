"""Collect the load and the generations in use in this failure domain."""

import math
import random

import msgspec

from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.decisions.membership import hosts_behind
from cicadadoor.ids import digest_of
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.membership_messages import (
    DomainSummary,
    HostLoad,
    Load,
    MemberRecord,
    PullStatus,
)
from cicadadoor.links.messages import GateInfo, GateReport, LoadCounters, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.timer import TimerService

_PULL_PERIOD_S = 1.0
_PULLS_PER_PERIOD = 3
_PULL_TIMEOUT_S = 0.8
_LOAD_VALID_S = 30.0
_MIN_RATE_SPAN_S = 1.0
_MAX_UNREACHABLE_NAMES = 8
_MAX_GATES = 4
_MAX_ORGANISATIONS = 16
_LOAD_FIELDS = ('by_region', 'by_link', 'by_organisation')


class RateMeter:
    """Convert the counters of a gate into rates."""

    def __init__(self) -> None:
        self.load = Load()
        self.measured_s = float('-inf')
        self._counters: LoadCounters | None = None
        self._instance = ''
        self._began_s = 0.0

    def note(self, instance: str, counters: LoadCounters, now_s: float) -> None:
        """Update the rates; a new gate process starts a new measurement."""
        if self._counters is None or instance != self._instance:
            self._instance = instance
            self._begin(counters, now_s)
            return
        span_s = now_s - self._began_s
        if span_s < _MIN_RATE_SPAN_S:
            return
        rates = {
            field: _rates(
                getattr(self._counters, field),
                getattr(counters, field),
                span_s,
            )
            for field in _LOAD_FIELDS
        }
        self.load = Load(**rates)
        self.measured_s = now_s
        self._begin(counters, now_s)

    def _begin(self, counters: LoadCounters, now_s: float) -> None:
        self._counters = counters
        self._began_s = now_s


class StatusCollector(Service):
    """Collect the load of members and summarise this failure domain."""

    name = 'status'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._peers: PeerHub
        self._kernel: Kernel
        self._meter = RateMeter()
        self._loads: dict[str, tuple[float, Load]] = {}
        self._rng = random.Random()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the gate and to pulls, and schedule pulls of members' load."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._peers = kernel.find('peers')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(GateReport, self._handle_report)
        self._peers.on(PullStatus, self._answer, HostLoad)
        self._timer.subscribe('load_pull', _PULL_PERIOD_S, self.pull_loads)

    async def pull_loads(self) -> None:
        """Pull the load of some random members if this host is a relay."""
        membership = self._kernel.find('membership')
        if not membership.is_relay():
            return
        alive = membership.members.alive(self._timer.now_s())
        for member in self._rng.sample(alive, min(_PULLS_PER_PERIOD, len(alive))):
            self._kernel.spawn(
                self._pull_load,
                member.record.host,
                member.record.peer_address,
                on_fault=OnFault.CONTINUE,
            )

    async def _pull_load(self, host: str, address: str) -> None:
        requested_s = self._timer.now_s()
        answer = await self._peers.ask(address, PullStatus(), _PULL_TIMEOUT_S)
        if isinstance(answer, HostLoad):
            self._loads[host] = (requested_s - answer.age_s, answer.load)

    async def _answer(self, request: Message) -> Message:
        age_s = self._timer.now_s() - self._meter.measured_s
        return HostLoad(load=self._meter.load, age_s=age_s)

    async def _handle_report(self, report: GateReport) -> None:
        now_s = self._timer.now_s()
        self._meter.note(report.gate.instance, report.counters, now_s)

    def in_use(self) -> dict[str, tuple[int, str]]:
        """Return the generation and digest in use on each live host of this domain.

        The generation is 0 for a host without a recent report of its gate.
        """
        membership = self._kernel.find('membership')
        now_s = self._timer.now_s()
        found = {
            member.record.host: (member.generation, member.digest)
            for member in membership.members.alive(now_s)
        }
        own = membership.own.sighting()
        found[own.host] = (own.generation, own.digest)
        return found

    def summary(self) -> DomainSummary:
        """Return a summary of this failure domain."""
        membership = self._kernel.find('membership')
        now_s = self._timer.now_s()
        in_use = self.in_use()
        numbers = {host: number for host, (number, _) in in_use.items()}
        own = membership.own.record
        records = {own.host: own}
        for member in membership.members.alive(now_s):
            records[member.record.host] = member.record
        gates = [record.gate for record in records.values() if record.gate is not None]
        load, load_age_s = self.domain_load()
        if not membership.is_relay():
            load_age_s = math.inf
        return DomainSummary(
            failure_domain=own.failure_domain,
            region=own.region,
            age_s=0,
            relays=[_without_gate(records[host]) for host in membership.relay_hosts()],
            gates=_select_gates(gates, own.host),
            host_count=len(records),
            generation=min(numbers.values()),
            digest=_common_digest(in_use),
            behind=hosts_behind(self._sync.number, numbers),
            unreachable=membership.members.unreachable(now_s)[:_MAX_UNREACHABLE_NAMES],
            load=load,
            load_age_s=load_age_s,
        )

    def domain_load(self) -> tuple[Load, float]:
        """Return the load of the domain and the age in s of its oldest measurement."""
        now_s = self._timer.now_s()
        measured = {
            host: found
            for host, found in self._loads.items()
            if now_s - found[0] <= _LOAD_VALID_S
        }
        self._loads = dict(measured)
        own = (self._meter.measured_s, self._meter.load)
        if now_s - own[0] <= _LOAD_VALID_S:
            measured[self._state.settings.host] = own
        total = Load(by_region={}, by_link={}, by_organisation={})
        for _, load in measured.values():
            for field in _LOAD_FIELDS:
                _add(getattr(total, field), getattr(load, field))
        busiest = sorted(
            total.by_organisation.items(),
            key=lambda item: -item[1],
        )
        total = msgspec.structs.replace(
            total,
            by_organisation=dict(busiest[:_MAX_ORGANISATIONS]),
        )
        oldest_s = min((found[0] for found in measured.values()), default=now_s)
        return total, now_s - oldest_s


def _select_gates(gates: list[GateInfo], own_host: str) -> list[GateInfo]:
    # Ordered by hash: stable, so that other domains see few changes, and different
    # for each relay, so that they do not all name the same gates.
    ordered = sorted(
        gates, key=lambda gate: digest_of(f'{own_host} {gate.host}'.encode())
    )
    return ordered[:_MAX_GATES]


def _without_gate(record: MemberRecord) -> MemberRecord:
    # The summary lists gates separately.
    return msgspec.structs.replace(record, gate=None)


def _common_digest(in_use: dict[str, tuple[int, str]]) -> str:
    digests = {digest for _, digest in in_use.values()}
    return digests.pop() if len(digests) == 1 else ''


def _rates(
    before: dict[str, int],
    after: dict[str, int],
    span_s: float,
) -> dict[str, float]:
    return {
        name: (count - before.get(name, 0)) / span_s for name, count in after.items()
    }


def _add(total: dict[str, float], part: dict[str, float]) -> None:
    for name, rate in part.items():
        total[name] = total.get(name, 0) + rate
