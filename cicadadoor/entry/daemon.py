"""Assemble and run the entry host daemon."""

import os
import sys

from cicadadoor import core
from cicadadoor.entry import settings as entry_settings
from cicadadoor.entry.admission import Admission
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.cache_reports import CacheReports
from cicadadoor.entry.directory import Directory
from cicadadoor.entry.dispatch import Dispatcher
from cicadadoor.entry.forwarding import Forwarder
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.memory_watch import MemoryWatch
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.placement import Placement
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.pressure import PressureReport
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.quotas import Quotas
from cicadadoor.entry.registration import HostRegistration
from cicadadoor.entry.reload import SettingsReload
from cicadadoor.entry.server import EntryServer
from cicadadoor.entry.settings import EntrySettings
from cicadadoor.entry.snapshot_exchange import SnapshotExchange
from cicadadoor.entry.state import EntryState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.peer_limits import PeerLimits
from cicadadoor.links.transport import PeerSecurity
from cicadadoor.memory_tuning import return_large_blocks
from cicadadoor.platform import build_source, header_codec, paths
from cicadadoor.telemetry import logs
from cicadadoor.timer import BootTimer

# A peer sends at most one snapshot request per topic at a time.
_PEER_CONTEXTS = 4
# Such a request has a topic, two numbers and an instance id. The rest is for messages
# that are malformed, which are answered with a refusal up to this length.
_PEER_REQUEST_BYTES = 16_384
# Copies are requested only while the store fails; a host that is refused asks another.
_PEER_CONNECTIONS = 256


def build(settings: EntrySettings) -> Kernel:
    """Return a kernel with the services registered in start order."""
    kernel = Kernel()
    state = EntryState(settings)
    services: tuple[Service, ...] = (
        BootTimer(),
        state,
        MemoryWatch(),
        build_source(str(settings.store), state.account),
        Mirror(),
        ActivePolicy(),
        Membership(),
        CrashWatch(),
        HostRegistration(),
        SettingsReload(settings.path),
        Backends(),
        CacheReports(),
        Quotas(),
        Forwarder(header_codec()),
        Admission(),
        Placement(),
        Dispatcher(),
        PressureReport(),
        Directory(),
    )
    for service in services:
        kernel.register(service)
    # The hub starts after the services that handle its messages.
    limits = PeerLimits(
        contexts=_PEER_CONTEXTS,
        request_bytes=_PEER_REQUEST_BYTES,
        connections=_PEER_CONNECTIONS,
    )
    hub = PeerHub(state.instance, settings.peers, PeerSecurity(), limits)
    kernel.register(SnapshotExchange(hub))
    kernel.register(hub)
    kernel.register(EntryServer(header_codec(), paths()))
    return kernel


def main() -> None:
    """Run `cicadadoor-entry SETTINGS_FILE`."""
    return_large_blocks()
    sys.exit(
        core.run_daemon(
            'cicadadoor-entry',
            sys.argv[1:],
            build,
            entry_settings.load,
            _log_to_standard_output,
            # On a busy machine, the end of the interpreter takes up to 1 s, in which
            # the platform would end the process. Log lines are written unbuffered.
            end_process=os._exit,
        )
    )


def _log_to_standard_output(level: str) -> None:
    logs.configure_bounded(level, sys.stdout.fileno())
