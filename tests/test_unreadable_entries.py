"""Test that an entry that cannot be read affects no other entry."""

import json

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.entry.model import BackendRecord, Snapshot, Topic
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.platform.source import PlatformSource
from cicadadoor.platform.store_client import StoreClient
from tests.utils.entry_hosts import run_deployed
from tests.utils.metadata_store import configuration, worker_entry
from tests.utils.waiting import until

ADDRESS = '127.0.0.1:9000'
HALF_PAIR = b'"\\ud800"'
FIELDS = ('address', 'born', 'info', 'status', 'extra')


class CannedClient(StoreClient):
    """Answer the store calls with given bodies."""

    def __init__(self, *bodies: bytes) -> None:
        super().__init__('127.0.0.1:9')
        self.bodies = list(bodies)
        self.paths: list[str] = []

    async def _call(self, method, path, *rest, **options) -> bytes | Failure:
        self.paths.append(path)
        if not self.bodies:
            return Failure(ErrorKind.STORE_UNAVAILABLE, 'no more pages')
        return self.bodies.pop(0)


def good(name: str) -> bytes:
    return msgspec.json.encode(
        {'metadata': {'name': name}, 'spec': worker_entry(ADDRESS)}
    )


def odd(field: str, encoded: bytes) -> bytes:
    """Return an entry named i-odd with an encoded value at a field of its spec."""
    spec = worker_entry(ADDRESS)
    spec.pop(field, None)
    head = json.dumps(spec).encode()[:-1]
    return b'{"metadata":{"name":"i-odd"},"spec":%s,"%s":%s}}' % (
        head,
        field.encode(),
        encoded,
    )


def page(*entries: bytes, more: bool = False) -> bytes:
    flag = b'true' if more else b'false'
    return b'{"items":[%s],"more":%s,"at":3}' % (b','.join(entries), flag)


def events(*entries: bytes) -> bytes:
    listed = b','.join(b'{"object":%s}' % item for item in entries)
    return b'{"events":[%s],"at":4}' % listed


def read(topic: Topic, *bodies: bytes):
    """Read a topic from given pages; return the answer and the paths of the calls."""

    async def main():
        client = CannedClient(*bodies)
        with anyio.fail_after(10):
            answer = await PlatformSource(client).read(topic)
        await client.close()
        return answer, client.paths

    return anyio.run(main)


def watch(topic: Topic, body: bytes):
    async def main():
        client = CannedClient(body)
        answer = await PlatformSource(client).watch(topic, 3, 1)
        await client.close()
        return answer

    return anyio.run(main)


def _in_string(raw: bytes) -> bytes:
    escaped = raw.replace(b'\\', b'').replace(b'"', b'')
    return b'"%s"' % escaped


half_pairs = st.sampled_from(
    (HALF_PAIR, b'"\\udc00x"', b'"\\ud800\\ud800"', b'{"\\ud83d":1}', b'["\\udfff"]')
)
byte_strings = st.binary(max_size=40).map(_in_string)
scalars = st.sampled_from(
    (b'NaN', b'-Infinity', b'nul', b'1e999999', b'9' * 5000, b'00', b'\xff\xfe', b'')
)
deep = st.tuples(
    st.integers(900, 30_000),
    st.sampled_from(((b'[', b']'), (b'{"":', b'}'), (b'[[{"a,]":', b'}]]'))),
).map(lambda drawn: drawn[1][0] * drawn[0] + b'1' + drawn[1][1] * drawn[0])
huge = st.integers(10_000, 300_000).map(lambda size: b'"%s"' % (b'x' * size))
wrongly_typed = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
).map(lambda drawn: json.dumps(drawn).encode())
duplicated = st.sampled_from(
    (b'{"slots":8,"slots":"\\ud800"}', b'1,"born":"\\ud800"', b'{"a":1,"a":[]}')
)
values = half_pairs | byte_strings | scalars | deep | huge | wrongly_typed | duplicated
# Numbers out of range are JSON all the same, and harm nothing in an unused field.
unreadable_values = half_pairs | scalars.filter(
    lambda drawn: drawn not in (b'9' * 5000, b'1e999999')
)


