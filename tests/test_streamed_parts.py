"""Test the parts in which a gate sends a streamed response to another gate."""

import tracemalloc

import anyio

from cicadadoor.gate.forward_server import PART_BYTES
from cicadadoor.gate.streams import read_part


class TestParts:
    """Guard against small chunks that take many times their length in memory."""

    def test_part_of_small_chunks_takes_little_more_than_its_bytes(self):
        async def chunks():
            for number in range(PART_BYTES // 2):
                yield number.to_bytes(4)[-2:]

        async def read() -> int:
            tracemalloc.start()
            part = await read_part(chunks(), PART_BYTES)
            assert len(part) == PART_BYTES
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return peak_bytes

        assert anyio.run(read) < 4 * PART_BYTES
