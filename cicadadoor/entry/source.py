"""Declare where hosts read shared records and publish their own."""

import abc

from cicadadoor.entry.model import Changes, HostRecord, Snapshot, Topic
from cicadadoor.errors import Failure
from cicadadoor.kernel import Service


class RecordSource(Service):
    """Read the records of a topic, wait for changes, and publish this host."""

    name = 'source'

    @abc.abstractmethod
    async def read(
        self, topic: Topic, *, may_be_stale: bool = False
    ) -> Snapshot | Failure:
        """Return all records of a topic; ones that may lag are cheaper to read."""

    @abc.abstractmethod
    async def wait(
        self,
        topic: Topic,
        revision: int,
        wait_s: float,
        *,
        may_be_stale: bool = False,
    ) -> Changes | Failure:
        """Return changes after the revision, or none after the wait.

        A wait that may lag is cheaper, and its answer may be seconds old.
        STORE_COMPACTED means that changes since then are no longer known.
        """

    @abc.abstractmethod
    async def publish_host(self, record: HostRecord) -> None | Failure:
        """Write the record of a host, in place of an earlier one."""

    @abc.abstractmethod
    async def remove_host(self, host: str) -> None | Failure:
        """Remove the record of a host; one that is gone already is a success."""
