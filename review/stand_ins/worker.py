"""Stand in for a worker of the platform (PROTOCOL.md)."""

import asyncio
import time

from stand_ins.http import Server


class Worker:
    """Run requests in slots, queue a few more, and register in the store."""

    def __init__(self, store, record, name, service, zone, *, slots=8, work_s=0.2, link_s=0.0):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        # One way of the link, before each answer.
        self.link_s = link_s
        self.slow_factor = 1.0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.cold_until_s = 0.0
        self.is_leaving = False
        self.running = 0
        self.waiting = 0
        self.server = Server(self._handle)
        self._free = asyncio.Semaphore(slots)
        # Called with a request's path when it begins to run; True if it ends the worker.
        self.crashes_at = None
        # Time, attempt id, method of the requests that were not answered 421.
        self.arrivals = []
        # Attempt ids of the requests that were being worked on when this worker ended.
        self.cut = []
        self._active = {}

    async def start(self):
        await self.server.start()
        self.register()
        return self

    def register(self):
        """Write the entry; it changes only if more than `seq` has."""
        self.seq += 1
        return self.store.put('servers', self.name, self.entry())

    def entry(self):
        """Return what a heartbeat writes now."""
        cold_ms = max(0, int((self.cold_until_s - time.monotonic()) * 1000))
        return {
            'address': self.server.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'seq': self.seq,
                'cold_remaining_ms': cold_ms,
            },
        }

    async def beat(self, every_s):
        """Write the entry again and again."""
        while True:
            await asyncio.sleep(every_s)
            self.register()

    def end(self):
        """End the process; what it works on is lost."""
        self.cut.extend(self._active)
        self.server.end()

    async def _handle(self, request, connection):
        headers = request.headers
        attempt = headers.get('attempt-id', '')
        wanted = headers.get('target-instance', self.name)
        if request.target == '/healthz':
            status = 200 if self.state == 'ready' else 503
            await connection.answer(status, {'Instance-Id': self.name})
            return
        if wanted != self.name:
            fields = {'Attempt-Id': attempt, 'Instance-Id': self.name}
            await connection.answer(421, fields)
            return
        self.arrivals.append((time.monotonic(), attempt, request.method))
        self.record.note('arrives', attempt=attempt, worker=self.name)
        fields = {'Attempt-Id': attempt}
        if self.is_leaving:
            fields['Connection'] = 'close'
        if self.waiting > 3 * self.slots:
            await connection.answer(503, {**fields, 'Not-Executed': '1'})
            return
        ends_s = time.monotonic() + int(headers.get('deadline-ms', '60000')) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), ends_s - time.monotonic())
        except TimeoutError:
            await asyncio.sleep(self.link_s)
            await connection.answer(503, {**fields, 'Not-Executed': '1'})
            return
        finally:
            self.waiting -= 1
        if self.crashes_at and self.crashes_at(request.target):
            self.record.note('crash', worker=self.name, attempt=attempt)
            self.end()
            return
        self.running += 1
        self._active[attempt] = request.method
        work_s = self.work_s * self.slow_factor
        left_s = ends_s - time.monotonic()
        try:
            await asyncio.sleep(min(work_s, left_s))
        finally:
            self.running -= 1
            self._active.pop(attempt, None)
            self._free.release()
        await asyncio.sleep(self.link_s)
        fields['Response-Signature'] = f'{self.name}.{attempt}'
        if work_s > left_s:
            await connection.answer(504, fields, b'deadline')
            return
        fields['Server-Load'] = f'{self.running},{self.waiting},{self.slots}'
        await connection.answer(200, fields, f'{self.name} ran {attempt}'.encode())
        self.record.note('ran', attempt=attempt, worker=self.name)
