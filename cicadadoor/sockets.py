"""Set options of outgoing connections."""

import socket

# A peer that lost power or is cut off answers nothing. Two probes a second apart
# after a second of silence find it in about 3 s, the shortest time that every rule
# leaves (`stability_ms`).
_PROBE_AFTER_S = 1
_PROBE_EVERY_S = 1
_PROBES = 2
_UNSENT_LIMIT_MS = 3000

KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNSENT_LIMIT_MS),
)
