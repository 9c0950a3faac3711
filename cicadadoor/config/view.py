"""Build indexes of one configuration generation for look-ups."""

import hashlib
from array import array
from bisect import bisect_right
from collections.abc import Mapping

from cicadadoor.config import chunks, model
from cicadadoor.config.addresses import IPV4_BITS, parse_address, parse_block
from cicadadoor.errors import ErrorKind, Failure

# IPv6 blocks are compared by their first 64 bits. Prefixes longer than /64 are not
# steered separately.
_IPV6_HOST_BITS = 64
_HASH_BYTES = 8
_HASH_SPACE = 1 << (_HASH_BYTES * 8)
_SEED_BYTES = 16


class BlockIndex:
    """Hold the blocks of one address family as sorted typed arrays."""

    __slots__ = ('ends', 'region_numbers', 'starts')

    def __init__(self, type_code: str) -> None:
        self.starts = array(type_code)
        self.ends = array(type_code)
        self.region_numbers = array('H')

    def add(self, start: int, end: int, region_number: int) -> None:
        """Append a block; its start must be above all blocks added before."""
        self.starts.append(start)
        self.ends.append(end)
        self.region_numbers.append(region_number)

    def find(self, address: int) -> int | None:
        """Return the position of the block that contains the address, or None."""
        position = bisect_right(self.starts, address) - 1
        if position < 0 or self.ends[position] < address:
            return None
        return position


class BlockSection:
    """Hold one decoded section of client blocks."""

    __slots__ = ('ipv4', 'ipv6')

    def __init__(self) -> None:
        self.ipv4 = BlockIndex('I')
        self.ipv6 = BlockIndex('Q')

    def renumbered(self, numbers: list[int | None]) -> 'BlockSection | None':
        """Return a copy with new region numbers; None if a region was removed."""
        translated = BlockSection()
        for old, new in ((self.ipv4, translated.ipv4), (self.ipv6, translated.ipv6)):
            new.starts = old.starts
            new.ends = old.ends
            for number in old.region_numbers:
                new_number = numbers[number]
                if new_number is None:
                    return None
                new.region_numbers.append(new_number)
        return translated


class BlockIndexes:
    """Look up a block in the sections of one address family, ordered by address."""

    __slots__ = ('_firsts', '_indexes')

    def __init__(self, indexes: list[BlockIndex]) -> None:
        self._indexes = [index for index in indexes if index.starts]
        self._firsts = [index.starts[0] for index in self._indexes]

    def __len__(self) -> int:
        return sum(len(index.starts) for index in self._indexes)

    def find(self, address: int) -> 'tuple[int, int] | None':
        """Return the block's start and region number, or None if not covered."""
        number = bisect_right(self._firsts, address) - 1
        if number < 0:
            return None
        index = self._indexes[number]
        position = index.find(address)
        if position is None:
            return None
        return index.starts[position], index.region_numbers[position]


class ClientBlocks:
    """Look up the home region and hash point of a client address."""

    __slots__ = ('_ipv4', '_ipv6', '_regions')

    def __init__(self, regions: list[str], sections: list[BlockSection]) -> None:
        self._regions = regions
        self._ipv4 = BlockIndexes([section.ipv4 for section in sections])
        self._ipv6 = BlockIndexes([section.ipv6 for section in sections])

    def __len__(self) -> int:
        return len(self._ipv4) + len(self._ipv6)

    def locate(self, client_ip: str) -> 'tuple[str, float] | None':
        """Return home region and hash point in [0, 1), or None if not covered.

        Raise ValueError if `client_ip` is not an IP address.
        """
        address = parse_address(client_ip)
        if address.bits == IPV4_BITS:
            found = self._ipv4.find(address.first)
        else:
            found = self._ipv6.find(address.first >> _IPV6_HOST_BITS)
        if found is None:
            return None
        start, region_number = found
        return self._regions[region_number], hash_point(start)


class ConfigView:
    """Hold one generation in the form that the data path reads."""

    __slots__ = (
        'blocks',
        'digest',
        'failure_domains',
        'floor_fraction',
        'generation',
        'key_owners',
        'links',
        'organisations',
        'regions',
        'seat_count',
        'services',
        'steering',
        'weights',
    )

    def __init__(
        self,
        generation: int,
        digest: str,
        parts: dict[str, object],
        blocks: ClientBlocks,
    ) -> None:
        topology: model.Topology = parts['topology']
        limits: model.OrganisationLimits = parts['organisations']
        services: tuple[model.Service, ...] = parts['services']
        keys: tuple[model.KeyRecord, ...] = parts['keys']
        weights: model.Weights = parts['weights']
        self.generation = generation
        self.digest = digest
        self.blocks = blocks
        self.regions = [region.name for region in topology.regions]
        self.failure_domains = {
            domain.name: domain for domain in topology.failure_domains
        }
        self.seat_count = sum(domain.seats for domain in topology.failure_domains)
        self.links = {(link.source, link.target): link for link in topology.links}
        self.services = {service.name: service for service in services}
        self.organisations = {
            organisation.name: organisation for organisation in limits.organisations
        }
        self.floor_fraction = limits.floor_fraction
        self.key_owners = {record.key_hash: record.organisation for record in keys}
        self.weights = weights
        self.steering = {
            (rule.service, rule.home_region): rule.weights for rule in weights.rules
        }

    def steer(self, service: str, client_ip: str) -> list[str]:
        """Return all regions for a client: the chosen one, then the others by delay.

        Raise ValueError if `client_ip` is not an IP address.
        """
        located = self.blocks.locate(client_ip)
        if located is None:
            home_region = self.regions[0]
            point = hash_point(parse_address(client_ip).first)
        else:
            home_region, point = located
        chosen = self._choose(service, home_region, point)
        others = [region for region in self.regions if region != chosen]
        others.sort(key=lambda region: self._delay_us(chosen, region))
        return [chosen, *others]

    def _choose(self, service: str, home_region: str, point: float) -> str:
        total = 0.0
        weights = self.steering.get((service, home_region), ())
        for entry in weights:
            total += entry.weight
            if point < total:
                return entry.region
        return home_region

    def _delay_us(self, source: str, target: str) -> int:
        link = self.links.get((source, target))
        return link.delay_us if link else 0


