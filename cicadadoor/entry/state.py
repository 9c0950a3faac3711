"""Hold the state that the services of an entry host share."""

from cicadadoor.decisions.memory_account import MemoryAccount, account_bytes
from cicadadoor.entry.settings import EntrySettings
from cicadadoor.ids import new_instance_id
from cicadadoor.kernel import Service


class EntryState(Service):
    """Hold the settings, the instance id and the shutdown state of this host."""

    name = 'state'

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.instance = new_instance_id()
        # Bytes held on behalf of clients, backend servers, other hosts and the store.
        self.account = MemoryAccount(account_bytes(settings.memory_mb))
        # Set at SIGTERM: the directory no longer returns this host, and connections are
        # closed after their answers.
        self.is_leaving = False
        # Set later in the shutdown, when new requests can not be answered in time.
        self.is_refusing = False

    def refuse(self) -> None:
        """Refuse new requests from now on."""
        self.is_refusing = True
