"""Define the interface through which hosts read and publish shared records."""

import abc
from collections.abc import Callable

from cicadadoor.entry.model import Changes, HostRecord, Snapshot, Topic
from cicadadoor.errors import Failure
from cicadadoor.kernel import Service


class RecordSource(Service):
    """Read and watch the records of a topic, and publish the record of a host."""

    name = 'source'

    @abc.abstractmethod
    def subscribe_era(self, on_era: Callable[[int], None]) -> None:
        """Call `on_era` with the era of the store when it has come back from a copy."""

    @abc.abstractmethod
    async def read(
        self, topic: Topic, *, may_be_stale: bool = False
    ) -> Snapshot | Failure:
        """Return all records of a topic; a read that may be stale is cheaper."""

    @abc.abstractmethod
    async def watch(
        self,
        topic: Topic,
        revision: int,
        wait_s: float,
        *,
        may_be_stale: bool = False,
    ) -> Changes | Failure:
        """Return changes after the revision, or none if `wait_s` passes without any.

        A watch that may be stale is cheaper, and its answer may be seconds old.
        STORE_COMPACTED means that the store no longer has the changes since then.
        """

    @abc.abstractmethod
    async def publish_host(self, record: HostRecord) -> None | Failure:
        """Create or replace the record of a host."""

    @abc.abstractmethod
    async def update_host(self, record: HostRecord) -> None | Failure:
        """Replace the record of a host; fail if there is none."""

    @abc.abstractmethod
    async def remove_host(self, host: str) -> None | Failure:
        """Remove the record of a host; succeed if it does not exist."""
