"""Test that quarantines outlive the death of all hosts at once."""

from http import HTTPStatus

import anyio
import httpx

from tests.soak.callers import Callers
from tests.soak.fleet import CRASH_PATH, Fleet
from tests.utils.waiting import until

_KIND = 'cicadadoor-hosts'
_HOSTS = 3
_WORKERS = 4
_TEST_TIMEOUT_S = 120
_RETRY_S = 0.1
_STORED_S = 5


class CrashingFleet:
    """Send the request that crashes servers, and ordinary ones, to each host."""

    def __init__(self, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._callers = Callers(fleet, 1)
        self._client = client
        self._sent = 0

    async def call(self, host: int, path: str = '') -> int:
        """Return the status of one request; 0 if there is no answer."""
        self._sent += 1
        attempt = f'attempt-{self._sent}'
        record = await self._callers.send(self._client, attempt, 'GET', host, path=path)
        return record.status

    async def serve_all(self) -> None:
        """Wait until all hosts serve ordinary requests."""
        for host in range(_HOSTS):
            while await self.call(host) != HTTPStatus.OK:
                await anyio.sleep(_RETRY_S)

    async def hold_everywhere(self) -> None:
        """Send the request until all hosts refuse it."""
        for host in range(_HOSTS):
            while await self.call(host, CRASH_PATH) != HTTPStatus.SERVICE_UNAVAILABLE:
                await anyio.sleep(_RETRY_S)

    @property
    def crashes(self) -> int:
        """Return how often the request has reached a server."""
        runs = self._fleet.runs
        return sum(run.path == CRASH_PATH for run in runs)

    def is_stored(self) -> bool:
        """Tell whether a host has stored the quarantine."""
        store = self._fleet.store
        records = [store.get(_KIND, name) for name in store.names(_KIND)]
        return any(record['spec'].get('quarantines') for record in records)


class TestDeathOfAllHosts:
    """Guard against a request that crashes servers again after a kill of all hosts."""

    def test_request_stays_quarantined(self, tmp_path):
        async def work(fleet: Fleet, crashing: CrashingFleet) -> None:
            await crashing.serve_all()
            await crashing.hold_everywhere()
            with anyio.move_on_after(_STORED_S):
                await until(crashing.is_stored)
            for host in fleet.hosts:
                host.kill()
            for host in fleet.hosts:
                host.restart()
            await crashing.serve_all()
            crashes = crashing.crashes
            for _ in range(4):
                for host in range(_HOSTS):
                    status = await crashing.call(host, CRASH_PATH)
                    assert status == HTTPStatus.SERVICE_UNAVAILABLE
            assert crashing.crashes == crashes

        async def main() -> None:
            fleet = Fleet(tmp_path)
            with anyio.fail_after(_TEST_TIMEOUT_S):
                async with httpx.AsyncClient(trust_env=False, timeout=4) as client:
                    try:
                        await fleet.start(_HOSTS, _WORKERS)
                        for worker in fleet.workers.values():
                            worker.on_crash = lambda *_: None
                        await work(fleet, CrashingFleet(fleet, client))
                    finally:
                        await fleet.stop()

        anyio.run(main)
