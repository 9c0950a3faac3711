"""Hold what the services of an entry host share."""

from cicadadoor.entry.settings import EntrySettings
from cicadadoor.ids import new_instance_id
from cicadadoor.kernel import Service


class EntryState(Service):
    """Tell who this host is and whether it is leaving."""

    name = 'state'

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.instance = new_instance_id()
        # Set at SIGTERM: the host is no longer named, and connections are closed
        # after their answers.
        self.is_leaving = False
        # Set later: what arrives now could not be answered before the end.
        self.is_refusing = False

    def refuse(self) -> None:
        """Refuse new requests from now on."""
        self.is_refusing = True
