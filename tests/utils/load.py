"""Send requests as callers do, and compare their outcomes with the executions."""

import random
import secrets
import threading
import time
from collections import Counter
from collections.abc import Iterable
from enum import Enum, unique

import anyio
import httpx

from tests.utils.backend_server import Execution

_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_ANSWER_TIMEOUT_S = 30.0


@unique
class OutcomeKind(Enum):
    """Classify the outcome of one request from the caller's view."""

    SERVED = 'served'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_ANSWER = 'no_answer'


class Outcome:
    """Record the outcome of one request; times are on the monotonic clock."""

    __slots__ = ('detail', 'ended_s', 'kind', 'name', 'organisation', 'url')

    def __init__(
        self,
        name: str,
        organisation: str,
        kind: OutcomeKind,
        detail: str,
        url: str,
    ) -> None:
        self.name = name
        self.organisation = organisation
        self.kind = kind
        self.detail = detail
        self.url = url
        self.ended_s = time.monotonic()

    def __repr__(self) -> str:
        return f'{self.name} {self.kind.value} at {self.url}: {self.detail}'


class CallerGroup:
    """Describe the callers of one organisation at one client address.

    Each caller repeatedly sends one request, waits for its answer and pauses.
    """

    __slots__ = (
        'callers',
        'client_ip',
        'enrol_fraction',
        'key',
        'organisation',
        'pause_s',
        'work_ms',
    )

    def __init__(
        self,
        organisation: str,
        key: str,
        client_ip: str,
        *,
        callers: int,
        pause_s: float,
        enrol_fraction: float = 0.3,
        work_ms: int = 5,
    ) -> None:
        self.organisation = organisation
        self.key = key
        self.client_ip = client_ip
        self.callers = callers
        self.pause_s = pause_s
        self.enrol_fraction = enrol_fraction
        self.work_ms = work_ms


