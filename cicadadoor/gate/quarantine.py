"""Refuse requests that crash backend servers."""

import abc

from cicadadoor.config.model import BackendServer
from cicadadoor.errors import Failure
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.kernel import Service


class Quarantine(Service):
    """Learn from requests in flight at a backend server when it dies."""

    name = 'quarantine'

    @abc.abstractmethod
    def check(self, request: SteeredRequest) -> Failure | None:
        """Return QUARANTINED if the request must not run."""

    @abc.abstractmethod
    def began(self, request: SteeredRequest, server: BackendServer) -> None:
        """Note that the request is in flight at the backend server."""

    @abc.abstractmethod
    def ended(
        self,
        request: SteeredRequest,
        server: BackendServer,
        answer: SteeredAnswer | Failure,
    ) -> None:
        """Note how the request ended."""


class NoQuarantine(Quarantine):
    """Let every request run."""

    def check(self, request: SteeredRequest) -> Failure | None:
        """Return None."""

    def began(self, request: SteeredRequest, server: BackendServer) -> None:
        """Do nothing."""

    def ended(
        self,
        request: SteeredRequest,
        server: BackendServer,
        answer: SteeredAnswer | Failure,
    ) -> None:
        """Do nothing."""
