"""Validate a configuration across its sections."""

import ipaddress
import math
from collections.abc import Iterable, Iterator

from cicadadoor.config import chunks, model
from cicadadoor.object_store.base import MAX_OBJECT_BYTES
from cicadadoor.settings import parse_name

_WEIGHT_TOLERANCE = 1e-9


def find_errors(configuration: model.Configuration) -> list[str]:
    """Return one line per validation error, or an empty list."""
    return [
        *_format_errors(configuration),
        *_name_errors(configuration),
        *_topology_errors(configuration.topology),
        *_service_errors(configuration),
        *_limit_errors(configuration.limits),
        *_key_errors(configuration),
        *_weight_errors(configuration),
        *_block_errors(configuration),
        *_size_errors(configuration),
    ]


def _format_errors(configuration: model.Configuration) -> Iterator[str]:
    if configuration.format != model.FORMAT_VERSION:
        yield (
            f'format: {configuration.format} is not supported; '
            f'use {model.FORMAT_VERSION}'
        )


def _name_errors(configuration: model.Configuration) -> Iterator[str]:
    topology = configuration.topology
    yield from _entry_name_errors('region', topology.regions)
    yield from _entry_name_errors('failure domain', topology.failure_domains)
    yield from _entry_name_errors('service', configuration.services)
    yield from _entry_name_errors('organisation', configuration.limits.organisations)
    for service in configuration.services:
        yield from _entry_name_errors('backend server', service.backend_servers)


def _entry_name_errors(
    what: str, parts: Iterable['model.Region | model.Service']
) -> Iterator[str]:
    seen: set[str] = set()
    for part in parts:
        if parse_name(part.name) is None:
            yield (
                f'{what}: name {part.name!r} is invalid; use at most 63 lower-case '
                'letters, digits and hyphens'
            )
        if part.name in seen:
            yield f'{what}: name {part.name!r} is used more than once'
        seen.add(part.name)


def _topology_errors(topology: model.Topology) -> Iterator[str]:
    regions = {region.name for region in topology.regions}
    if not regions:
        yield 'topology: no region is defined; add at least one'
    for domain in topology.failure_domains:
        if domain.region not in regions:
            yield (
                f'failure domain {domain.name!r}: region {domain.region!r} '
                'does not exist'
            )
        if domain.seats < 1:
            yield (
                f'failure domain {domain.name!r}: seats {domain.seats} is too low; '
                'use at least 1'
            )
    for link in topology.links:
        for end in (link.source, link.target):
            if end not in regions:
                yield (
                    f'link {link.source} to {link.target}: region {end!r} '
                    'does not exist'
                )
        if link.capacity_bytes_per_s <= 0:
            yield (
                f'link {link.source} to {link.target}: capacity_bytes_per_s '
                f'{link.capacity_bytes_per_s} must be above 0'
            )


def _service_errors(configuration: model.Configuration) -> Iterator[str]:
    domains = {domain.name for domain in configuration.topology.failure_domains}
    for service in configuration.services:
        if service.deadline_ms <= 0:
            yield (
                f'service {service.name!r}: deadline_ms {service.deadline_ms} '
                'must be above 0'
            )
        for server in service.backend_servers:
            yield from _server_errors(server, domains)


def _server_errors(server: model.BackendServer, domains: set[str]) -> Iterator[str]:
    label = f'backend server {server.name!r}'
    if server.failure_domain not in domains:
        yield f'{label}: failure domain {server.failure_domain!r} does not exist'
    if server.slots < 1 or server.connections < server.slots:
        yield (
            f'{label}: slots {server.slots} and connections {server.connections} '
            'are invalid; use at least 1 slot and as many or more connections'
        )
    if not server.url.startswith(('http://', 'https://')):
        yield f'{label}: url {server.url!r} must start with http:// or https://'


def _limit_errors(limits: model.OrganisationLimits) -> Iterator[str]:
    if not 0 <= limits.floor_fraction <= 1:
        yield f'floor_fraction: {limits.floor_fraction} must be from 0 to 1'
    for organisation in limits.organisations:
        if organisation.rate_per_s <= 0 or organisation.burst < 1:
            yield (
                f'organisation {organisation.name!r}: rate_per_s '
                f'{organisation.rate_per_s} must be above 0 and burst '
                f'{organisation.burst} at least 1'
            )


def _key_errors(configuration: model.Configuration) -> Iterator[str]:
    names = {organisation.name for organisation in configuration.limits.organisations}
    for record in configuration.keys:
        if record.organisation not in names:
            yield (
                f'key {record.key_hash[:8]}: organisation '
                f'{record.organisation!r} does not exist'
            )


def _weight_errors(configuration: model.Configuration) -> Iterator[str]:
    regions = {region.name for region in configuration.topology.regions}
    services = {service.name for service in configuration.services}
    for rule in configuration.weights.rules:
        label = f'weights of {rule.service!r} for {rule.home_region!r}'
        if rule.service not in services:
            yield f'{label}: service {rule.service!r} does not exist'
        if rule.home_region not in regions:
            yield f'{label}: home region {rule.home_region!r} does not exist'
        total = sum(entry.weight for entry in rule.weights)
        if not math.isclose(total, 1, abs_tol=_WEIGHT_TOLERANCE):
            yield f'{label}: the weights add up to {total}; they must add up to 1'
        for entry in rule.weights:
            if entry.region not in regions or entry.weight < 0:
                yield (
                    f'{label}: {entry.region!r} with weight {entry.weight} is invalid; '
                    'use an existing region and a weight of 0 or more'
                )


def _block_errors(configuration: model.Configuration) -> Iterator[str]:
    regions = {region.name for region in configuration.topology.regions}
    previous_end = {4: -1, 6: -1}
    for block in configuration.client_blocks:
        try:
            network = ipaddress.ip_network(block.cidr)
        except ValueError as error:
            yield f'client block {block.cidr!r}: {error}'
            continue
        if block.region not in regions:
            yield (
                f'client block {block.cidr!r}: region {block.region!r} does not exist'
            )
        if int(network.network_address) <= previous_end[network.version]:
            yield (
                f'client block {block.cidr!r}: overlaps the block before it or is out '
                'of order; sort the blocks by address'
            )
        previous_end[network.version] = int(network.broadcast_address)


def _size_errors(configuration: model.Configuration) -> Iterator[str]:
    for name, content in chunks.split(configuration).items():
        if len(content) > MAX_OBJECT_BYTES:
            yield (
                f'section {name!r} has {len(content)} bytes; the platform stores '
                f'at most {MAX_OBJECT_BYTES} per object'
            )
