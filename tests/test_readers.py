"""Test the choice of the hosts that poll the store for the others."""

from cicadadoor.decisions.readers import is_reader


class TestIsReader:
    """Each failure domain has one reader, a host that the store does not refuse."""

    def test_one_of_the_hosts_reads(self):
        hosts = ['c', 'a', 'b']
        readers = [
            host
            for host in hosts
            if is_reader(
                host,
                [other for other in hosts if other != host],
                is_served=True,
            )
        ]
        assert readers == ['a']

    def test_host_that_reaches_no_other_reads(self):
        assert is_reader('c', [], is_served=True)

    def test_host_that_the_store_refuses_does_not_read(self):
        assert not is_reader('a', ['b'], is_served=False)
