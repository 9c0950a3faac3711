"""Play events that last for a whole run, or that need callers of their own."""

import random
import time
from enum import Enum, unique

import anyio
import httpx

from tests.soak.callers import CRASH_ATTEMPTS, Callers
from tests.soak.faults import FaultAction
from tests.soak.fleet import CRASH_PATH, Fleet, Host
from tests.soak.relay import RelayFault

_MS_PER_S = 1000
_CRASH_INTERVAL_S = 0.3
_CRASH_RESTART_S = 1.0
# Requests that are sent towards a partition are given up long before it heals.
_PARTITION_S = 3.0
_PARTITION_DELAY_S = 0.5
_PARTITIONED_WORKERS = 2
_ABANDON_INTERVAL_S = 0.1
_ABANDON_DEADLINE_MS = 500
_CLIENT_TIMEOUT_S = 4.0


@unique
class Event(Enum):
    """Name an event."""

    CRASHING_REQUEST = 'crashing request'
    ABANDONED_REQUESTS = 'abandoned requests'


class EventPlayer:
    """Play the events of one run beside its random faults."""

    def __init__(self, fleet: Fleet, callers: Callers, seed: int) -> None:
        self.log: list[str] = []
        self._fleet = fleet
        self._callers = callers
        # Apart from that of the random faults, so that a seed keeps its faults.
        self._random = random.Random(f'events-{seed}')
        self._actions: dict[Event, FaultAction] = {
            Event.CRASHING_REQUEST: self._repeat_crashing_request,
            Event.ABANDONED_REQUESTS: self._abandon_requests,
        }

    async def play(self, event: Event) -> None:
        """Play an event until it ends or the callers are stopped."""
        self.log.append(event.value)
        await self._actions[event]()

    async def _repeat_crashing_request(self) -> None:
        sent = 0
        async with anyio.create_task_group() as tasks:
            for worker in self._fleet.workers.values():
                worker.on_crash = tasks.start_soon
                worker.restart = self._restart_worker
            async with httpx.AsyncClient(
                trust_env=False, timeout=_CLIENT_TIMEOUT_S
            ) as client:
                while not self._callers.is_stopped:
                    sent += 1
                    tasks.start_soon(self._send_crashing_request, client, sent)
                    await anyio.sleep(_CRASH_INTERVAL_S)

    async def _send_crashing_request(
        self, client: httpx.AsyncClient, number: int
    ) -> None:
        host = self._random.randrange(len(self._fleet.hosts))
        # Callers learn of hosts that are ready. One that has just started takes the
        # quarantines over before that.
        if await _is_ready(client, self._fleet.hosts[host]):
            attempt = f'{CRASH_ATTEMPTS}{number}'
            await self._callers.send(client, attempt, 'GET', host, path=CRASH_PATH)

    async def _restart_worker(self, instance_id: str) -> None:
        self.log.append(f'{instance_id}: crashed')
        relay = self._fleet.worker_relays[instance_id]
        relay.crash()
        await anyio.sleep(_CRASH_RESTART_S)
        await relay.restart()
        self._fleet.announce(instance_id, 'ready', born=int(time.time() * _MS_PER_S))

    async def _abandon_requests(self) -> None:
        await anyio.sleep(_PARTITION_DELAY_S)
        names = self._random.sample(
            sorted(self._fleet.worker_relays), _PARTITIONED_WORKERS
        )
        relays = [self._fleet.worker_relays[name] for name in names]
        for relay in relays:
            relay.set_fault(RelayFault.SILENCE)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_abandoned)
            await anyio.sleep(_PARTITION_S)
            for relay in relays:
                relay.set_fault(RelayFault.NONE)
        self.log.append(f'{",".join(names)}: partitioned for {_PARTITION_S} s')

    async def _send_abandoned(self) -> None:
        async with httpx.AsyncClient(
            trust_env=False, timeout=_CLIENT_TIMEOUT_S
        ) as client:
            async with anyio.create_task_group() as tasks:
                for number in range(int(_PARTITION_S / _ABANDON_INTERVAL_S)):
                    tasks.start_soon(self._send_one_abandoned, client, number)
                    await anyio.sleep(_ABANDON_INTERVAL_S)

    async def _send_one_abandoned(self, client: httpx.AsyncClient, number: int) -> None:
        host = self._random.randrange(len(self._fleet.hosts))
        method = self._random.choice(('GET', 'POST'))
        await self._callers.send(
            client,
            f'abandoned-{number}',
            method,
            host,
            deadline_ms=_ABANDON_DEADLINE_MS,
        )


async def _is_ready(client: httpx.AsyncClient, host: Host) -> bool:
    try:
        answer = await client.get(f'http://{host.settings["readiness"]}/v1/readyz')
    except httpx.HTTPError:
        return False
    return answer.status_code == httpx.codes.OK
