"""Check addresses against the standard library's parser."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.config.addresses import parse_address, parse_block


class TestParseAddress:
    """Guard against a client steered by a misread address."""

    @settings(derandomize=True, max_examples=200)
    @given(st.ip_addresses())
    def test_agrees_with_the_standard_library(self, address):
        """Both address families have to give the same number."""
        parsed = parse_address(str(address))
        assert parsed.first == int(address)
        assert parsed.bits == address.max_prefixlen

    @pytest.mark.parametrize('text', ['', '1.2.3', '256.1.1.1', 'x', '1.2.3.4 ', 'é'])
    def test_refuses_other_text(self, text):
        """A look-up with such text has to be refused."""
        with pytest.raises(ValueError):
            parse_address(text)


class TestParseBlock:
    """Guard against blocks that cover other clients than the operator wrote."""

    @settings(derandomize=True, max_examples=200)
    @given(st.ip_addresses(), st.integers(0, 128))
    def test_agrees_with_the_standard_library(self, address, prefix):
        """First and last address decide which clients a block covers."""
        prefix = min(prefix, address.max_prefixlen)
        network = ipaddress.ip_network((address, prefix), strict=False)
        parsed = parse_block(str(network))
        assert parsed.first == int(network.network_address)
        assert parsed.last == int(network.broadcast_address)

    @pytest.mark.parametrize('cidr', ['10.0.0.1/8', '10.0.0.0/33', '10.0.0.0/x', '/8'])
    def test_refuses_malformed_blocks(self, cidr):
        """Host bits or a bad prefix are mistakes that an operator has to see."""
        with pytest.raises(ValueError):
            parse_block(cidr)
