"""Relay connections between hosts, and simulate network partitions.

Each source has its own loopback address: source number 3 reaches port P of any host or
of the platform at 127.0.3.1:P. During a partition, data in both directions is held
back; it is delivered late when the partition ends.
"""

import asyncio
import threading
from collections.abc import Iterable
from contextlib import suppress

_CHUNK_BYTES = 65_536
_LOOP_TIMEOUT_S = 10.0

Pair = frozenset[str]


def source_ip(number: int) -> str:
    """Return the loopback address on which the relays of a source listen."""
    return f'127.0.{number}.1'


class Network:
    """Run all relays on an event loop in one thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._cut: set[Pair] = set()
        self._link_open: dict[Pair, asyncio.Event] = {}
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def relay(self, source: str, number: int, target: str, port: int) -> None:
        """Start the relay from a source to a port of the target."""
        pair = frozenset((source, target))

        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._connect(pair, port, reader, writer)

        starting = asyncio.run_coroutine_threadsafe(
            asyncio.start_server(accept, source_ip(number), port),
            self._loop,
        )
        starting.result(_LOOP_TIMEOUT_S)

    def cut(self, group: Iterable[str], others: Iterable[str]) -> None:
        """Partition the two groups from each other."""
        others = list(others)
        for name in group:
            self._cut.update(frozenset((name, other)) for other in others)
        self._apply()

    def heal(self) -> None:
        """End all partitions."""
        self._cut.clear()
        self._apply()

    def close(self) -> None:
        """End all relays."""

        async def end_tasks() -> None:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        ending = asyncio.run_coroutine_threadsafe(end_tasks(), self._loop)
        ending.result(_LOOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _apply(self) -> None:
        async def apply() -> None:
            for pair, is_open in self._link_open.items():
                if pair in self._cut:
                    is_open.clear()
                else:
                    is_open.set()

        asyncio.run_coroutine_threadsafe(apply(), self._loop).result(_LOOP_TIMEOUT_S)

    async def _connect(
        self,
        pair: Pair,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_open = self._link_open.setdefault(pair, asyncio.Event())
        if pair not in self._cut:
            is_open.set()
        await is_open.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            _pump(reader, target_writer, is_open),
            _pump(target_reader, writer, is_open),
        )


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    is_open: asyncio.Event,
) -> None:
    with suppress(OSError):
        while chunk := await reader.read(_CHUNK_BYTES):
            await is_open.wait()
            writer.write(chunk)
            await writer.drain()
    await is_open.wait()
    writer.close()