class TestUnreadableValues:
    """Guard against one value that hides the other entries of a list or watch."""

    @settings(max_examples=150, deadline=None)
    @given(st.sampled_from(FIELDS), values, st.integers(0, 2))
    def test_other_entries_of_a_page_and_of_events_arrive(self, field, value, place):
        entries = [good('i-0'), good('i-9')]
        entries.insert(place, odd(field, value))
        snapshot, _ = read(Topic.BACKENDS, page(*entries))
        changes = watch(Topic.BACKENDS, events(*entries))
        for records in (snapshot.records, changes.changed):
            assert isinstance(records['i-0'], BackendRecord)
            assert isinstance(records['i-9'], BackendRecord)
            assert records.keys() == {'i-0', 'i-9', 'i-odd'}

    @settings(max_examples=60, deadline=None)
    @given(st.sampled_from(FIELDS), unreadable_values)
    def test_unreadable_entry_names_no_server(self, field, value):
        snapshot, _ = read(Topic.BACKENDS, page(odd(field, value), good('i-9')))
        assert snapshot.records['i-odd'] is None

    @settings(max_examples=100, deadline=None)
    @given(st.sampled_from(('name', 'revision', 'deleting', 'more')), values)
    def test_unreadable_metadata_hides_no_other_entry(self, field, value):
        entry = b'{"metadata":{"name":"i-odd","%s":%s},"spec":1}' % (
            field.encode(),
            value,
        )
        snapshot, _ = read(Topic.BACKENDS, page(good('i-0'), entry, good('i-9')))
        assert isinstance(snapshot.records['i-0'], BackendRecord)
        assert isinstance(snapshot.records['i-9'], BackendRecord)

    @settings(max_examples=60, deadline=None)
    @given(st.sampled_from(tuple(Topic)), values)
    def test_unreadable_objects_of_every_kind_are_passed_over(self, topic, value):
        odd_entry = b'{"metadata":{"name":"a"},"spec":%s}' % value
        main = msgspec.json.encode(
            {'metadata': {'name': 'main'}, 'spec': configuration(7)}
        )
        snapshot, _ = read(topic, page(odd_entry, main))
        assert 'main' in snapshot.records

    def test_change_to_an_unreadable_entry_replaces_the_readable_one(self):
        """A server whose entry became unreadable must not be used as before."""
        changes = watch(Topic.BACKENDS, events(odd('extra', HALF_PAIR)))
        assert changes.changed == {'i-odd': None}

    def test_removal_of_an_unreadable_entry_arrives(self):
        entry = odd('extra', HALF_PAIR)
        body = b'{"events":[{"object":%s,"deleted":true}],"at":4}' % entry
        assert watch(Topic.BACKENDS, body).removed == ('i-odd',)

    @pytest.mark.parametrize(
        'body',
        (
            b'',
            b'{',
            b'[]',
            b'{"at":3}',
            b'{"items":3,"at":3}',
            b'{"items":["\\ud800"]}',
        ),
    )
    def test_answer_that_is_no_page_is_a_failure(self, body):
        answer, _ = read(Topic.BACKENDS, body)
        assert isinstance(answer, Failure)

    def test_host_follows_the_list_beside_an_unreadable_entry(self):
        """Hosts kept sending to a server that was draining (review/2)."""

        async def work(deployment):
            entry = {**worker_entry(ADDRESS), 'version': msgspec.Raw(HALF_PAIR)}
            deployment.store.put('servers', 'i-odd', entry)
            mirror = deployment.find('mirror')
            await until(lambda: 'i-odd' in mirror.records(Topic.BACKENDS))
            deployment.store.put('servers', 'i-later', worker_entry(ADDRESS, born=1))
            await until(lambda: mirror.records(Topic.BACKENDS).get('i-later'))
            assert mirror.records(Topic.BACKENDS)['i-odd'] is None

        run_deployed(work)


class TestPages:
    """Guard against pages that are requested forever."""

    def test_page_without_the_configuration_is_followed_by_the_next(self):
        other = b'{"metadata":{"name":"%s"},"spec":1}'
        main = msgspec.json.encode(
            {'metadata': {'name': 'main'}, 'spec': configuration(7)}
        )
        pages = [page(other % b'a', other % b'b', more=True), page(main)]
        snapshot, paths = read(Topic.POLICY, *pages)
        assert isinstance(snapshot, Snapshot)
        assert snapshot.records['main'].version == 7
        assert paths == ['config', 'config?after=b']

    def test_page_that_does_not_advance_is_a_failure(self):
        repeated = page(good('i-0'), more=True)
        answer, paths = read(Topic.BACKENDS, repeated, repeated, repeated)
        assert isinstance(answer, Failure)
        assert len(paths) == 2

    def test_empty_page_with_more_is_a_failure(self):
        answer, _ = read(Topic.BACKENDS, page(more=True))
        assert isinstance(answer, Failure)

    def test_page_that_ends_with_an_unreadable_name_is_followed_by_the_next(self):
        nameless = b'{"metadata":{"name":"\\ud800"}}'
        pages = [page(good('i-0'), nameless, more=True), page(nameless, good('i-1'))]
        snapshot, paths = read(Topic.BACKENDS, *pages)
        assert snapshot.records.keys() == {'i-0', 'i-1'}
        assert paths[1] == 'servers?after=i-0'
