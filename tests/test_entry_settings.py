"""Test how an entry host loads and reloads its settings."""

import os
import re
import signal
from pathlib import Path

import anyio
import msgspec
import pytest

from cicadadoor.entry import settings as entry_settings
from cicadadoor.entry.reload import SettingsReload
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel
from cicadadoor.timer import BootTimer
from tests.utils.waiting import until

TEMPLATE = Path(__file__).parent.parent / 'deploy' / 'entry.json.template'
FIELDS = {
    'host': 'front-1',
    'failure_domain': 'muc-a',
    'region': 'muenchen',
    'region_of_domain': {'muc-a': 'muenchen'},
    'callers': '127.0.0.1:8388',
    'readiness': '127.0.0.1:8384',
    'directory': '127.0.0.1:8383',
    'peers': '127.0.0.1:7200',
    'metrics': '127.0.0.1:7561',
    'store': '127.0.0.1:8382',
}


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_bytes(b'// comment\n' + msgspec.json.encode(FIELDS))
    return path


class TestLoad:
    """Check valid and invalid settings files."""

    def test_settings_are_read(self, settings_file):
        loaded = entry_settings.load(str(settings_file))
        assert loaded.host == 'front-1'
        assert str(loaded.store) == '127.0.0.1:8382'
        assert loaded.region_of('muc-a') == 'muenchen'

    @pytest.mark.parametrize(
        ('field', 'given'),
        (
            ('host', 'UPPER'),
            ('callers', 'nowhere'),
            ('region_of_domain', {}),
            ('kill_after_s', -1),
            ('cold_overrun', 'much'),
            ('unknown_field', 1),
        ),
    )
    def test_error_names_the_file_and_the_field(self, settings_file, field, given):
        settings_file.write_bytes(msgspec.json.encode({**FIELDS, field: given}))
        loaded = entry_settings.load(str(settings_file))
        assert isinstance(loaded, Failure)
        assert loaded.kind is ErrorKind.SETTINGS_INVALID
        assert field in loaded.reason
        assert str(settings_file) in loaded.reason


class TestMachineLimits:
    """Check the limits of the machine, which not every platform states."""

    # Memory, descriptors and link of a small machine with 4 cores at a share of 0.3.
    _small_machine = {
        'memory_mb': 152,
        'max_descriptors': 1535,
        'link_mbps': 5,
        'cores': 4,
        'cpu_share': 0.3,
    }

    @pytest.mark.parametrize(
        'given',
        ({}, dict.fromkeys(_small_machine)),
        ids=('missing', 'null'),
    )
    def test_missing_or_null_limit_has_its_default(self, given):
        loaded = entry_settings.check('settings', {**FIELDS, **given})
        assert loaded.memory_mb == 300
        assert loaded.max_descriptors == 4100
        assert loaded.link_mbps == 1000
        assert loaded.cores == 1

    def test_stated_limits_are_read(self):
        loaded = entry_settings.check('settings', {**FIELDS, **self._small_machine})
        assert loaded.memory_mb == 152
        assert loaded.max_descriptors == 1535
        assert loaded.link_mbps == 5
        assert loaded.cores == pytest.approx(1.2)

    @pytest.mark.parametrize('name', _small_machine)
    @pytest.mark.parametrize('given', (0, -1, 'much', True))
    def test_impossible_limit_is_refused(self, name, given):
        loaded = entry_settings.check('settings', {**FIELDS, name: given})
        assert isinstance(loaded, Failure)
        assert name in loaded.reason

    def test_null_does_not_replace_a_required_field(self):
        loaded = entry_settings.check('settings', {**FIELDS, 'store': None})
        assert isinstance(loaded, Failure)
        assert 'store' in loaded.reason


