"""Relay TCP connections between two parties, with faults."""

import asyncio
import enum
import socket
import struct
from contextlib import suppress

_CHUNK_BYTES = 65_536
_HOLD_POLL_S = 0.05


@enum.unique
class RelayFault(enum.Enum):
    """Name a fault of all connections of a relay."""

    NONE = 'none'
    DELAY = 'delay'
    # Bytes in one direction are held back; the other direction works.
    CUT_FORWARD = 'cut_forward'
    CUT_BACK = 'cut_back'
    SILENCE = 'silence'
    # Open and new connections are reset.
    RESET = 'reset'


_HELD_FORWARD = frozenset((RelayFault.CUT_FORWARD, RelayFault.SILENCE))
_HELD_BACK = frozenset((RelayFault.CUT_BACK, RelayFault.SILENCE))


class Relay:
    """Accept connections at one address and forward them to another."""

    def __init__(self, target: str) -> None:
        self.address = ''
        self.fault = RelayFault.NONE
        self.delay_s = 0.3
        self._target_ip, _, port = target.rpartition(':')
        self._target_port = int(port)
        # A target that crashed twice at once is also restarted twice at once.
        self._restarting = asyncio.Lock()
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        await self._listen(0)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._reset_all()

    def crash(self) -> None:
        """Refuse and reset connections, as after a crash of the target."""
        self.stop()

    async def restart(self) -> None:
        """Listen again at the same address."""
        async with self._restarting:
            if not self._server.is_serving():
                await self._listen(int(self.address.rpartition(':')[2]))

    def set_fault(self, fault: RelayFault) -> None:
        """Start a fault; RelayFault.NONE ends it."""
        self.fault = fault
        if fault is RelayFault.RESET:
            self._reset_all()

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', port)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.fault is RelayFault.RESET:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target_ip,
                self._target_port,
            )
        except OSError:
            _reset(writer)
            return
        self._writers.update((writer, target_writer))
        await asyncio.gather(
            self._pump(reader, target_writer, _HELD_FORWARD),
            self._pump(target_reader, writer, _HELD_BACK),
        )
        self._writers.difference_update((writer, target_writer))

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: frozenset[RelayFault],
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.fault is RelayFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                while self.fault in held:
                    await asyncio.sleep(_HOLD_POLL_S)
                if reader.exception() is not None:
                    # Held bytes are lost if their sender resets the connection.
                    _reset(writer)
                    return
                writer.write(chunk)
                await writer.drain()
        writer.close()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw_socket = writer.get_extra_info('socket')
    with suppress(OSError):
        raw_socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            struct.pack('ii', 1, 0),
        )
    writer.transport.abort()
