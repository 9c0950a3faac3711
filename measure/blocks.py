"""Measure loading of client blocks: memory, index time, and the cost of a change.

`python -m measure.blocks COUNT` measures one size; without COUNT, each size runs in its
own process, so that resident memory is that of one size.
"""

import gc
import os
import random
import subprocess
import sys
import time
import zlib
from pathlib import Path

import msgspec

from cicadadoor.config import chunks, model
from cicadadoor.config.view import SectionCache
from measure.results import Results
from tests.utils.deployments import small_deployment

_SIZES = (245_000, 490_000, 980_000)
_REGIONS = 38
_DOMAINS_PER_REGION = 3
_SEATS = 34
_BACKEND_SERVERS = 2100
_ORGANISATIONS = 200
_LOOKUPS = 200_000
_CHANGES = 20
_BLOCK_ADDRESSES = 1024
_US_PER_S = 1_000_000
_BYTES_PER_MB = 1_000_000
_SEED = 20


def measure(results: Results) -> None:
    """Measure each size in a separate process."""
    for count in _SIZES:
        finished = subprocess.run(
            [sys.executable, '-m', 'measure.blocks', str(count)],
            check=True,
            capture_output=True,
            text=True,
        )
        results.add('blocks', str(count), **msgspec.json.decode(finished.stdout))


def measure_one(count: int) -> dict[str, float]:
    """Return the figures for one number of blocks."""
    sections = _sections(count)
    raw_bytes = sum(len(content) for content in sections.values())
    packed = {name: zlib.compress(content) for name, content in sections.items()}
    packed_bytes = sum(len(content) for content in packed.values())
    digests = chunks.digests(sections)
    packed_sections = packed
    sections.clear()
    gc.collect()
    before_bytes = _resident_bytes()
    cache = SectionCache()
    contents = _DecompressingSections(packed_sections)
    started_s = time.perf_counter()
    view = cache.build(1, digests, contents)
    build_s = time.perf_counter() - started_s
    gc.collect()
    view_bytes = _resident_bytes() - before_bytes
    changed = _change_cost(cache, digests, packed_sections)
    return {
        'raw_mb': raw_bytes / _BYTES_PER_MB,
        'packed_mb': packed_bytes / _BYTES_PER_MB,
        'build_s': build_s,
        'view_mb': view_bytes / _BYTES_PER_MB,
        'resident_mb': _resident_bytes() / _BYTES_PER_MB,
        'lookup_us': _lookup_us(view),
        'blocks': len(view.blocks),
        **changed,
    }


class _DecompressingSections(dict[str, bytes]):
    """Decompress a section when it is read."""

    def __getitem__(self, name: str) -> bytes:
        return zlib.decompress(super().__getitem__(name))


def _sections(count: int) -> dict[str, bytes]:
    regions = [f'region-{number:02d}' for number in range(_REGIONS)]
    domains = {
        f'{region}-{letter}': (region, _SEATS)
        for region in regions
        for letter in 'abc'[:_DOMAINS_PER_REGION]
    }
    deployment = small_deployment(domains)
    names = list(domains)
    for number in range(_BACKEND_SERVERS):
        deployment.backend_server(
            'kursbuchung',
            f'site-{number}',
            url=f'http://192.0.2.1:{10_000 + number}',
            failure_domain=names[number % len(names)],
            slots=8,
            connections=330,
        )
    for number in range(_ORGANISATIONS):
        deployment.organisation(f'organisation-{number}', rate_per_s=100, burst=100)
    sections = chunks.split(deployment.build())
    for name in list(sections):
        if name.startswith(chunks.BLOCK_SECTION_PREFIX):
            sections.pop(name)
    sections.update(_block_sections(count, regions))
    return sections


def _block_sections(count: int, regions: list[str]) -> dict[str, bytes]:
    random_source = random.Random(_SEED)
    sections = {}
    per_section = chunks.BLOCKS_PER_SECTION
    for number, start in enumerate(range(0, count, per_section)):
        blocks = tuple(
            model.ClientBlock(
                cidr=_cidr(position),
                region=random_source.choice(regions),
            )
            for position in range(start, min(start + per_section, count))
        )
        sections[f'{chunks.BLOCK_SECTION_PREFIX}{number:04d}'] = chunks.encode(blocks)
    return sections


def _cidr(position: int) -> str:
    address = (1 << 24) + position * _BLOCK_ADDRESSES
    octets = address.to_bytes(4, 'big')
    return f'{".".join(str(octet) for octet in octets)}/22'


def _change_cost(
    cache: SectionCache,
    digests: dict[str, str],
    packed: dict[str, bytes],
) -> dict[str, float]:
    name = f'{chunks.BLOCK_SECTION_PREFIX}0003'
    blocks = list(chunks.decode(name, zlib.decompress(packed[name])))
    elapsed_s = 0.0
    delta_bytes = 0
    for number in range(_CHANGES):
        block = blocks[number]
        blocks[number] = model.ClientBlock(cidr=block.cidr, region='region-00')
        content = chunks.encode(tuple(blocks))
        delta_bytes = len(zlib.compress(content))
        changed_digests = {**digests, name: chunks.digests({name: content})[name]}
        started_s = time.perf_counter()
        cache.build(number + 2, changed_digests, {name: content})
        elapsed_s += time.perf_counter() - started_s
    return {
        'change_ms': elapsed_s / _CHANGES * 1000,
        'change_packed_bytes': delta_bytes,
    }


def _lookup_us(view) -> float:
    random_source = random.Random(_SEED)
    clients = [
        _cidr(random_source.randrange(len(view.blocks)))[:-3] for _ in range(1000)
    ]
    started_s = time.perf_counter()
    for number in range(_LOOKUPS):
        view.blocks.locate(clients[number % len(clients)])
    return (time.perf_counter() - started_s) / _LOOKUPS * _US_PER_S


def _resident_bytes() -> int:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


if __name__ == '__main__':
    if len(sys.argv) > 1:
        figures = measure_one(int(sys.argv[1]))
        sys.stdout.write(msgspec.json.encode(figures).decode())
    else:
        collected = Results()
        measure(collected)
        collected.print_table()
