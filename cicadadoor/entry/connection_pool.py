"""Keep idle connections to backend servers."""

from cicadadoor.entry.connections import BackendConnection

# Used where a server names no idle limit of its own.
DEFAULT_IDLE_S = 4.0
# Part of a server's idle limit after which a connection is not used any more.
_IDLE_MARGIN_S = 1.0


class _IdleConnection:
    __slots__ = ('connection', 'expires_s')

    def __init__(self, connection: BackendConnection, expires_s: float) -> None:
        self.connection = connection
        self.expires_s = expires_s


class ConnectionPool:
    """Keep idle connections, a list for each run of a backend server."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleConnection]] = {}

    def acquire(self, key: str, now_s: float) -> BackendConnection | None:
        """Return the connection that was used last, or None."""
        idle = self._idle.get(key, [])
        while idle:
            found = idle.pop()
            if not found.connection.is_broken and now_s < found.expires_s:
                return found.connection
            found.connection.abort()
        return None

    def release(
        self,
        key: str,
        connection: BackendConnection,
        now_s: float,
        idle_limit_s: float | None,
    ) -> None:
        """Keep a connection for the next request."""
        if connection.is_broken:
            return
        limit_s = DEFAULT_IDLE_S if idle_limit_s is None else idle_limit_s
        expires_s = now_s + max(0.0, limit_s - _IDLE_MARGIN_S)
        self._idle.setdefault(key, []).append(_IdleConnection(connection, expires_s))

    def prune(self, known: frozenset[str], now_s: float) -> None:
        """Close connections that are too old, or whose server is gone."""
        for key in list(self._idle):
            kept = []
            for idle in self._idle[key]:
                is_usable = key in known and now_s < idle.expires_s
                if is_usable and not idle.connection.is_broken:
                    kept.append(idle)
                else:
                    idle.connection.abort()
            if kept:
                self._idle[key] = kept
            else:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(frozenset(), 0)
