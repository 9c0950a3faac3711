"""Test invalid input from the store and from other hosts."""

import anyio
import pynng
import pytest

from cicadadoor.entry.model import Topic
from cicadadoor.entry.peers import HEARTBEAT_INTERVAL_S
from tests.utils.entry_hosts import run_deployed
from tests.utils.waiting import until

# Nested more deeply than a decoder can follow.
_NESTING_DEPTH = 5000
_HOST_RECORDS = 'cicadadoor-hosts'
_SEVERAL_HEARTBEATS_S = 8 * HEARTBEAT_INTERVAL_S


class TestHostRecords:
    """Check that an invalid host record does not stop the heartbeats of others."""

    @pytest.mark.parametrize('address', ['127.0.0.1:70000', '127.0.0.1:x', ''])
    def test_unusable_address_of_one_host_silences_no_other(self, address):
        """All hosts read this record; without heartbeats, each is considered gone."""

        async def work(deployment):
            own = deployment.find('membership')
            other = deployment.find('membership', host=1)
            name, other_name = (settings.host for settings in deployment.hosts)
            await until(lambda: _heartbeat_number(other, name) > 0)
            _register_host(deployment, 'host-9', address)
            mirror = deployment.find('mirror')
            await until(lambda: 'host-9' in mirror.records(Topic.HOSTS))
            deployment.store.remove(_HOST_RECORDS, other_name)
            await until(lambda: other_name in deployment.store.names(_HOST_RECORDS))
            # Registered again, it comes after the host with the invalid address.
            own.peers.forget(other_name)
            # The host lists all others again when the records change.
            _register_host(deployment, 'host-8', address)
            await until(lambda: own.peers.find(other_name) is not None)
            before = _heartbeat_number(other, name)
            await anyio.sleep(_SEVERAL_HEARTBEATS_S)
            assert _heartbeat_number(other, name) > before

        run_deployed(work, hosts=2)


class TestPeerMessages:
    """Check that one message cannot stop the process."""

    def test_message_that_is_nested_too_deeply_does_not_stop_the_host(self):
        """Anyone who reaches the ports could stop all hosts at once."""

        async def work(deployment):
            nested = b'\x81\xa1x' + b'\x91' * _NESTING_DEPTH + b'\x90'
            with pynng.Req0() as socket:
                socket.dial(f'tcp://{deployment.hosts[0].peers}', block=True)
                await socket.asend(nested)
                with anyio.fail_after(10):
                    # A refusal; a host that fails on the message sends none.
                    await socket.arecv()
            assert not deployment.find('state').is_leaving
            assert (await deployment.call('/look/1')).status_code == 200

        run_deployed(work)


class TestStoreFaults:
    """Check the age that a host reports for its copy when reading fails."""

    def test_host_that_cannot_read_the_store_does_not_report_its_copy_as_current(
        self, monkeypatch
    ):
        """It would refuse new keys and routes permanently and be the domain reader."""

        async def work(deployment):
            async def fail(*arguments, **options) -> None:
                raise RuntimeError('simulated reader error')

            source = deployment.find('source')
            mirror = deployment.find('mirror')
            with monkeypatch.context() as patch:
                patch.setattr(source, 'watch', fail)
                patch.setattr(source, 'read', fail)
                deployment.store.cut_watches()
                await until(lambda: not mirror.is_served, 10)
                await until(lambda: mirror.age_s(Topic.POLICY) > 0, 10)
            await until(lambda: mirror.is_served, 10)
            assert mirror.age_s(Topic.POLICY) == 0

        run_deployed(work)


def _heartbeat_number(membership, host: str) -> int:
    heartbeats = [
        heartbeat
        for heartbeat in membership.live_heartbeats()
        if heartbeat.host == host
    ]
    return heartbeats[0].number if heartbeats else 0


def _register_host(deployment, name: str, address: str) -> None:
    present = deployment.hosts[0]
    record = {
        'host': name,
        'instance': 'elsewhere',
        'callers': str(present.callers),
        'peers': address,
        'failure_domain': present.failure_domain,
        'region': present.region,
    }
    deployment.store.put(_HOST_RECORDS, name, record)
