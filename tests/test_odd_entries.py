"""Test entries of other writers among those of the backend servers."""

import json

import anyio
import msgspec
import pytest

from cicadadoor.entry.model import BackendRecord, Topic
from cicadadoor.platform.source import PlatformSource
from cicadadoor.platform.store_client import StoreClient
from tests.test_platform_store import run
from tests.utils.entry_hosts import run_deployed
from tests.utils.metadata_store import worker_entry
from tests.utils.raw_server import serving
from tests.utils.waiting import until

DEPTH = 100_000
ADDRESS = '127.0.0.1:9000'


def _status(cold_remaining_ms: float) -> dict[str, object]:
    return {'state': 'ready', 'cold_remaining_ms': cold_remaining_ms}


def _info(slots: int) -> dict[str, object]:
    return {'service': 'front', 'zone': 'muc-a', 'slots': slots}


ODD_ENTRIES = (
    worker_entry(ADDRESS, born=10**30),
    worker_entry(ADDRESS, born=-(10**30)),
    worker_entry(ADDRESS, info=_info(10**30)),
    worker_entry(ADDRESS, info=_info(10**400)),
    worker_entry(ADDRESS, status=_status(10**30)),
    worker_entry(ADDRESS, status=_status(1e308)),
    worker_entry(ADDRESS, status=_status(-1e308)),
    worker_entry(ADDRESS, info=_info(0)),
    worker_entry('127.0.0.1:99999'),
    worker_entry('127.0.0.1:0'),
    worker_entry('127.0.0.1'),
    worker_entry('server.example:80'),
)


def _encoded(entry: dict[str, object]) -> msgspec.Raw:
    # msgspec encodes no integers of more than 64 bits.
    return msgspec.Raw(json.dumps(entry).encode())


class TestEntriesOutOfRange:
    """Check entries with numbers or addresses that no server can have."""

    @pytest.mark.parametrize('entry', ODD_ENTRIES)
    def test_entry_names_no_server_and_hides_no_other(self, entry):
        async def work(store, source):
            store.put('servers', 'i-0', _encoded(entry))
            store.put('servers', 'i-1', worker_entry(ADDRESS))
            snapshot = await source.read(Topic.BACKENDS)
            assert snapshot.records['i-0'] is None
            assert isinstance(snapshot.records['i-1'], BackendRecord)

        run(work)

    @pytest.mark.parametrize('entry', ODD_ENTRIES)
    def test_host_follows_the_list_and_serves(self, entry):
        async def work(deployment):
            deployment.store.put('servers', 'i-odd', _encoded(entry))
            mirror = deployment.find('mirror')
            await until(lambda: 'i-odd' in mirror.records(Topic.BACKENDS))
            deployment.store.put('servers', 'i-later', worker_entry(ADDRESS, born=1))
            await until(lambda: mirror.records(Topic.BACKENDS).get('i-later'))
            deployment.store.remove('servers', 'i-later')
            await until(lambda: 'i-later' not in mirror.records(Topic.BACKENDS))
            for number in range(8):
                cookie = {'Cookie': f'Affinity-Key={number}'}
                answer = await deployment.call('/look/1', **cookie)
                assert answer.status_code == 200

        run_deployed(work)


class TestDeeplyNestedEntries:
    """Check that a list with a deeply nested entry is read."""

    @pytest.mark.parametrize('field', ('spec', 'status', 'metadata', 'extra'))
    @pytest.mark.parametrize(
        ('opening', 'closing'), ((b'[', b']'), (b'{"a":', b'}'), (b'["]",{"":', b'}]'))
    )
    def test_other_servers_are_read_and_watched(self, field, opening, closing):
        nested = opening * DEPTH + b'1' + closing * DEPTH
        odd = b'{"metadata":{"name":"i-0"},"%s":%s}' % (field.encode(), nested)
        good = msgspec.json.encode(
            {'metadata': {'name': 'i-1'}, 'spec': worker_entry(ADDRESS)}
        )
        answers = [
            b'{"items":[%s,%s],"more":false,"at":3}' % (odd, good),
            b'{"events":[{"object":%s},{"object":%s}],"at":4}' % (odd, good),
        ]

        async def answer(request, connection) -> None:
            await connection.answer(200, body=answers.pop(0))

        async def main() -> None:
            with anyio.fail_after(30):
                async with serving(answer) as server:
                    source = PlatformSource(StoreClient(server.address))
                    snapshot = await source.read(Topic.BACKENDS)
                    changes = await source.watch(Topic.BACKENDS, 3, 1)
                    await source.stop(0)
            for records in (snapshot.records, changes.changed):
                assert isinstance(records['i-1'], BackendRecord)
                assert records.get('i-0') is None

        anyio.run(main)
