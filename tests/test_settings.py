"""Test that daemons refuse invalid settings."""

import json
import socket
import subprocess

import pytest

from cicadadoor import settings
from cicadadoor.errors import ExitStatus, Failure
from tests.utils.processes import Ports, program

ADDRESS_FIELDS = ('callers', 'gate_peers', 'agent_link', 'agent_peers', 'operators')
NAME_RULE = 'lower-case letters, digits and hyphens, at most 63'
ADDRESS_RULE = 'IP address and port, such as "127.0.0.1:8080"'
INVALID_FIELDS = (
    # Changed field, its content, the expected part of the error message.
    ('colour', 'red', 'colour: red is not allowed; allowed: one of the fields '),
    (
        'grace_ms',
        5,
        'grace_ms: 5 is not allowed; allowed: field grace_s (check the unit)',
    ),
    ('answer_ttl_s', 5, 'allowed: field answer_ttl_ms (check the unit)'),
    ('answer_ttl_ms', 5, 'answer_ttl_ms: 5 is not allowed; allowed: milliseconds from'),
    ('answer_ttl_ms', True, 'answer_ttl_ms: True is not allowed'),
    ('answer_ttl_ms', '5000', 'answer_ttl_ms: 5000 is not allowed'),
    ('grace_s', -1, 'grace_s: -1 is not allowed; allowed: seconds from 0 to 3600'),
    ('host', 'Host 1', f'host: Host 1 is not allowed; allowed: {NAME_RULE}'),
    (
        'region',
        None,
        f'region: a missing value is not allowed; allowed: {NAME_RULE} (required)',
    ),
    (
        'callers',
        'localhost:80',
        f'callers: localhost:80 is not allowed; allowed: {ADDRESS_RULE}',
    ),
    ('callers', '127.0.0.1:0', 'callers: 127.0.0.1:0 is not allowed'),
    ('callers', '127.0.0.1:70000', 'callers: 127.0.0.1:70000 is not allowed'),
    ('platform_url', 'ftp://x', 'platform_url: ftp://x is not allowed; allowed: a URL'),
    ('seed_peers', ['x'], "seed_peers: ['x'] is not allowed"),
    (
        'agent_link',
        '192.0.2.1:80',
        'agent_link: 192.0.2.1:80 is not allowed; allowed: a loopback',
    ),
    (
        'agent_peers',
        '192.0.2.1:80',
        'agent_peers: 192.0.2.1:80 is not allowed; allowed: a loopback',
    ),
    (
        'operators',
        '192.0.2.1:80',
        'operators: 192.0.2.1:80 is not allowed; allowed: a loopback',
    ),
    ('tls_certificate_file', '/none', 'tls_certificate_file: /none is not allowed'),
    ('log_level', 'LOUD', 'log_level: LOUD is not allowed; allowed: DEBUG'),
)


class TestSettings:
    """Guard against a host that starts with unintended settings."""

    @pytest.mark.parametrize(('field', 'content', 'expected'), INVALID_FIELDS)
    def test_invalid_field_is_reported_in_one_line(
        self, tmp_path, field, content, expected
    ):
        """The message names file, field, value and the allowed values."""
        path = _write(tmp_path, {**_valid_settings(), field: content})
        failure = settings.load(path)
        assert isinstance(failure, Failure)
        assert expected in failure.reason
        assert failure.reason.startswith(f'{path}: ')
        assert '\n' not in failure.reason

    @pytest.mark.parametrize('text', ('{', '[]', '', '{"host": }'))
    def test_file_that_is_no_object_is_refused(self, tmp_path, text):
        """A truncated file must not start a host with defaults."""
        path = tmp_path / 'settings.json'
        path.write_text(text)
        assert isinstance(settings.load(str(path)), Failure)

    @pytest.mark.parametrize('name', ('cicadadoor-gate', 'cicadadoor-agent'))
    def test_daemon_ends_before_it_opens_a_socket(self, tmp_path, name):
        """Invalid settings must be reported before the host accepts callers."""
        valid = _valid_settings()
        path = _write(tmp_path, {**valid, 'colour': 'red'})
        listeners = []
        try:
            for field in ADDRESS_FIELDS:
                ip, _, port = valid[field].rpartition(':')
                listeners.append(socket.create_server((ip, int(port))))
            completed = subprocess.run(
                program(name, path),
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
        finally:
            for listener in listeners:
                listener.close()
        assert completed.returncode == ExitStatus.USAGE
        assert completed.stderr.startswith(
            f'{name}: {path}: colour: red is not allowed'
        )
        assert completed.stderr.count('\n') == 1

    @pytest.mark.parametrize(
        ('name', 'field'),
        [
            ('cicadadoor-gate', 'callers'),
            ('cicadadoor-gate', 'gate_peers'),
            ('cicadadoor-agent', 'agent_link'),
            ('cicadadoor-agent', 'agent_peers'),
            ('cicadadoor-agent', 'operators'),
        ],
    )
    def test_address_in_use_is_named(self, tmp_path, name, field):
        """A second daemon on a host used to end with a traceback and no address."""
        valid = _valid_settings()
        path = _write(tmp_path, valid)
        ip, _, port = valid[field].rpartition(':')
        with socket.create_server((ip, int(port))):
            completed = subprocess.run(
                program(name, path),
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
        assert completed.returncode == ExitStatus.UNAVAILABLE
        last_line = completed.stderr.splitlines()[-1]
        assert f'{valid[field]} is in use by another process' in last_line


def _valid_settings() -> dict:
    addresses = {name: Ports.address() for name in ADDRESS_FIELDS}
    return {
        'host': 'muenchen-1-0',
        'region': 'muenchen',
        'failure_domain': 'muenchen-1',
        'platform_url': 'http://127.0.0.1:1',
        'callers_url': f'http://{addresses["callers"]}',
        **addresses,
    }


def _write(folder, content) -> str:
    path = folder / 'settings.json'
    path.write_text(json.dumps(content))
    return str(path)
