"""Test that concurrent test runs use different ports."""

import random
import socket
import subprocess

import pytest

from tests.utils import processes
from tests.utils.cluster import Cluster
from tests.utils.processes import NoFreePortError, Ports, python_module

_FEW_PORTS = 8
_TAKE_ALL_PORTS = """
import sys
from tests.utils import processes

processes._PORT_RANGE = (int(sys.argv[1]), int(sys.argv[2]))
ports = []
while True:
    try:
        ports.append(processes.Ports.free())
    except processes.NoFreePortError:
        break
print(*ports, flush=True)
sys.stdin.read()
"""


class TestPorts:
    """Guard against two test runs that use the same ports."""

    def test_port_of_another_run_is_not_used(self, monkeypatch):
        """A port stays reserved for its run even while nothing listens on it."""
        first = Ports.free() + 1
        end = first + _FEW_PORTS
        command = python_module('tests.utils.processes')[:1]
        other = subprocess.Popen(
            [*command, '-c', _TAKE_ALL_PORTS, str(first), str(end)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        taken = {int(port) for port in other.stdout.readline().split()}
        assert taken
        monkeypatch.setattr(processes, '_PORT_RANGE', (first, end))
        with pytest.raises(NoFreePortError):
            Ports.free()
        other.communicate('')
        assert Ports.free() in range(first, end)

    def test_order_does_not_depend_on_the_seed_of_a_test(self):
        """Runs with the same fixed seed would otherwise choose the same ports."""
        random.seed(0)
        first = [Ports.free() for _ in range(8)]
        random.seed(0)
        expected = [random.randrange(*processes._PORT_RANGE) for _ in range(8)]
        assert first != expected

    def test_stand_in_whose_port_is_taken_fails_with_its_log(
        self,
        monkeypatch,
        tmp_path,
    ):
        """A timeout after a minute would not show that the port was in use."""
        with socket.create_server(('127.0.0.1', 0)) as holder:
            address = f'127.0.0.1:{holder.getsockname()[1]}'
            monkeypatch.setattr(Ports, 'address', lambda: address)
            with pytest.raises(AssertionError, match='Address already in use'):
                Cluster(tmp_path, {})
