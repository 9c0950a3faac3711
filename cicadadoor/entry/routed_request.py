"""Hold the state of an admitted request, and split a route over its services."""

import random
from hashlib import blake2b

from cicadadoor.decisions.memory_account import Reservation
from cicadadoor.entry.exchange import REQUEST_BYTES
from cicadadoor.entry.messages import BackendResponse, CallerRequest
from cicadadoor.entry.model import OrganisationPolicy, RoutePolicy
from cicadadoor.entry.quarantine import fingerprint_of

# Rankings and hashes are cached by the keys of objects, tens of thousands of each and
# outside of the memory account. A digest stands for a longer key.
_MAX_KEY_CHARACTERS = 64
_DIGEST_BYTES = 16


class RoutedRequest:
    """Hold one admitted request and the state of its attempts."""

    __slots__ = (
        '_kept_reservation',
        '_kept_response',
        'attempts',
        'body',
        'deadline_s',
        'fingerprint',
        'is_probe',
        'may_have_run',
        'object_key',
        'organisation',
        'received_s',
        'request',
        'reservation',
        'route',
        'service',
        'tried',
        'failed_connects',
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        body: bytes | bytearray,
        route: RoutePolicy,
        organisation: OrganisationPolicy | None,
        service: str,
        received_s: float,
        deadline_s: float,
    ) -> None:
        self.request = request
        self.body = body
        self.route = route
        self.organisation = organisation
        self.service = service
        self.received_s = received_s
        self.deadline_s = deadline_s
        self.fingerprint = fingerprint_of(request, self.organisation_name, body)
        self.object_key = _object_key(route, request)
        # Whether it tests if such requests still crash backend servers.
        self.is_probe = False
        self.attempts = 0
        self.failed_connects = 0
        self.tried: list[str] = []
        # False only while every attempt so far is known not to have run.
        self.may_have_run = False
        # A server error to return if the retry does not succeed.
        self._kept_response: BackendResponse | None = None
        # Separate, since a later attempt may be ended for its memory.
        self._kept_reservation: Reservation | None = None
        # Holds the bytes of the current response until the caller has taken it.
        self.reservation: Reservation | None = None

    def keep_response(self, response: BackendResponse) -> None:
        """Keep a server error instead of an earlier one, and reserve its bytes."""
        self._drop_kept()
        self._kept_response = response
        if self.reservation is None:
            return
        kept = self.reservation.open_other()
        self.reservation.move(len(response.body), kept)
        # What is left beyond a request stood for the head and the framing.
        self.reservation.shrink(max(0, self.reservation.held_bytes - REQUEST_BYTES))
        kept.on_evict = self._drop_kept
        self._kept_reservation = kept

    def take_kept_response(self) -> BackendResponse | None:
        """Return the kept server error, if it has not been evicted.

        Its bytes are then part of `reservation`.
        """
        response, self._kept_response = self._kept_response, None
        kept = self._kept_reservation
        if response is not None and kept is not None and self.reservation is not None:
            kept.move(kept.held_bytes, self.reservation)
        self._drop_kept()
        return response

    def close(self) -> None:
        """Free the bytes of a request that needs no further attempt.

        Others may still refer to them, such as the traceback of a cancelled task.
        """
        _clear(self.body)
        self._drop_kept()

    def _drop_kept(self) -> None:
        response, self._kept_response = self._kept_response, None
        if response is not None:
            _clear(response.body)
        reservation, self._kept_reservation = self._kept_reservation, None
        if reservation is not None:
            reservation.close()

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name, or an empty string on a public route."""
        return self.organisation.name if self.organisation else ''

    @property
    def priority(self) -> int:
        """Return the priority, 0 for the most urgent."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def home_regions(self) -> frozenset[str]:
        """Return the regions in which the request may run; an empty set means all."""
        homes = self.route.home_regions
        if self.organisation is None or not self.organisation.home_regions:
            return homes
        if not homes:
            return self.organisation.home_regions
        # '-' names no region: an empty set would allow all of them.
        return homes & self.organisation.home_regions or frozenset(('-',))


def _clear(body: bytes | bytearray) -> None:
    if isinstance(body, bytearray):
        body.clear()


def _object_key(route: RoutePolicy, request: CallerRequest) -> str:
    """Return the key of the object that the request concerns, or an empty string."""
    if not route.has_affinity or not request.affinity_key:
        return ''
    key = request.affinity_key
    if len(key) > _MAX_KEY_CHARACTERS:
        key = blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return f'{route.name}:{key}'


class WeightedRoundRobin:
    """Select a route's services in proportion to their weights."""

    __slots__ = ('_credits', 'route')

    def __init__(self, route: RoutePolicy) -> None:
        self.route = route
        # A random start keeps the hosts from selecting in lockstep.
        self._credits = {
            share.service: random.random() * share.weight for share in route.services
        }

    def next_service(self) -> str:
        """Return the service of the next request."""
        total = sum(share.weight for share in self.route.services)
        for share in self.route.services:
            self._credits[share.service] += share.weight
        chosen = max(self._credits, key=self._credits.__getitem__)
        self._credits[chosen] -= total
        return chosen
