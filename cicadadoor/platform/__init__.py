"""Translate between the platform and cicadadoor; nothing else knows its names."""

from cicadadoor.entry.forwarding import HeaderCodec
from cicadadoor.entry.server import Paths
from cicadadoor.platform import headers
from cicadadoor.platform.source import PlatformSource
from cicadadoor.platform.store_client import StoreClient


def build_source(address: str) -> PlatformSource:
    """Return the source of records at the store's address."""
    return PlatformSource(StoreClient(address))


def dialect() -> HeaderCodec:
    """Return how the platform's clients and workers spell headers."""
    return HeaderCodec(
        read_request=headers.read_request,
        backend_headers=headers.backend_headers,
        read_answer=headers.read_answer,
        retry_after=headers.retry_after,
    )


def paths() -> Paths:
    """Return the paths at which the platform calls a host."""
    return Paths(
        directory='/v1/resolve',
        readiness='/v1/readyz',
        metrics='/metrics',
    )
