"""Adapt the platform to cicadadoor; only this package uses the platform's names."""

from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry.forwarding import HeaderCodec
from cicadadoor.entry.platform_handler import Paths
from cicadadoor.platform import headers
from cicadadoor.platform.source import PlatformSource
from cicadadoor.platform.store_client import StoreClient


def build_source(address: str, account: MemoryAccount) -> PlatformSource:
    """Return a source of records that uses the store at the address."""
    return PlatformSource(StoreClient(address, account))


def header_codec() -> HeaderCodec:
    """Return the functions that translate the platform's headers."""
    return HeaderCodec(
        read_request=headers.read_request,
        backend_headers=headers.backend_headers,
        read_response=headers.read_response,
        retry_after=headers.retry_after,
    )


def paths() -> Paths:
    """Return the URL paths that the platform requests from a host."""
    return Paths(
        directory='/v1/resolve',
        readiness='/v1/readyz',
        metrics='/metrics',
    )
