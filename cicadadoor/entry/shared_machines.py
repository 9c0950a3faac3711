"""Find the services whose backend servers share their machines with other work."""

from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.messages import LoadReport
from cicadadoor.telemetry import logs

log = logs.logger('backends')


class SharedMachines:
    """Note the services whose servers report how slow their machines are.

    Their requests are placed by expected finish.
    """

    def __init__(self) -> None:
        self._services: set[str] = set()

    def includes(self, service: str) -> bool:
        """Return whether servers of the service report how slow their machines are."""
        return service in self._services

    def note_load(
        self, backend: Backend, load: LoadReport | None, now_s: float
    ) -> None:
        """Store the load that a response of a server reports."""
        backend.note_load(load, now_s)
        service = backend.record.service
        if backend.slowdown.is_reported and service not in self._services:
            log.info('slowdown_reported', service=service)
            self._services.add(service)
