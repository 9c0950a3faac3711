"""A caller that sends a request which crashes workers again and again."""

import asyncio
import time

from review.stand_ins_2.crashing import CrashingWorker
from review.stand_ins_2.deployment import (
    Deployment,
    EntryHost,
    read_answer,
    request_bytes,
)

STABILITY_S = 3.0
RETRIES_ALLOWED = 3


class PoisonWatch:
    """Count the retries that the rule counts.

    A retry is an attempt of a client with its own id; it counts once, however many
    workers it reaches.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._record = deployment.record
        self._arrivals_s: list[float] = []
        self._counted: set[str] = set()
        # When the last host was started or killed.
        self.disrupted_s = time.monotonic()
        for worker in deployment.workers.values():
            if isinstance(worker, CrashingWorker):
                worker.on_poison = self._note

    def _note(self, attempt: str) -> None:
        now_s = time.monotonic()
        self._arrivals_s.append(now_s)
        if len(self._arrivals_s) <= RETRIES_ALLOWED:
            return
        third_s = self._arrivals_s[2]
        in_touch = now_s - self.disrupted_s > STABILITY_S
        is_late = now_s - third_s > STABILITY_S + 0.5
        if is_late and in_touch and attempt not in self._counted:
            self._counted.add(attempt)
            self._record.note(
                f'RETRY    {attempt}: {now_s - third_s:.1f} s after the third crash, '
                f'number {self.retries}'
            )

    @property
    def retries(self) -> int:
        """Return the number of retries that count."""
        return len(self._counted)

    @property
    def crashes(self) -> int:
        """Return how many workers the request has reached."""
        return len(self._arrivals_s)


class Caller:
    """Send the same request, and once more at another host if it fails."""

    def __init__(self, deployment: Deployment, name: str) -> None:
        self._deployment = deployment
        self._name = name
        self._count = 0

    async def send(self, first: int) -> None:
        """Send the request at one host, and retry it at the next one."""
        hosts = self._deployment.hosts
        for host in (hosts[first % len(hosts)], hosts[(first + 1) % len(hosts)]):
            self._count += 1
            attempt = f'{self._name}-{self._count}'
            status = await self._try(host, attempt)
            self._deployment.record.note(f'answered {attempt} at {host.name}: {status}')
            if status == 200:
                return

    async def _try(self, host: EntryHost, attempt: str) -> int | str:
        try:
            reader, writer = await asyncio.open_connection(*host.address)
        except OSError as error:
            return type(error).__name__
        writer.write(request_bytes(attempt, '/look/poison'))
        try:
            answer = await asyncio.wait_for(read_answer(reader), 9)
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            return type(error).__name__
        finally:
            writer.close()
        return answer.status


class Bookings:
    """Send unsafe requests of other callers, and count those that are lost."""

    def __init__(self, deployment: Deployment, per_s: float) -> None:
        self._deployment = deployment
        self._interval_s = 1 / per_s
        self._tasks: set[asyncio.Task] = set()
        self.sent = 0
        self.failed = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            self.sent += 1
            task = asyncio.create_task(self._send(self.sent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_s)

    async def _send(self, number: int) -> None:
        hosts = self._deployment.hosts
        host = hosts[number % len(hosts)]
        attempt = f'b-{number}'
        status: int | str
        try:
            reader, writer = await asyncio.open_connection(*host.address)
            writer.write(
                request_bytes(attempt, '/book/1?work_ms=400', method='POST', body=b'paid')
            )
            status = (await asyncio.wait_for(read_answer(reader), 9)).status
            writer.close()
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            status = type(error).__name__
        if status not in {200, 429, 503}:
            self.failed += 1
            self._deployment.record.note(f'booking  {attempt}: {status}')
