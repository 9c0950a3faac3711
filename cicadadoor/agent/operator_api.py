"""Answer operators over HTTP."""

from http import HTTPStatus

import msgspec

from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.http_server import (
    JSON_HEADER,
    HttpServer,
    Receive,
    Scope,
    Send,
    answer_lifespan,
    send_whole,
)
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import metrics
from cicadadoor.timer import TimerService


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what one entry host has in use."""

    host: str
    failure_domain: str
    region: str
    agent_generation: int
    gate_generation: int
    gate_digest: str
    gate_age_s: float
    in_flight: int


class OperatorApi(Service):
    """Serve status and metrics."""

    name = 'operator_api'

    def __init__(self) -> None:
        self._state: AgentState
        self._sync: ConfigSync
        self._timer: TimerService
        self._server: HttpServer

    async def start(self, kernel: Kernel) -> None:
        """Listen at the operators' address."""
        self._state = kernel.find('state')
        self._sync = kernel.find('sync')
        self._timer = kernel.find('timer')
        settings = self._state.settings
        self._server = HttpServer(
            self.handle,
            str(settings.operators),
            settings.tls_certificate_file,
            settings.tls_key_file,
        )
        kernel.spawn(self._server.serve)

    async def stop(self, grace_s: float) -> None:
        """Stop listening and end the connections."""
        await self._server.close()

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope['type'] == 'lifespan':
            await answer_lifespan(receive, send)
            return
        path = scope['path']
        if path == '/v1/status':
            await send_whole(
                send, HTTPStatus.OK, [JSON_HEADER], msgspec.json.encode(self.status())
            )
        elif path == '/v1/metrics':
            await send_whole(send, HTTPStatus.OK, [], metrics.exposition())
        else:
            await send_whole(send, HTTPStatus.NOT_FOUND, [], b'')

    def status(self) -> HostStatus:
        """Return what this host has in use; an unheard gate has generation 0."""
        settings = self._state.settings
        report = self._state.gate_report
        generation = self._sync.generation
        return HostStatus(
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            agent_generation=generation.number if generation else 0,
            gate_generation=report.generation if report else 0,
            gate_digest=report.digest if report else '',
            gate_age_s=self._timer.now_s() - self._state.gate_report_s,
            in_flight=report.in_flight if report else 0,
        )
