"""Test that hosts tell the others how much of their machines' memory they use."""

import msgspec
from msgspec import structs

from cicadadoor.entry.heartbeats import HostHeartbeat
from tests.utils.entry_hosts import run_deployed
from tests.utils.heartbeats import heartbeat_of
from tests.utils.waiting import until


class TestMemoryPercent:
    """Guard against heartbeats that hosts of another build can't read, or that grow."""

    def test_heartbeat_of_an_older_build_has_none(self):
        encoded = msgspec.msgpack.encode(heartbeat_of('b', memory_percent=97))
        shorter = msgspec.msgpack.encode(msgspec.msgpack.decode(encoded)[:-1])
        decoded = msgspec.msgpack.decode(shorter, type=HostHeartbeat)
        assert decoded == heartbeat_of('b')

    def test_older_build_reads_the_other_fields(self):
        fields = structs.fields(HostHeartbeat)
        assert fields[-1].name == 'memory_percent'
        older = msgspec.defstruct(
            'Older', [(each.name, each.type) for each in fields[:-1]], array_like=True
        )
        sent = heartbeat_of('b', 7, memory_percent=97, is_pressed=True)
        received = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=older)
        assert (received.number, received.is_pressed) == (7, True)

    def test_it_takes_one_byte(self):
        """Traffic between regions is billed."""
        encoded = msgspec.msgpack.encode(heartbeat_of('b', memory_percent=100))
        shorter = msgspec.msgpack.encode(msgspec.msgpack.decode(encoded)[:-1])
        assert len(encoded) == len(shorter) + 1

    def test_hosts_send_it(self):
        async def work(deployment) -> None:
            peers = deployment.find('membership', 0).peers
            watch = deployment.find('memory_watch', 1)

            def is_sent() -> bool:
                peer = peers.find('host-1')
                heartbeat = peer and peer.heartbeat
                return bool(heartbeat and heartbeat.memory_percent)

            await until(is_sent)
            assert 0 < peers.find('host-1').heartbeat.memory_percent
            assert watch.used_percent

        run_deployed(work, hosts=2)
