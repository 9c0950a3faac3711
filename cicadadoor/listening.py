"""Open listening sockets."""

import socket

from cicadadoor.errors import AddressInUseError

BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Listen on an address.

    Raise AddressInUseError if another process uses the address.
    """
    host_ip, _, port = address.rpartition(':')
    host_ip = host_ip.strip('[]')
    family = socket.AF_INET6 if ':' in host_ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        listener.bind((host_ip, int(port)))
    except OSError as error:
        listener.close()
        raise AddressInUseError(address) from error
    listener.listen(BACKLOG)
    return listener