class Load:
    """Run callers in a thread until the load is stopped.

    Callers look hosts up as clients do, and try the next host only if an attempt was
    refused without having run.
    """

    def __init__(
        self,
        lookup_urls: Iterable[str],
        groups: Iterable[CallerGroup],
        service: str = 'kursbuchung',
        seed: int = 1,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._lookup_urls = list(lookup_urls)
        self._groups = list(groups)
        self._service = service
        self._random = random.Random(seed)
        self._is_stopping = False
        self._error: BaseException | None = None
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> list[Outcome]:
        """Wait for the answers still pending and return all outcomes."""
        self._is_stopping = True
        self._thread.join()
        if self._error is not None:
            raise self._error
        return self.outcomes

    def served(self) -> int:
        """Return the number of requests served so far."""
        return sum(outcome.kind is OutcomeKind.SERVED for outcome in self.outcomes)

    def _run(self) -> None:
        # Kept for stop(), which raises it in the caller's thread.
        try:
            anyio.run(self._run_all)
        except BaseException as error:
            self._error = error

    async def _run_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for group in self._groups:
                for number in range(group.callers):
                    tasks.start_soon(self._run_caller, group, number)

    async def _run_caller(self, group: CallerGroup, number: int) -> None:
        count = 0
        async with httpx.AsyncClient(timeout=_ANSWER_TIMEOUT_S) as client:
            hosts = CachedHosts(client, self._lookup_urls, self._service, self._random)
            while not self._is_stopping:
                await anyio.sleep(self._random.uniform(0, 2 * group.pause_s))
                count += 1
                name = f'{group.organisation}-{group.client_ip}-{number}-{count}'
                outcome = await self._send(client, hosts, group, name)
                self.outcomes.append(outcome)

    async def _send(
        self,
        client: httpx.AsyncClient,
        hosts: 'CachedHosts',
        group: CallerGroup,
        name: str,
    ) -> Outcome:
        urls = await hosts.get(group.client_ip)
        nonce = secrets.token_hex(8)
        is_enrolment = self._random.random() < group.enrol_fraction
        method, path = ('POST', 'enrol') if is_enrolment else ('GET', 'timetable')
        headers = {'x-api-key': group.key, 'x-work-ms': str(group.work_ms)}
        if is_enrolment:
            # Any other host would forward the request to the issuer of the prefix.
            urls = hosts.issuer_first(urls)
        outcome = Outcome(
            name,
            group.organisation,
            OutcomeKind.REFUSED,
            'the look-up returned no host',
            '',
        )
        for url in urls:
            target = f'{url}/s/{self._service}/{path}/{name}'
            if is_enrolment:
                headers['idempotency-key'] = f'{hosts.prefix}{nonce}'
            if not hosts.prefix:
                headers.pop('idempotency-key', None)
            try:
                answer = await client.request(method, target, headers=headers)
            except _NOT_SENT_ERRORS as error:
                outcome = _outcome(name, group, OutcomeKind.REFUSED, repr(error), url)
                hosts.forget(url)
                continue
            except httpx.HTTPError as error:
                hosts.forget(url)
                return _outcome(name, group, OutcomeKind.NO_ANSWER, repr(error), url)
            outcome = _outcome(name, group, _classify(answer), answer.text[:300], url)
            # A retry is safe only if the answer says run=no.
            if outcome.kind is not OutcomeKind.REFUSED:
                return outcome
        return outcome


class CachedHosts:
    """Look hosts up and cache the answer for its time-to-live."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        lookup_urls: list[str],
        service: str,
        generator: random.Random,
    ) -> None:
        self.prefix = ''
        self._client = client
        self._lookup_urls = lookup_urls
        self._service = service
        self._random = generator
        self._urls: list[str] = []
        self._expires_s = 0.0
        self._issuer = ''

    async def get(self, client_ip: str) -> list[str]:
        """Return the URLs of the hosts to use, best first."""
        if time.monotonic() < self._expires_s and self._urls:
            return list(self._urls)
        lookup_urls = [*self._urls, *self._shuffled(self._lookup_urls)]
        for url in lookup_urls:
            try:
                answer = await self._client.get(
                    f'{url}/cicadadoor/v1/hosts',
                    params={'service': self._service, 'client': client_ip},
                    timeout=2,
                )
            except httpx.HTTPError:
                continue
            if answer.status_code == 200 and answer.json()['hosts']:
                self._issuer = url
                return self._cache(answer.json())
        return list(self._urls)

    def forget(self, url: str) -> None:
        """Remove an unreachable host from the cached answer."""
        self._urls = [kept for kept in self._urls if kept != url]
        if url == self._issuer:
            self.prefix = ''

    def issuer_first(self, urls: list[str]) -> list[str]:
        """Move the host that issued the idempotency prefix to the front, if listed."""
        return sorted(urls, key=lambda url: url != self._issuer)

    def _cache(self, found: dict) -> list[str]:
        self.prefix = found['idempotency_prefix']
        self._expires_s = time.monotonic() + found['ttl_ms'] / 1000
        best = found['hosts'][0]['region']
        near = [host['url'] for host in found['hosts'] if host['region'] == best]
        far = [host['url'] for host in found['hosts'] if host['region'] != best]
        # Callers spread over the hosts of the first region in the answer.
        self._urls = [*self._shuffled(near), *far]
        return list(self._urls)

    def _shuffled(self, urls: list[str]) -> list[str]:
        return self._random.sample(urls, len(urls))


class Audit:
    """Compare the callers' outcomes with the backend servers' executions."""

    __slots__ = ('_enrolments', '_runs', 'outcomes')

    def __init__(
        self,
        outcomes: list[Outcome],
        executions: Iterable[Execution],
    ) -> None:
        self.outcomes = outcomes
        self._runs: Counter[str] = Counter()
        self._enrolments: Counter[str] = Counter()
        for execution in executions:
            path, _, name = execution.target.rstrip('?').rpartition('/')
            self._runs[name] += 1
            if path.endswith('enrol'):
                self._enrolments[name] += 1

    def of_kind(self, kind: OutcomeKind) -> list[Outcome]:
        """Return the requests with this outcome."""
        return [outcome for outcome in self.outcomes if outcome.kind is kind]

    def never_run(self) -> list[Outcome]:
        """Return requests that were answered as served but did not run."""
        served = self.of_kind(OutcomeKind.SERVED)
        return [outcome for outcome in served if not self._runs[outcome.name]]

    def run_but_refused(self) -> list[Outcome]:
        """Return requests that ran although the answer said run=no."""
        refused = self.of_kind(OutcomeKind.REFUSED)
        return [outcome for outcome in refused if self._runs[outcome.name]]

    def doubled(self) -> list[str]:
        """Return the names of enrolments that ran more than once."""
        return [name for name, runs in self._enrolments.items() if runs > 1]


def _outcome(
    name: str,
    group: CallerGroup,
    kind: OutcomeKind,
    detail: str,
    url: str,
) -> Outcome:
    return Outcome(name, group.organisation, kind, detail, url)


def _classify(answer: httpx.Response) -> OutcomeKind:
    if answer.is_success:
        return OutcomeKind.SERVED
    run = answer.headers.get('x-cicadadoor-run')
    return {'no': OutcomeKind.REFUSED, 'yes': OutcomeKind.SERVED}.get(
        run, OutcomeKind.UNKNOWN
    )
