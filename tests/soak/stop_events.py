"""Stop hosts as planned and by series of signals, while callers keep sending."""

import random
import signal
import time

import anyio
import httpx

from tests.soak.callers import Callers
from tests.soak.fleet import KILL_AFTER_S, SLOW_PATH, Fleet, Host

_CLIENT_TIMEOUT_S = 4.0
_POLL_S = 0.05
_CONNECTIONS = 4
# Long enough for requests to be in flight, below the time that a stopping host grants.
_WORK_MS = (50, 1000)
_BEFORE_STOP_S = 0.5
# Beyond `kill_after_s`; for the exit of the interpreter on a busy machine.
_EXIT_SLACK_S = 0.5
_READY_S = 10.0
_SERIES_PAUSE_S = 0.3
_PAUSE_S = 1.0


class StopEvents:
    """Play the events that signal hosts until a point in time."""

    def __init__(
        self, fleet: Fleet, callers: Callers, seed: int, end_s: float, log: list[str]
    ) -> None:
        self.violations: list[str] = []
        self._fleet = fleet
        self._callers = callers
        self._end_s = end_s
        self._log = log
        self._random = random.Random(f'stops-{seed}')
        self._sent = 0

    async def stop_in_turn(self) -> None:
        """Stop and restart all hosts one after another, as for a new version."""
        while time.monotonic() < self._end_s:
            for number, _ in enumerate(self._fleet.hosts):
                if time.monotonic() < self._end_s:
                    await self._stop_host(number)

    async def signal_in_series(self) -> None:
        """Send several signals to a host shortly after one another, again and again."""
        while time.monotonic() < self._end_s:
            host = self._random.choice(self._fleet.hosts)
            pid = host.process.pid
            actions = self._random.choices(
                (
                    self._reload,
                    self._pause,
                    self._terminate,
                    self._kill,
                    self._restart,
                    self._configure,
                ),
                weights=(3, 2, 1, 1, 2, 2),
                k=self._random.randint(4, 9),
            )
            names = [action.__name__.strip('_') for action in actions]
            self._log.append(f'{host.name}: series {" ".join(names)}')
            for action in actions:
                await action(host)
                await anyio.sleep(self._random.uniform(0, _SERIES_PAUSE_S))
            if any(
                each.pid == host.process.pid and each.number == signal.SIGTERM
                for each in host.process.signals
            ):
                await self._wait_end(host, host.process.pid)
            host.restart()
            if host.process.pid != pid:
                await self._wait_ready(host)

    async def _stop_host(self, number: int) -> None:
        host = self._fleet.hosts[number]
        if not host.process.is_running():
            await anyio.sleep(_POLL_S)
            return
        pid = host.process.pid
        async with anyio.create_task_group() as tasks:
            for _ in range(_CONNECTIONS):
                tasks.start_soon(self._send_until_gone, number, pid)
            await anyio.sleep(_BEFORE_STOP_S)
            self._log.append(f'{host.name}: SIGTERM beside open connections')
            host.process.send(signal.SIGTERM)
            await anyio.sleep(self._random.uniform(0, 1))
            await self._configure(host)
            next_number = (number + 1) % len(self._fleet.hosts)
            await self._reload(self._fleet.hosts[next_number])
            await self._reload(host)
            await self._wait_end(host, pid)
        host.restart()
        await self._wait_ready(host)

    async def _send_until_gone(self, number: int, pid: int) -> None:
        """Send requests on one connection for as long as the process runs."""
        process = self._fleet.hosts[number].process
        limits = httpx.Limits(max_connections=1)
        # Without `verify=False`, each client loads certificates for some tens of
        # milliseconds, in which the whole soak stands still.
        async with httpx.AsyncClient(
            trust_env=False, verify=False, timeout=_CLIENT_TIMEOUT_S, limits=limits
        ) as client:
            while process.is_running() and process.pid == pid:
                self._sent += 1
                method = self._random.choice(('GET', 'POST'))
                route = 'look' if method == 'GET' else 'book'
                work_ms = self._random.randint(*_WORK_MS)
                record = await self._callers.send(
                    client,
                    f'stop-{self._sent}',
                    method,
                    number,
                    path=f'/{route}/{self._sent}{SLOW_PATH}{work_ms}',
                )
                if record.status != httpx.codes.OK:
                    await anyio.sleep(_POLL_S)

    async def _wait_end(self, host: Host, pid: int) -> None:
        """Wait until a process that got SIGTERM has ended; kill it when it is late."""
        started_s = time.monotonic()
        sent_s = _terminated_s(host, pid)
        while host.process.is_running() and host.process.pid == pid:
            present_s = time.monotonic()
            if present_s - started_s > KILL_AFTER_S + _EXIT_SLACK_S:
                if not host.process.is_disturbed(sent_s, present_s):
                    self.violations.append(
                        f'{host.name}: process {pid} runs {present_s - sent_s:.1f} s '
                        'after SIGTERM'
                    )
                host.kill()
                return
            await anyio.sleep(_POLL_S)

    async def _wait_ready(self, host: Host) -> None:
        url = f'http://{host.settings["readiness"]}/v1/readyz'
        async with httpx.AsyncClient(
            trust_env=False, verify=False, timeout=1
        ) as client:
            with anyio.move_on_after(_READY_S):
                while not await _is_ready(client, url):
                    await anyio.sleep(_POLL_S)

    async def _reload(self, host: Host) -> None:
        host.write_settings(retry_slack=self._random.randrange(20, 60))
        host.process.send(signal.SIGHUP)

    async def _pause(self, host: Host) -> None:
        host.process.pause()
        await anyio.sleep(self._random.uniform(0, _PAUSE_S))
        host.process.resume()

    async def _terminate(self, host: Host) -> None:
        host.process.send(signal.SIGTERM)

    async def _kill(self, host: Host) -> None:
        host.kill()

    async def _restart(self, host: Host) -> None:
        host.restart()

    async def _configure(self, host: Host) -> None:
        self._fleet.configure()


def _terminated_s(host: Host, pid: int) -> float:
    return min(
        (
            each.at_s
            for each in host.process.signals
            if each.number == signal.SIGTERM and each.pid == pid
        ),
        default=time.monotonic(),
    )


async def _is_ready(client: httpx.AsyncClient, url: str) -> bool:
    try:
        answer = await client.get(url)
    except httpx.HTTPError:
        return False
    return answer.status_code == httpx.codes.OK