class TestTemplate:
    """Check that the platform's values reach the settings by the template."""

    _platform = {
        'node_name': 'front-1',
        'zone': 'muc-a',
        'region': 'muenchen',
        'zones': {'muc-a': 'muenchen'},
        'ip': '127.0.0.1',
        'internal_ports.0': 7200,
        'listen.front': '127.0.0.1:8388',
        'listen.ready': '127.0.0.1:8384',
        'listen.directory': '127.0.0.1:8383',
        'platform.address': '127.0.0.1:8382',
    }
    _limits = {
        'limits.memory_mb': 152,
        'limits.max_fds': 1535,
        'limits.link_mbps': 5,
        'limits.cores': 4,
        'limits.cpu_share': 0.3,
    }

    @pytest.mark.parametrize(
        ('limits', 'memory_mb', 'max_descriptors', 'cores'),
        ((_limits, 152, 1535, 1.2), ({}, 300, 4100, 1)),
        ids=('stated', 'unstated'),
    )
    def test_limits_are_filled_in(
        self, tmp_path, limits, memory_mb, max_descriptors, cores
    ):
        path = tmp_path / 'settings.json'
        path.write_text(fill_in({**self._platform, **limits}))
        loaded = entry_settings.load(str(path))
        assert not isinstance(loaded, Failure), loaded.reason
        assert loaded.memory_mb == memory_mb
        assert loaded.max_descriptors == max_descriptors
        assert loaded.cores == pytest.approx(cores)
        assert loaded.kill_after_s == 6


def fill_in(values: dict[str, object]) -> str:
    """Return the template with values as the platform fills them in."""

    def value_of(found: re.Match) -> str:
        given = values.get(found['name'])
        return msgspec.json.encode(given).decode() if found['json'] else str(given)

    pattern = r'{{(?P<name>[^|}]*)(?P<json>\|json)?}}'
    return re.sub(pattern, value_of, TEMPLATE.read_text())


def run_reload(path, work) -> None:
    """Run a coroutine function next to a running reload service."""

    async def main() -> None:
        state = EntryState(entry_settings.load(str(path)))
        kernel = Kernel()
        for service in (BootTimer(), state, SettingsReload(str(path))):
            kernel.register(service)
        stopping = anyio.Event()
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kernel.run, stopping.wait, 0)
                await anyio.sleep(0.2)
                await work(state)
                stopping.set()

    anyio.run(main)


class TestReload:
    """Check settings that change while the process runs."""

    def test_sighup_applies_changed_settings(self, settings_file):
        async def work(state):
            changed = {**FIELDS, 'quota_slack': 7}
            settings_file.write_bytes(msgspec.json.encode(changed))
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: state.settings.quota_slack == 7)

        run_reload(settings_file, work)

    def test_changed_file_is_applied_without_a_signal(self, settings_file):
        async def work(state):
            changed = {**FIELDS, 'quota_slack': 8}
            settings_file.write_bytes(msgspec.json.encode(changed))
            await until(lambda: state.settings.quota_slack == 8)

        run_reload(settings_file, work)

    def test_undecodable_settings_do_not_end_the_signal_listener(self, settings_file):
        """Without its listener, the next SIGHUP would end the process."""

        async def work(state):
            settings_file.write_bytes(b'[' * 100_000)
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.02)
            changed = {**FIELDS, 'quota_slack': 9}
            settings_file.write_bytes(msgspec.json.encode(changed))
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: state.settings.quota_slack == 9)

        run_reload(settings_file, work)

    def test_unreadable_settings_change_nothing(self, settings_file):
        async def work(state):
            settings_file.write_bytes(b'{broken')
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.3)
            assert state.settings.host == 'front-1'

        run_reload(settings_file, work)

    def test_address_that_needs_a_restart_is_kept(self, settings_file):
        async def work(state):
            changed = {**FIELDS, 'callers': '127.0.0.1:9', 'quota_slack': 9}
            settings_file.write_bytes(msgspec.json.encode(changed))
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: state.settings.quota_slack == 9)
            assert str(state.settings.callers) == '127.0.0.1:8388'

        run_reload(settings_file, work)