class SectionCache:
    """Build views; decode each section only when it changes."""

    __slots__ = ('_blocks', '_block_regions', '_decoded', '_digests')

    def __init__(self) -> None:
        self._decoded: dict[str, object] = {}
        self._blocks: dict[str, BlockSection] = {}
        self._digests: dict[str, str] = {}
        self._block_regions: list[str] = []

    def build(
        self,
        generation: int,
        section_digests: dict[str, str],
        contents: Mapping[str, bytes],
    ) -> ConfigView | Failure:
        """Build a view; `contents` must include each changed section.

        A failure leaves the cache unchanged.
        """
        updated = SectionCache()
        updated._decoded = dict(self._decoded)
        updated._blocks = dict(self._blocks)
        updated._digests = dict(self._digests)
        updated._block_regions = self._block_regions
        view = updated._update(generation, section_digests, contents)
        if isinstance(view, ConfigView):
            self._decoded = updated._decoded
            self._blocks = updated._blocks
            self._digests = updated._digests
            self._block_regions = updated._block_regions
        return view

    def _update(
        self,
        generation: int,
        section_digests: dict[str, str],
        contents: Mapping[str, bytes],
    ) -> ConfigView | Failure:
        missing = chunks.check_required_sections(section_digests)
        if missing is not None:
            return missing
        for name, digest in section_digests.items():
            if name.startswith(chunks.BLOCK_SECTION_PREFIX):
                continue
            if self._digests.get(name) != digest:
                part = _decode_part(name, contents)
                if isinstance(part, Failure):
                    return part
                self._decoded[name] = part
                self._digests[name] = digest
        topology: model.Topology = self._decoded['topology']
        regions = [region.name for region in topology.regions]
        failure = self._decode_blocks(regions, section_digests, contents)
        if failure is not None:
            return failure
        names = sorted(self._blocks)
        return ConfigView(
            generation,
            chunks.digest_sections(section_digests),
            dict(self._decoded),
            ClientBlocks(regions, [self._blocks[name] for name in names]),
        )

    def _decode_blocks(
        self,
        regions: list[str],
        section_digests: dict[str, str],
        contents: Mapping[str, bytes],
    ) -> Failure | None:
        failure = self._renumber(regions, section_digests)
        if failure is not None:
            return failure
        for removed in set(self._blocks) - set(section_digests):
            self._blocks.pop(removed)
        for name, digest in section_digests.items():
            if not name.startswith(chunks.BLOCK_SECTION_PREFIX):
                continue
            if name in self._blocks and self._digests.get(name) == digest:
                continue
            part = _decode_part(name, contents)
            if isinstance(part, Failure):
                return part
            section = index_blocks(part, regions)
            if isinstance(section, Failure):
                return section
            self._blocks[name] = section
            self._digests[name] = digest
        return None

    def _renumber(
        self,
        regions: list[str],
        section_digests: dict[str, str],
    ) -> Failure | None:
        # The content of unchanged sections is not kept and cannot be decoded again, so
        # their region numbers are translated when the list of regions changes.
        if regions == self._block_regions:
            return None
        numbers = {name: number for number, name in enumerate(regions)}
        translated = [numbers.get(name) for name in self._block_regions]
        kept: dict[str, BlockSection] = {}
        for name, section in self._blocks.items():
            if section_digests.get(name) != self._digests.get(name):
                continue
            renumbered = section.renumbered(translated)
            if renumbered is None:
                return Failure(
                    ErrorKind.CONFIG_INVALID,
                    f'section {name!r} has blocks of a region that was removed',
                )
            kept[name] = renumbered
        self._blocks = kept
        self._block_regions = regions
        return None


def _decode_part(name: str, contents: Mapping[str, bytes]) -> object:
    if name not in contents:
        return Failure(
            ErrorKind.CONFIG_INVALID,
            f'section {name!r} changed, but its content is missing',
        )
    return chunks.decode(name, contents[name])


def index_blocks(
    blocks: tuple[model.ClientBlock, ...],
    regions: list[str],
) -> BlockSection | Failure:
    """Return client blocks as typed arrays, or CONFIG_INVALID."""
    numbers = {name: number for number, name in enumerate(regions)}
    section = BlockSection()
    for block in blocks:
        number = numbers.get(block.region)
        if number is None:
            return Failure(
                ErrorKind.CONFIG_INVALID,
                f'client block {block.cidr!r}: region {block.region!r} does not exist',
            )
        try:
            addresses = parse_block(block.cidr)
        except ValueError as error:
            return Failure(ErrorKind.CONFIG_INVALID, f'client block: {error}')
        if addresses.bits == IPV4_BITS:
            section.ipv4.add(addresses.first, addresses.last, number)
        else:
            first = addresses.first >> _IPV6_HOST_BITS
            section.ipv6.add(first, addresses.last >> _IPV6_HOST_BITS, number)
    return section


def hash_point(number: int) -> float:
    """Hash the start of a block to a point in [0, 1)."""
    seed = number.to_bytes(_SEED_BYTES, 'big')
    hashed = hashlib.blake2b(seed, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(hashed, 'big') / _HASH_SPACE
