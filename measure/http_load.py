"""Send requests over kept-alive connections and measure latency."""

import time

import anyio
from anyio.abc import SocketStream
from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 60_000_000
_RECEIVE_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_US_PER_S = 1_000_000


class LoadResult:
    """Hold the request rate and latencies of one run."""

    __slots__ = ('answers', 'elapsed_s', 'failures', 'histogram')

    def __init__(self) -> None:
        self.answers = 0
        self.failures = 0
        self.elapsed_s = 0.0
        self.histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)

    @property
    def rate_per_s(self) -> float:
        """Return the answers per second."""
        return self.answers / self.elapsed_s

    def figures(self) -> dict[str, float]:
        """Return rate and latency percentiles in us."""
        return {
            'rate_per_s': self.rate_per_s,
            'p50_us': self.histogram.get_value_at_percentile(50),
            'p99_us': self.histogram.get_value_at_percentile(99),
            'p999_us': self.histogram.get_value_at_percentile(99.9),
            'failures': self.failures,
        }


async def run_load(
    address: str,
    request: bytes,
    *,
    connections: int,
    requests: int,
) -> LoadResult:
    """Send `requests` requests in total, one at a time per connection."""
    result = LoadResult()
    remaining = [requests]
    started_s = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(_send_requests, address, request, remaining, result)
    result.elapsed_s = time.perf_counter() - started_s
    return result


async def _send_requests(
    address: str,
    request: bytes,
    remaining: list[int],
    result: LoadResult,
) -> None:
    host_ip, _, port = address.rpartition(':')
    async with await anyio.connect_tcp(host_ip, int(port)) as stream:
        while remaining[0] > 0:
            remaining[0] -= 1
            started_s = time.perf_counter()
            await stream.send(request)
            status = await _read_answer(stream)
            took_s = time.perf_counter() - started_s
            result.histogram.record_value(int(took_s * _US_PER_S))
            result.answers += 1
            if status != b'200':
                result.failures += 1


async def _read_answer(stream: SocketStream) -> bytes:
    received = b''
    while _HEAD_END not in received:
        received += await stream.receive(_RECEIVE_BYTES)
    head, _, body = received.partition(_HEAD_END)
    length = 0
    for line in head.split(b'\r\n')[1:]:
        name, _, content = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(content)
    while len(body) < length:
        body += await stream.receive(_RECEIVE_BYTES)
    return head.split(b' ', 2)[1]
