"""Test requests whose callers disconnect before they are answered."""

import socket

import anyio
import pytest

from tests.utils.entry_hosts import SITE, Deployment, run_deployed


def _send_and_disconnect(deployment: Deployment, method: str = 'GET') -> None:
    """Send a whole request and close the connection, without running the event loop.

    The host finds the request and the end of the connection at the same time, as after
    a time in which it was too busy to read.
    """
    address = deployment.hosts[0].callers
    lines = (
        f'{method} /look/1 HTTP/1.1',
        f'Host: {SITE}',
        'Attempt-Id: left',
        'Authorization: Bearer key-1',
        'Deadline-Ms: 3000',
        'Content-Length: 0',
    )
    with socket.create_connection((address.host_ip, address.port)) as caller:
        caller.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')


class TestDisconnectedCallers:
    """Check that nothing is sent to a server for a caller that has disconnected."""

    @pytest.mark.parametrize('method', ('GET', 'POST'))
    @pytest.mark.parametrize('has_kept_connection', (False, True))
    def test_request_whose_caller_disconnected_before_it_was_read_is_not_sent_on(
        self, method, has_kept_connection
    ):
        async def work(deployment):
            if has_kept_connection:
                await deployment.call('/look/1')
            arrivals = deployment.workers['i-0'].arrivals
            for _ in range(10):
                _send_and_disconnect(deployment, method)
            await anyio.sleep(0.5)
            assert deployment.workers['i-0'].arrivals == arrivals

        run_deployed(work)
