"""Pool idle connections to backend servers."""

from cicadadoor.entry.connections import BackendConnection

# Idle time for servers that announce no limit in a Keep-Alive header.
DEFAULT_IDLE_S = 4.0
# A connection expires this long before the server's idle limit, so that no request is
# sent on a connection that the server is closing.
_IDLE_MARGIN_S = 1.0


class _IdleConnection:
    __slots__ = ('connection', 'expires_s')

    def __init__(self, connection: BackendConnection, expires_s: float) -> None:
        self.connection = connection
        self.expires_s = expires_s


class ConnectionPool:
    """Hold idle connections in one list per run of a backend server."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleConnection]] = {}

    def acquire(self, key: str, now_s: float) -> BackendConnection | None:
        """Return the most recently used connection, or None."""
        idle = self._idle.get(key, [])
        while idle:
            found = idle.pop()
            if not found.connection.is_broken and now_s < found.expires_s:
                return found.connection
            found.connection.close_idle()
        return None

    def release(
        self,
        key: str,
        connection: BackendConnection,
        now_s: float,
        idle_limit_s: float | None,
    ) -> None:
        """Return a connection to the pool."""
        if connection.is_broken:
            return
        limit_s = DEFAULT_IDLE_S if idle_limit_s is None else idle_limit_s
        expires_s = now_s + max(0.0, limit_s - _IDLE_MARGIN_S)
        self._idle.setdefault(key, []).append(_IdleConnection(connection, expires_s))

    def prune(self, known: frozenset[str], now_s: float) -> None:
        """Close connections that have expired or whose server is gone."""
        for key in list(self._idle):
            kept = []
            for idle in self._idle[key]:
                is_usable = key in known and now_s < idle.expires_s
                if is_usable and not idle.connection.is_broken:
                    kept.append(idle)
                else:
                    idle.connection.close_idle()
            if kept:
                self._idle[key] = kept
            else:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(frozenset(), 0)
