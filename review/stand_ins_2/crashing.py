"""Workers that crash when they run a certain request, and come back after some seconds."""

import asyncio
import contextlib

from review.stand_ins_2.deployment import Worker, worker_entry
from tests.utils.raw_server import RawServer

DOWN_S = 3.0
# An entry is removed after three heartbeat intervals of silence.
ENTRY_LAPSE_S = 4.5
CRASH_AFTER_S = 0.03


class CrashingWorker(Worker):
    """Crash at each request for `poison`; a new incarnation has a new id."""

    # Whether the crash comes when half of the answer has been written.
    crashes_in_answer = False

    def __init__(self, name: str, record, zone: str, store) -> None:
        super().__init__(name, record, zone)
        self._base = name
        self._store = store
        self._incarnation = 1
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._port = 0
        self._tasks: set[asyncio.Task] = set()
        self.crashes = 0
        # Called with the attempt id at each start of the poisoned request.
        self.on_poison = None

    async def start(self) -> None:
        """Listen, and register in the store."""
        server = RawServer(self.handle)

        async def serve(reader, writer) -> None:
            self._writers.add(writer)
            try:
                await server.serve(reader, writer)
            finally:
                self._writers.discard(writer)

        self._listener = await asyncio.start_server(serve, '127.0.0.1', self._port)
        self._port = self._listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self._port}'
        cold_ms = 0 if self._incarnation == 1 else 3000
        entry = worker_entry(self, cold_remaining_ms=cold_ms)
        entry['born'] += self._incarnation * 60_000
        self._store.put('servers', self.name, entry)

    async def handle(self, request, connection) -> None:
        """Crash at the poisoned request, and run the others."""
        is_named = request.headers.get('target-instance', self.name) == self.name
        if 'poison' not in request.target or not is_named:
            await super().handle(request, connection)
            return
        attempt = request.headers.get('attempt-id', '')
        self.runs.append(attempt)
        self._record.note(f'run      {attempt} at {self.name}: {request.target}, crashes')
        if self.on_poison is not None:
            self.on_poison(attempt)
        await asyncio.sleep(CRASH_AFTER_S)
        if self.crashes_in_answer:
            head = (
                'HTTP/1.1 200 OK\r\n'
                f'Attempt-Id: {attempt}\r\n'
                f'Response-Signature: signed-{attempt}\r\n'
                'Server-Load: 1,0,8\r\n'
                'Content-Length: 4000\r\n\r\n'
            )
            await connection.write(head.encode() + b'x' * 2000)
            # The bytes leave the machine before the process ends.
            await asyncio.sleep(0.01)
        self._crash()

    def _crash(self) -> None:
        """End as a process does: connections close, and nobody listens."""
        self.crashes += 1
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            # The kernel closes the sockets of a process that has ended.
            writer.close()
        old_name = self.name
        self._incarnation += 1
        self.name = f'{self._base}-{self._incarnation}'
        task = asyncio.get_running_loop().create_task(self._return(old_name))
        self._tasks.add(task)

    async def _return(self, old_name: str) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start()
        self._record.note(f'{self.name} is back')
        await asyncio.sleep(ENTRY_LAPSE_S - DOWN_S)
        with contextlib.suppress(KeyError):
            self._store.remove('servers', old_name)

    def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.close()
