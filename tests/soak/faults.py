"""Draw faults from a seeded generator and inject them, partly overlapping."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from tests.soak.entry_events import checks_departures, plays_late_heartbeats
from tests.soak.fleet import Fleet
from tests.soak.relay import Relay, RelayFault

_RELAY_FAULTS = tuple(each for each in RelayFault if each is not RelayFault.NONE)
_STORE_FAULTS = ('busy', 'many', 'reset', 'silent')
_WORKER_FAULTS = ('shed', 'reset', 'fail', 'foreign', 'unsigned', 'short')
_MAX_FAULT_S = 2.5
_EXIT_POLL_S = 0.05


FaultAction = Callable[[], Awaitable[None]]


class FaultInjector:
    """Inject random faults, each without waiting for the end of the previous one."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.log: list[str] = []
        self._fleet = fleet
        self._random = random.Random(seed)
        self._actions: tuple[FaultAction, ...] = (
            self._disturb_worker_link,
            self._disturb_store_link,
            self._fail_store,
            self._lose_store_answers,
            self._compact_store,
            self._pause_host,
            self._kill_host,
            self._stop_host,
            self._reload_host,
            self._corrupt_answers,
            self._drain_worker,
            self._change_configuration,
        )
        if checks_departures(seed):
            self._exclude_untimely(seed)

    async def inject(self, duration_s: float) -> None:
        """Start faults for `duration_s`, and return when all have ended."""
        with anyio.move_on_after(duration_s) as injection_scope:
            async with anyio.create_task_group() as tasks:
                while not injection_scope.cancel_called:
                    with anyio.CancelScope(shield=True):
                        tasks.start_soon(self._run_shielded, self._choose_action())
                    await anyio.sleep(self._random.uniform(0.2, 1.2))

    def _exclude_untimely(self, seed: int) -> None:
        # Beside these, a host learns late that a worker has left, or its requests are
        # held on their way.
        untimely = [
            self._disturb_worker_link,
            self._disturb_store_link,
            self._fail_store,
            self._pause_host,
            self._drain_worker,
        ]
        if plays_late_heartbeats(seed):
            # A host that starts after a late heartbeat has not seen the earlier one.
            untimely.extend((self._kill_host, self._stop_host))
        self._actions = tuple(
            action for action in self._actions if action not in untimely
        )

    def _choose_action(self) -> FaultAction:
        return self._random.choice(self._actions)

    async def _run_shielded(self, fault: FaultAction) -> None:
        with anyio.CancelScope(shield=True):
            await fault()

    async def _keep_active(self, what: str) -> None:
        duration_s = self._random.uniform(0.3, _MAX_FAULT_S)
        self.log.append(f'{what} for {duration_s:.2f} s')
        await anyio.sleep(duration_s)

    async def _disturb_worker_link(self) -> None:
        name = self._random.choice(sorted(self._fleet.worker_relays))
        await self._disturb_relay(name, self._fleet.worker_relays[name])

    async def _disturb_store_link(self) -> None:
        number = self._random.randrange(len(self._fleet.store_relays))
        await self._disturb_relay(
            f'store of host-{number}', self._fleet.store_relays[number]
        )

    async def _disturb_relay(self, what: str, relay: Relay) -> None:
        chosen = self._random.choice(_RELAY_FAULTS)
        relay.set_fault(chosen)
        await self._keep_active(f'{what}: {chosen.value}')
        relay.set_fault(RelayFault.NONE)

    async def _fail_store(self) -> None:
        outage = self._random.choice(_STORE_FAULTS)
        self._fleet.store.faults.outage = outage
        self._fleet.store.cut_watches()
        await self._keep_active(f'store: {outage}')
        self._fleet.store.faults.outage = ''

    async def _lose_store_answers(self) -> None:
        self.log.append('store: loses the answers of 3 writes')
        self._fleet.store.faults.lose_answers += 3

    async def _compact_store(self) -> None:
        self.log.append('store: compacts its event history')
        self._fleet.store.compact()

    async def _pause_host(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        if host.process.is_running():
            host.process.pause()
            await self._keep_active(f'{host.name}: SIGSTOP')
            host.process.resume()

    async def _kill_host(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        if host.process.is_running():
            host.process.kill()
            await self._keep_active(f'{host.name}: SIGKILL')
            host.restart()

    async def _stop_host(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        if not host.process.is_running():
            return
        self.log.append(f'{host.name}: SIGTERM')
        host.process.send(signal.SIGTERM)
        stopped = host.process.pid
        # Another fault may kill and restart the host meanwhile.
        while host.process.is_running() and host.process.pid == stopped:
            await anyio.sleep(_EXIT_POLL_S)
        host.restart()

    async def _reload_host(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        if host.process.is_running():
            self.log.append(f'{host.name}: SIGHUP')
            host.write_settings(retry_slack=self._random.randrange(20, 60))
            host.process.send(signal.SIGHUP)

    async def _corrupt_answers(self) -> None:
        worker = self._random.choice(sorted(self._fleet.workers))
        chosen = self._random.choice(_WORKER_FAULTS)
        self.log.append(f'{worker}: {chosen}')
        self._fleet.workers[worker].script.extend((chosen, chosen, chosen))

    async def _drain_worker(self) -> None:
        worker = self._random.choice(sorted(self._fleet.workers))
        self._fleet.announce(worker, 'draining')
        await self._keep_active(f'{worker}: draining')
        self._fleet.announce(worker, 'ready')

    async def _change_configuration(self) -> None:
        self.log.append('operator: writes a new configuration')
        self._fleet.configure()
