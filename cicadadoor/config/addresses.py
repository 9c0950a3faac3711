"""Parse IP addresses and CIDR blocks into ranges of integers."""

import socket

IPV4_BITS = 32
IPV6_BITS = 128


class AddressRange:
    """Hold the first and last address of a block as integers."""

    __slots__ = ('bits', 'first', 'last')

    def __init__(self, bits: int, first: int, last: int) -> None:
        self.bits = bits
        self.first = first
        self.last = last


def parse_address(text: str) -> AddressRange:
    """Return the range of one address; raise ValueError if it is not an IP address.

    Each look-up parses an address. The `ipaddress` module would add 5 us to it.
    """
    for family, bits in ((socket.AF_INET, IPV4_BITS), (socket.AF_INET6, IPV6_BITS)):
        try:
            packed = socket.inet_pton(family, text)
        except (OSError, ValueError):
            continue
        number = int.from_bytes(packed, 'big')
        return AddressRange(bits, number, number)
    raise ValueError(f'{text!r} is not an IP address')


def parse_block(cidr: str) -> AddressRange:
    """Return the range of a CIDR block; raise ValueError if it is malformed."""
    text, separator, prefix = cidr.partition('/')
    block = parse_address(text)
    if not separator:
        return block
    host_bits = block.bits - _parse_prefix(cidr, prefix, block.bits)
    host_mask = (1 << host_bits) - 1
    if block.first & host_mask:
        raise ValueError(
            f'{cidr!r} has host bits set; use the first address of the block'
        )
    block.last = block.first | host_mask
    return block


def _parse_prefix(cidr: str, prefix: str, bits: int) -> int:
    if not prefix.isdecimal() or int(prefix) > bits:
        raise ValueError(f'{cidr!r}: the prefix length must be from 0 to {bits}')
    return int(prefix)
