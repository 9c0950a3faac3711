"""Define the socket options of outgoing connections."""

import socket
import struct

# A peer that lost power or its network link sends nothing. Two probes 1 s apart, after
# 1 s of silence, detect it within about 3 s, the shortest time that all rules allow
# (`stability_ms`).
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

# Settings of SO_LINGER: whether it is active, and the seconds. With 0 seconds, closing
# the socket discards the bytes that the peer has not acknowledged and sends a reset.
CLOSE_WITH_RESET = struct.pack('ii', 1, 0)
CLOSE_GRACEFULLY = struct.pack('ii', 0, 0)
