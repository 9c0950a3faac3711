"""Run a daemon that connects to its peers through the relays of a test.

Run `python -m tests.utils.relayed_daemon gate|agent RELAY_IP SETTINGS_FILE`.
"""

import sys

from cicadadoor import core
from cicadadoor.agent import daemon as agent_daemon
from cicadadoor.gate import daemon as gate_daemon
from cicadadoor.links import peer_hub

_BUILDERS = {'gate': gate_daemon.build, 'agent': agent_daemon.build}


class RelayedClient(peer_hub.PeerClient):
    """Connect to this host's relay instead of to the peer."""

    relay_ip = ''

    def __init__(self, stamp, codec, address, security) -> None:
        port = address.rpartition(':')[2]
        super().__init__(stamp, codec, f'{self.relay_ip}:{port}', security)


if __name__ == '__main__':
    RelayedClient.relay_ip = sys.argv[2]
    peer_hub.PeerClient = RelayedClient
    role = sys.argv[1]
    sys.exit(core.run_daemon(f'cicadadoor-{role}', sys.argv[3:], _BUILDERS[role]))
