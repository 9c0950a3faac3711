"""Decide how long servers without an entry are used."""

from cicadadoor.decisions.readers import is_reader
from cicadadoor.decisions.store_outages import RETURN_GRACE_S, StoreOutage
from cicadadoor.entry.backend_table import BackendTable
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import Topic
from cicadadoor.timer import TimerService


class VanishedEntries:
    """Follow the outages of the store at this host and its failure domain's reader."""

    def __init__(
        self,
        membership: Membership,
        mirror: Mirror,
        timer: TimerService,
        table: BackendTable,
    ) -> None:
        self._timer = timer
        self._table = table
        self._membership = membership
        self._mirror = mirror
        self._outage = StoreOutage()
        # Servers whose entries the copy lacks register again, as after an outage.
        mirror.eras.subscribe(self._note_restored)

    def note_outage(self, now_s: float) -> None:
        """Record to which hosts the store answers now.

        These are this host and the readers of its failure domain, including hosts that
        would be its reader if the store answered them.
        """
        own = self._membership.own_record.host
        peers = self._membership.peers
        is_served = {
            peer.record.host: peer.is_served
            for peer in peers.all()
            if peers.is_in_own_domain(peer)
            and peers.is_heard(peer, now_s)
            and not peer.is_leaving
        }
        is_served[own] = self._mirror.is_served
        served = frozenset(
            host for host, is_host_served in is_served.items() if is_host_served
        )
        followed = {own}.union(
            host for host in is_served if is_reader(host, served, is_served=True)
        )
        self._outage.note(
            now_s, failing=frozenset(followed.difference(served)), served=served
        )

    def grace_end_s(self, now_s: float) -> float | None:
        """Return until when servers are used whose entries have just vanished."""
        self.note_outage(now_s)
        changed_s = self._mirror.copy(Topic.BACKENDS).changed_s
        return self._outage.grace_end_s(now_s, changed_s)

    def _note_restored(self) -> None:
        now_s = self._timer.now_s()
        self._outage.note_restored(now_s)
        # Entries that had returned since an earlier outage may be lost once more.
        self._table.extend_missing(now_s + RETURN_GRACE_S)

    def follow_missing(self, table: BackendTable) -> None:
        """Read later copies at once while entries are expected to return."""
        if table.has_missing:
            self._mirror.urgent_topics.add(Topic.BACKENDS)
        else:
            self._mirror.urgent_topics.discard(Topic.BACKENDS)
