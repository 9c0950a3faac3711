"""Probe backend servers, and report leaving ones to the other gates of the domain."""

import math

import httpx
import msgspec

from cicadadoor.config.model import BackendServer
from cicadadoor.config.model import Service as ConfiguredService
from cicadadoor.decisions.leaving import Evidence
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.slot_share import SlotShare
from cicadadoor.gate.state import GateState
from cicadadoor.http_client import DirectClient, FetchedResponse, fetch, no_cookies
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.messages import Ack
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.steering_messages import LeavingNotice
from cicadadoor.timer import TimerService

_TICK_S = 0.5
_MIN_PERIOD_S = 2.0
_TIMEOUT_S = 1.0
# Probe responses are JSON objects of a few fields.
_MAX_ANSWER_BYTES = 65_536
_NOTICE_PERIOD_S = 1.0
# Limit for the fraction of a server's time that the probes of all gates take.
_MAX_PROBE_SHARE = 0.02
_US_PER_S = 1_000_000
_SERVER_ERROR = 500


class Health(msgspec.Struct, frozen=True):
    """Hold the fields of `/health` that the gate uses."""

    draining: bool = False


class Load(msgspec.Struct, frozen=True):
    """Hold the fields of `/load` that the gate uses."""

    load: float = 0


class Prober(Service):
    """Probe this domain's backend servers and notify the domain's other gates."""

    name = 'prober'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._kernel: Kernel
        self._servers: BackendServers
        self._share: SlotShare
        self._directory: GateDirectory
        self._peers: PeerHub
        self._client: httpx.AsyncClient
        self._last_probe_s: dict[str, float] = {}

    async def start(self, kernel: Kernel) -> None:
        """Probe periodically, and subscribe to notices of other gates."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._servers = kernel.find('servers')
        self._share = kernel.find('slot_share')
        self._directory = kernel.find('directory')
        self._peers = kernel.find('peers')
        self._client = DirectClient(
            timeout=_TIMEOUT_S, cookies=no_cookies(), trust_env=False
        )
        self._peers.on(LeavingNotice, self.handle_notice)
        self._timer.subscribe('probe', _TICK_S, self._probe_due)
        self._timer.subscribe(
            'leaving_notice', _NOTICE_PERIOD_S, self._send_leaving_notice
        )

    async def stop(self, grace_s: float) -> None:
        """Close the HTTP client of the probes."""
        await self._client.aclose()

    async def handle_notice(self, notice: LeavingNotice) -> Ack:
        """Record the leaving servers that another gate of the domain reports."""
        for server in notice.servers:
            self._servers.record_leaving(server, Evidence.SIBLING)
        return Ack()

    async def probe(self, server: BackendServer) -> None:
        """Probe the health and load of one server, and record the results."""
        started_s = self._timer.now_s()
        try:
            response = await self._get(f'{server.url}/health')
        except httpx.ConnectError:
            self._servers.record_leaving(server.name, Evidence.REFUSED)
            self._servers.record_probe(server.name, started_s, is_good=False)
            return
        except httpx.HTTPError:
            self._servers.record_probe(server.name, started_s, is_good=False)
            return
        if _reports_draining(response):
            self._servers.record_leaving(server.name, Evidence.HEALTH)
        is_good = response.status < _SERVER_ERROR and not _reports_draining(response)
        self._servers.record_probe(server.name, started_s, is_good=is_good)
        await self._fetch_load(server)

    async def _get(self, url: str) -> FetchedResponse:
        return await fetch(
            self._client,
            'GET',
            url,
            limit_bytes=_MAX_ANSWER_BYTES,
            within_s=2 * _TIMEOUT_S,
        )

    async def _fetch_load(self, server: BackendServer) -> None:
        try:
            response = await self._get(f'{server.url}/load')
            reported = decode_json(response.content, type=Load)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return
        if response.is_success:
            load = self._servers.load(server.name)
            load.note_report(reported.load, self._timer.now_s())

    async def _probe_due(self) -> None:
        view = self._state.view
        if view is None:
            return
        now_s = self._timer.now_s()
        for service in view.services.values():
            period_s = self._period_s(service)
            for server in self._servers.local(service):
                last_s = self._last_probe_s.get(server.name, -math.inf)
                is_due = now_s - last_s >= period_s
                if is_due or server.name in self._servers.due_for_probe:
                    self._last_probe_s[server.name] = now_s
                    self._servers.due_for_probe.discard(server.name)
                    self._kernel.spawn(self.probe, server, on_fault=OnFault.CONTINUE)

    def _period_s(self, service: ConfiguredService) -> float:
        cost_s = service.probe_cost_us * self._share.seat_count() / _US_PER_S
        return max(_MIN_PERIOD_S, cost_s / _MAX_PROBE_SHARE)

    async def _send_leaving_notice(self) -> None:
        leaving = self._servers.leaving.directly_reported()
        if not leaving:
            return
        notice = LeavingNotice(servers=leaving)
        for gate in self._directory.in_domain(self._state.settings.failure_domain):
            self._kernel.spawn(
                self._peers.ask,
                gate.peer_address,
                notice,
                _TIMEOUT_S,
                on_fault=OnFault.CONTINUE,
            )


def _reports_draining(response: FetchedResponse) -> bool:
    if response.headers.get('x-draining') == '1':
        return True
    try:
        return decode_json(response.content, type=Health).draining
    except msgspec.MsgspecError:
        return False
