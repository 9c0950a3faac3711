"""Send operators' holds and drains and the platform's host list to the gates."""

import math

import msgspec

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.config import chunks, model
from cicadadoor.config.operations import (
    DRAIN_KIND,
    HOLD_KIND,
    HOST_KIND,
    Drain,
    DrainState,
    Hold,
    HostEntry,
    Scope,
)
from cicadadoor.errors import Failure
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import Ack, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.steering_messages import BackendUpdate, HostState
from cicadadoor.object_store.base import ObjectList, StoredObject
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('orders')

_PERIOD_S = 1.0
_LEADER_TIMEOUT_S = 4.0
_ANSWER_TIMEOUT_S = 0.8
# In these states the target gets no new requests, also after the drain has ended.
_EFFECTIVE_STATES = frozenset((DrainState.LEAVING, DrainState.DONE, DrainState.FAILED))
_LEAVING_STATES = frozenset(('leaving', 'draining', 'gone'))


class OperatorOrders(Service):
    """Distribute the orders: holds and drains, and the states of backend servers.

    One agent of each failure domain reads them from the platform and forwards them to
    the others. The last orders stay in force while the platform is unreachable.
    """

    name = 'orders'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._membership: Membership
        self._peers: PeerHub
        self._link: DaemonLink
        self._kernel: Kernel
        self._heard_s = -math.inf
        self.latest: BackendUpdate | None = None

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to orders from the leader and schedule the refresh."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._membership = kernel.find('membership')
        self._peers = kernel.find('peers')
        self._link = kernel.find('daemon_link')
        self._peers.on(BackendUpdate, self._handle_update)
        self._timer.subscribe('orders', _PERIOD_S, self._refresh)

    def is_leader(self) -> bool:
        """Return whether this host is the first relay of its failure domain.

        Two hosts may both be leader for a while; that only costs extra calls.
        """
        return self._membership.relay_hosts()[:1] == [self._state.settings.host]

    async def _refresh(self) -> None:
        is_silent = self._timer.now_s() - self._heard_s > _LEADER_TIMEOUT_S
        if self.is_leader() or is_silent:
            update = await self._read()
            if update is not None:
                self._accept(update)
                self._forward(update)
        if self.latest is not None:
            await self._link.send(self.latest)

    def _forward(self, update: BackendUpdate) -> None:
        for address in self._membership.domain_addresses():
            self._kernel.spawn(
                self._peers.ask,
                address,
                update,
                _ANSWER_TIMEOUT_S,
                on_fault=OnFault.CONTINUE,
            )

    async def _handle_update(self, update: Message) -> Message:
        self._heard_s = self._timer.now_s()
        self._accept(update)
        return Ack()

    def _accept(self, update: BackendUpdate) -> None:
        if self.latest is None or update.version >= self.latest.version:
            self.latest = update

    async def _read(self) -> BackendUpdate | None:
        lists: dict[str, ObjectList] = {}
        for kind in (HOLD_KIND, DRAIN_KIND, HOST_KIND):
            found = await self._state.store.list(kind)
            if isinstance(found, Failure):
                log.warning('orders_not_read', reason=found.reason)
                return None
            lists[kind] = found
        holds = decode_all(lists[HOLD_KIND].objects, Hold)
        drains = decode_all(lists[DRAIN_KIND].objects, Drain)
        effective = [drain for drain in drains if drain.state in _EFFECTIVE_STATES]
        return BackendUpdate(
            version=lists[HOLD_KIND].version,
            hosts=self._host_states(lists[HOST_KIND].objects),
            drained=_targets(effective, Scope.BACKEND_SERVER),
            drained_domains=self._drained_domains(effective),
            drained_services=_targets(effective, Scope.SERVICE),
            held_servers=_targets(holds, Scope.BACKEND_SERVER),
            held_services=_targets(holds, Scope.SERVICE),
            held_regions=_targets(holds, Scope.REGION),
        )

    def _host_states(self, listed: list[StoredObject]) -> dict[str, HostState]:
        services: tuple[model.Service, ...] = self._section('services') or ()
        domain = self._state.settings.failure_domain
        servers = {
            server.name
            for service in services
            for server in service.backend_servers
            if server.failure_domain == domain
        }
        states = {}
        for stored in listed:
            if stored.name in servers:
                entry = decode_all([stored], HostEntry)
                is_leaving = bool(entry) and entry[0].state in _LEAVING_STATES
                states[stored.name] = HostState(
                    version=stored.version,
                    is_leaving=is_leaving,
                )
        return states

    def _drained_domains(self, drains: list[Drain]) -> list[str]:
        topology: model.Topology | None = self._section('topology')
        regions = _targets(drains, Scope.REGION)
        drained = set(_targets(drains, Scope.FAILURE_DOMAIN))
        if topology is not None:
            drained.update(
                domain.name
                for domain in topology.failure_domains
                if domain.region in regions
            )
        return sorted(drained)

    def _section(self, name: str) -> object:
        generation = self._sync.generation
        if generation is None:
            return None
        part = chunks.decode(name, generation.contents[name])
        return None if isinstance(part, Failure) else part


def decode_all(stored: list[StoredObject], object_type: type) -> list:
    """Decode stored objects; log and skip malformed ones."""
    decoded = []
    for stored_object in stored:
        try:
            decoded.append(decode_json(stored_object.body, type=object_type))
        except msgspec.MsgspecError as error:
            log.warning('object_malformed', object=stored_object.name, error=str(error))
    return decoded


def _targets(operations: list[Hold] | list[Drain], scope: Scope) -> list[str]:
    return sorted(
        operation.target for operation in operations if operation.scope is scope
    )
