"""Set options of outgoing connections."""

import socket

# A peer that lost power or is cut off answers nothing. Two probes a second apart
# after a second of silence find it in about 3 s, the shortest time that every rule
# leaves (`stability_ms`).
_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3000

KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)
