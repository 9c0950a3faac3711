"""Apply changed settings without a restart."""

import asyncio
import signal
from pathlib import Path

from cicadadoor.entry import settings as entry_settings
from cicadadoor.entry.settings import EntrySettings
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('reload')

# The file is also checked periodically, since it may change without a signal.
_CHECK_INTERVAL_S = 2.0
# Used only at the start, to open sockets and to register the host; a change needs a
# restart.
_RESTART_FIELDS = (
    'callers',
    'directory',
    'failure_domain',
    'host',
    'log_level',
    'metrics',
    'peers',
    'readiness',
    'region',
    'store',
)


class SettingsReload(Service):
    """Reload the settings file on SIGHUP and when its content has changed."""

    name = 'reload'

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._state: EntryState
        self._timer: TimerService
        self._content = b''

    async def start(self, kernel: Kernel) -> None:
        """Handle the signal, and check the file periodically."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._content = self._read() or b''
        kernel.spawn(self._listen, on_fault=OnFault.RESTART)
        self._timer.subscribe('check_settings', _CHECK_INTERVAL_S, self._check)

    async def _listen(self) -> None:
        asked = asyncio.Event()
        loop = asyncio.get_running_loop()

        def ask(*_: object) -> None:
            loop.call_soon_threadsafe(asked.set)

        signal.signal(signal.SIGHUP, ask)
        try:
            while True:
                await asked.wait()
                asked.clear()
                log.info('reload_asked', path=self._path)
                await self._check()
        finally:
            # A signal receiver of the event loop would restore the default action, with
            # which a SIGHUP ends the process while it exits.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def _check(self) -> None:
        content = self._read()
        if content is None or content == self._content:
            return
        self._content = content
        try:
            loaded = entry_settings.load(str(self._path))
        except Exception:
            # An exception here would end the signal listener; without it, the next
            # SIGHUP would end the process.
            log.exception('settings_kept', path=self._path)
            return
        if isinstance(loaded, Failure):
            log.warning('settings_kept', reason=loaded.reason)
            return
        self._apply(loaded)

    def _read(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            log.warning('settings_unreadable', path=self._path, error=error)
            return None

    def _apply(self, loaded: EntrySettings) -> None:
        current = self._state.settings
        fixed = [
            name
            for name in _RESTART_FIELDS
            if str(getattr(loaded, name)) != str(getattr(current, name))
        ]
        for name in fixed:
            setattr(loaded, name, getattr(current, name))
        self._state.settings = loaded
        log.info('settings_taken', need_restart=','.join(fixed) or '-')
