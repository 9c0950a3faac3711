"""Build heartbeats of hosts."""

from cicadadoor.entry.heartbeats import HostHeartbeat


def heartbeat_of(host: str, number: int = 1, **fields: object) -> HostHeartbeat:
    """Return a heartbeat of a host that has read nothing new."""
    defaults = {
        'instance': f'{host}-1',
        'is_leaving': False,
        'revisions': (1, 1, 1, 1),
        'digests': (0, 0, 0, 0),
    }
    return HostHeartbeat(host=host, number=number, **{**defaults, **fields})
