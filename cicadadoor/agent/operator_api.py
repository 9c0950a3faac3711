"""Serve the operators' HTTP interface of the agent."""

from http import HTTPStatus

import anyio
import msgspec

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.status import StatusCollector
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.agent.withdrawal_records import WithdrawalRecords
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.config import chunks, model
from cicadadoor.decisions.withdrawn_keys import is_key_hash
from cicadadoor.http_headers import JSON_HEADER
from cicadadoor.http_server import (
    HttpServer,
    Receive,
    Scope,
    Send,
    handle_lifespan,
    listen,
    send_response,
)
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.membership_messages import DomainSummary
from cicadadoor.open_requests import OpenRequests
from cicadadoor.telemetry import metrics
from cicadadoor.timer import TimerService

_MAX_BODY_BYTES = 4096
_RECORD_LIMIT_S = 2.0
# Short enough to answer before a stopping agent closes its connections.
_RECORD_LIMIT_AT_STOP_S = 0.5


class HostInUse(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the generation that a host's gate uses; 0 without a recent report."""

    host: str
    generation: int
    digest: str


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an entry host's generation and load, and its view of other hosts."""

    host: str
    failure_domain: str
    region: str
    agent_generation: int
    agent_digest: str
    gate_generation: int
    gate_digest: str
    gate_age_s: float
    in_flight: int
    # All failure domains that the configuration names.
    failure_domains: list[str]
    hosts: list[HostInUse]
    domain: DomainSummary
    other_domains: list[DomainSummary]
    withdrawn_keys: int
    unrecorded_withdrawals: int
    # None until the platform has answered for the first time.
    platform_contact_age_s: float | None


class WithdrawalRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to withdraw the key with a SHA-256 hash."""

    key_hash: str


class WithdrawalAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the host refuses the key, and whether the platform recorded it."""

    host: str
    recorded: bool
    told_hosts: int


class OperatorApi(Service):
    """Serve status, metrics and withdrawals."""

    name = 'operator_api'

    def __init__(self) -> None:
        self._state: AgentState
        self._sync: ConfigSync
        self._timer: TimerService
        self._status_collector: StatusCollector
        self._membership: Membership
        self._withdrawals: Withdrawals
        self._records: WithdrawalRecords
        self._server: HttpServer
        self._open = OpenRequests()
        self._is_stopping = False
        self._record_waits: set[anyio.CancelScope] = set()

    async def start(self, kernel: Kernel) -> None:
        """Listen at the operators' address."""
        self._state = kernel.find('state')
        self._sync = kernel.find('sync')
        self._timer = kernel.find('timer')
        self._status_collector = kernel.find('status')
        self._membership = kernel.find('membership')
        self._withdrawals = kernel.find('withdrawals')
        self._records = kernel.find('withdrawal_records')
        settings = self._state.settings
        self._server = HttpServer(
            self.handle,
            listen(str(settings.operators)),
            settings.tls_certificate_file,
            settings.tls_key_file,
        )
        kernel.spawn(self._server.serve)

    def work_left(self) -> int:
        """Return the number of requests whose answer is not complete yet."""
        return len(self._open)

    async def stop(self, grace_s: float) -> None:
        """Finish open requests, stop listening and close the connections."""
        self._is_stopping = True
        for wait in self._record_waits:
            wait.deadline = min(
                wait.deadline, anyio.current_time() + _RECORD_LIMIT_AT_STOP_S
            )
        await self._server.close()

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
            return
        with self._open.track():
            await self._answer(scope, receive, send)

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope['path']
        if path == '/v1/status':
            await _send_json(send, HTTPStatus.OK, self.status())
        elif path == '/v1/metrics':
            await send_response(send, HTTPStatus.OK, [], metrics.exposition())
        elif path == '/v1/health':
            await _send_json(send, HTTPStatus.OK, {'ready': self._sync.number > 0})
        elif path == '/v1/withdrawals' and scope['method'] == 'POST':
            await self._withdraw(receive, send)
        else:
            await send_response(send, HTTPStatus.NOT_FOUND, [], b'')

    async def _withdraw(self, receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        try:
            request = decode_json(body, type=WithdrawalRequest)
        except msgspec.MsgspecError as error:
            await _send_json(send, HTTPStatus.BAD_REQUEST, {'detail': str(error)})
            return
        if not is_key_hash(request.key_hash):
            detail = 'key_hash: a SHA-256 in lower-case hexadecimal is wanted'
            await _send_json(send, HTTPStatus.BAD_REQUEST, {'detail': detail})
            return
        await self._withdrawals.withdraw(request.key_hash)
        await self._record(request.key_hash)
        answer = WithdrawalAnswer(
            host=self._state.settings.host,
            recorded=self._withdrawals.keys.is_recorded(request.key_hash),
            told_hosts=len(self._withdrawals.notified_addresses()),
        )
        await _send_json(send, HTTPStatus.OK, answer)

    async def _record(self, key_hash: str) -> None:
        # The answer must arrive before the operator's command times out. The key is
        # refused already; if the platform hangs, it is recorded there later.
        limit_s = _RECORD_LIMIT_AT_STOP_S if self._is_stopping else _RECORD_LIMIT_S
        with anyio.move_on_after(limit_s) as wait:
            self._record_waits.add(wait)
            try:
                await self._records.record_one(key_hash)
            finally:
                self._record_waits.discard(wait)

    def status(self) -> HostStatus:
        """Return the status of this host; gate generation 0 before the first report."""
        settings = self._state.settings
        report = self._state.gate_report
        generation = self._sync.generation
        now_s = self._timer.now_s()
        contact_age_s = self._membership.platform_contact_age_s()
        return HostStatus(
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            agent_generation=self._sync.number,
            agent_digest=generation.digest if generation else '',
            gate_generation=report.generation if report else 0,
            gate_digest=report.digest if report else '',
            gate_age_s=now_s - self._state.gate_report_s,
            in_flight=report.in_flight if report else 0,
            failure_domains=self._configured_domains(),
            hosts=[
                HostInUse(host=host, generation=number, digest=digest)
                for host, (number, digest) in sorted(
                    self._status_collector.in_use().items()
                )
            ],
            domain=self._status_collector.summary(),
            other_domains=self._membership.domains.valid(now_s),
            withdrawn_keys=len(self._withdrawals.keys),
            unrecorded_withdrawals=len(self._withdrawals.keys.unrecorded()),
            platform_contact_age_s=contact_age_s if contact_age_s < now_s else None,
        )

    def _configured_domains(self) -> list[str]:
        generation = self._sync.generation
        if generation is None:
            return []
        topology = chunks.decode('topology', generation.contents['topology'])
        if not isinstance(topology, model.Topology):
            return []
        return sorted(domain.name for domain in topology.failure_domains)


async def _send_json(send: Send, status: HTTPStatus, content: object) -> None:
    await send_response(send, status, [JSON_HEADER], msgspec.json.encode(content))


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        event = await receive()
        parts.append(event.get('body', b''))
        size_bytes += len(parts[-1])
        is_last = event['type'] == 'http.disconnect' or not event.get('more_body')
        if is_last or size_bytes > _MAX_BODY_BYTES:
            return b''.join(parts)[:_MAX_BODY_BYTES]
