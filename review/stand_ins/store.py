"""Stand in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from stand_ins.http import Server

_PREFIX = '/v1/objects/'
_PAGE_ITEMS = 500
_ANSWER_S = 0.004


class Store:
    """Hold objects by kind and name, with one revision counter for all.

    Calls with `allow_stale` see the state of `stale_s` seconds ago.
    """

    def __init__(self, stale_s=0.0):
        self.stale_s = stale_s
        self.revision = 1
        self._log = []
        self._changed = asyncio.Event()
        self.server = Server(self._handle)
        # Called with method, target and headers; True if the call was dealt with.
        self.intercept = None

    async def start(self):
        await self.server.start()
        return self

    @property
    def address(self):
        return self.server.address

    def get(self, kind, name):
        return self._state(kind, self.revision).get(name)

    def put(self, kind, name, spec, status=None):
        """Create or replace an object; return it."""
        present = self.get(kind, name)
        if present and present['spec'] == spec and present['status'] == status:
            return present
        if present and kind == 'servers' and _without_seq(present['spec']) == (
            _without_seq(spec)
        ):
            # An entry changes only when more than `seq` does.
            return present
        self.revision += 1
        created = present['metadata']['created'] if present else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self._append(kind, name, stored)
        return stored

    def remove(self, kind, name):
        """Remove an object."""
        if self.get(kind, name) is not None:
            self.revision += 1
            self._append(kind, name, None)

    def _append(self, kind, name, stored):
        self._log.append((time.monotonic(), self.revision, kind, name, stored))
        self._changed.set()
        self._changed = asyncio.Event()

    def _state(self, kind, revision):
        objects = {}
        for _, at, of_kind, name, stored in self._log:
            if of_kind == kind and at <= revision:
                if stored is None:
                    objects.pop(name, None)
                else:
                    objects[name] = stored
        return objects

    def _visible(self, *, is_stale):
        if not is_stale or not self.stale_s:
            return self.revision
        until = time.monotonic() - self.stale_s
        return max((at for when, at, *_ in self._log if when <= until), default=1)

    def _events(self, kind, since, until):
        found = []
        for _, at, of_kind, name, stored in self._log:
            if of_kind != kind or not since < at <= until:
                continue
            if stored is None:
                last = self._state(kind, at - 1)[name]
                found.append({'object': last, 'deleted': True})
            else:
                found.append({'object': stored, 'deleted': False})
        return found

    async def _handle(self, request, connection):
        if self.intercept and await self.intercept(request, connection):
            return
        await asyncio.sleep(_ANSWER_S)
        parts = urlsplit(request.target)
        kind, _, name = parts.path.removeprefix(_PREFIX).partition('/')
        query = {key: texts[0] for key, texts in parse_qs(parts.query).items()}
        if request.method == 'GET':
            status, answer = await self._read(kind, unquote(name), query)
        else:
            status, answer = self._write(request, kind, unquote(name), query)
        body = json.dumps(answer).encode()
        await connection.answer(status, {'Content-Type': 'application/json'}, body)

    async def _read(self, kind, name, query):
        is_stale = 'allow_stale' in query
        if 'watch' in query:
            wait_s = int(query['wait_ms']) / 1000
            return 200, await self._watch(kind, int(query['watch']), wait_s, is_stale)
        until = self._visible(is_stale=is_stale)
        objects = self._state(kind, until)
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        after = query.get('after', '')
        later = [each for key, each in sorted(objects.items()) if key > after]
        return 200, {
            'items': later[:_PAGE_ITEMS],
            'more': len(later) > _PAGE_ITEMS,
            'at': until,
        }

    async def _watch(self, kind, since, wait_s, is_stale):
        ends_s = time.monotonic() + wait_s
        while True:
            until = self._visible(is_stale=is_stale)
            events = self._events(kind, since, until)
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'at': until}
            pause_s = min(left_s, 0.02) if is_stale else left_s
            try:
                await asyncio.wait_for(self._changed.wait(), pause_s)
            except TimeoutError:
                continue

    def _write(self, request, kind, name, query):
        wanted = json.loads(request.body) if request.body else {}
        metadata = wanted.get('metadata') or {}
        name, _, part = (name or metadata.get('name', '')).partition('/')
        present = self.get(kind, name)
        if request.method == 'POST':
            if present is not None:
                return 409, present
            return 200, self.put(kind, name, wanted.get('spec'), wanted.get('status'))
        if present is None:
            return 404, {}
        revision = query.get('revision', metadata.get('revision'))
        if revision is not None and int(revision) != present['metadata']['revision']:
            return 409, present
        if request.method == 'DELETE':
            self.remove(kind, name)
            return 200, present
        if part == 'status':
            return 200, self.put(kind, name, present['spec'], wanted.get('status'))
        return 200, self.put(kind, name, wanted.get('spec'), present['status'])


def _without_seq(spec):
    if not isinstance(spec, dict) or not isinstance(spec.get('status'), dict):
        return spec
    return {**spec, 'status': {**spec['status'], 'seq': 0}}
