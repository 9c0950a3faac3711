"""Test the address parser against the standard library."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.config.addresses import parse_address, parse_block


class TestParseAddress:
    """A misparsed address would steer a client to the wrong region."""

    @settings(derandomize=True, max_examples=200)
    @given(st.ip_addresses())
    def test_agrees_with_the_standard_library(self, address):
        """Check the number and the bits of IPv4 and IPv6 addresses."""
        parsed = parse_address(str(address))
        assert parsed.first == int(address)
        assert parsed.bits == address.max_prefixlen

    @pytest.mark.parametrize('text', ['', '1.2.3', '256.1.1.1', 'x', '1.2.3.4 ', 'é'])
    def test_refuses_other_text(self, text):
        """Text that is not an IP address raises ValueError."""
        with pytest.raises(ValueError):
            parse_address(text)


class TestParseBlock:
    """A misparsed block would cover other clients than the operator wrote."""

    @settings(derandomize=True, max_examples=200)
    @given(st.ip_addresses(), st.integers(0, 128))
    def test_agrees_with_the_standard_library(self, address, prefix):
        """Check the first and last address of IPv4 and IPv6 blocks."""
        prefix = min(prefix, address.max_prefixlen)
        network = ipaddress.ip_network((address, prefix), strict=False)
        parsed = parse_block(str(network))
        assert parsed.first == int(network.network_address)
        assert parsed.last == int(network.broadcast_address)

    @pytest.mark.parametrize('cidr', ['10.0.0.1/8', '10.0.0.0/33', '10.0.0.0/x', '/8'])
    def test_refuses_malformed_blocks(self, cidr):
        """Host bits and invalid prefix lengths raise ValueError."""
        with pytest.raises(ValueError):
            parse_block(cidr)
