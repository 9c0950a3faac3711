"""Test how an entry host loads and reloads its settings."""

import os
import signal

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
