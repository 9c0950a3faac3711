"""Test entries of backend servers that the store applies late."""

import pytest

from cicadadoor.entry.model import Topic
from tests.test_platform_store import run, run_mirror
from tests.utils.entry_hosts import run_deployed
from tests.utils.metadata_store import worker_entry
from tests.utils.waiting import until

ADDRESS = '127.0.0.1:9000'
BORN = 1_700_000_000_000


def entry(
    state: str, seq: int | None, born: int | None = BORN, address: str = ADDRESS
) -> dict[str, object]:
    status = {'state': state, 'cold_remaining_ms': 0}
    if seq is not None:
        status['seq'] = seq
    fields = worker_entry(address, status=status)
    fields['born'] = born
    if born is None:
        fields.pop('born')
    return fields


async def arrived(mirror, name: str) -> None:
    """Wait until a copy has an entry of a name."""
    await until(lambda: name in mirror.records(Topic.BACKENDS))


class TestLateEntries:
    """Guard against a late `ready` that hides that a server is draining."""

    # The entries written in order, and whether the server then counts as draining.
    cases = (
        ([entry('ready', 1), entry('draining', 3), entry('ready', 2)], True),
        ([entry('draining', 3), entry('ready', 9, BORN - 1)], True),
        ([entry('draining', 3), entry('ready', 4)], False),
        ([entry('draining', 3), entry('ready', 1, BORN + 1)], False),
        ([entry('ready', 2), entry('draining', 2)], True),
        # Entries of other writers may lack the fields that are compared.
        ([entry('ready', 5), entry('draining', None)], True),
        ([entry('ready', 5), entry('draining', 1, None)], True),
        ([entry('ready', 5), None, entry('draining', 4)], True),
    )

    @pytest.mark.parametrize(('entries', 'is_draining'), cases)
    def test_watch_with_several_events_keeps_the_latest_entry(
        self, entries, is_draining
    ):
        async def work(store, source):
            revision = store.revision
            for each in entries:
                store.put('servers', 'i-1', each)
            changes = await source.watch(Topic.BACKENDS, revision, 5)
            assert changes.changed['i-1'].is_draining == is_draining

        run(work)

    @pytest.mark.parametrize(('entries', 'is_draining'), cases)
    def test_copy_keeps_the_latest_entry(self, entries, is_draining):
        async def work(store, mirror):
            for number, each in enumerate(entries):
                store.put('servers', 'i-1', each)
                store.put('servers', f'mark-{number}', entry('ready', 1))
                await arrived(mirror, f'mark-{number}')
            assert mirror.records(Topic.BACKENDS)['i-1'].is_draining == is_draining

        run_mirror(work)

    def test_copy_that_is_read_anew_keeps_the_latest_entry(self):
        async def work(store, mirror):
            store.put('servers', 'i-1', entry('draining', 3))
            await arrived(mirror, 'i-1')
            store.put('servers', 'i-1', entry('ready', 2))
            store.put('servers', 'i-2', entry('ready', 2))
            store.compact()
            await arrived(mirror, 'i-2')
            assert mirror.records(Topic.BACKENDS)['i-1'].is_draining

        run_mirror(work)

    def test_entry_that_was_removed_is_compared_with_nothing(self):
        async def work(store, mirror):
            store.put('servers', 'i-1', entry('draining', 3))
            await arrived(mirror, 'i-1')
            store.remove('servers', 'i-1')
            await until(lambda: 'i-1' not in mirror.records(Topic.BACKENDS))
            store.put('servers', 'i-1', entry('ready', 2))
            await arrived(mirror, 'i-1')
            assert not mirror.records(Topic.BACKENDS)['i-1'].is_draining

        run_mirror(work)

    def test_draining_server_gets_no_requests_after_a_late_entry(self):
        async def work(deployment):
            backends = deployment.find('backends')
            address = backends.find('i-0').record.address
            for state, seq in (('ready', 5), ('draining', 7), ('ready', 6)):
                deployment.store.put(
                    'servers', 'i-0', entry(state, seq, address=address)
                )
            deployment.store.put('servers', 'i-9', entry('draining', 1))
            await until(lambda: backends.find('i-9'))
            runs = len(deployment.workers['i-0'].runs)
            for number in range(8):
                cookie = f'Affinity-Key={number}'
                answer = await deployment.call('/look/1', Cookie=cookie)
                assert answer.text == 'i-1'
            assert len(deployment.workers['i-0'].runs) == runs

        run_deployed(work, workers=2)
