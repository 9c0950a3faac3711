"""Apply the operator's configuration, and never go back to an older version."""

from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import (
    OrganisationPolicy,
    RequestPolicy,
    RoutePolicy,
    ServicePolicy,
    Topic,
)
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs, metrics

log = logs.logger('policy')

# Operators have repeated by then what the store lost as it came back from a copy.
_SETTLING_S = 3.0


class RouteTable:
    """Map requests to routes by the longest path prefix under their host name."""

    __slots__ = ('_routes',)

    def __init__(self, routes: tuple[RoutePolicy, ...]) -> None:
        self._routes: dict[tuple[str, str], RoutePolicy] = {}
        for route in routes:
            self._routes.setdefault((route.host_name, route.path_prefix), route)

    def find(self, host_name: str, path: str) -> RoutePolicy | None:
        """Return the route, or None if no prefix matches."""
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = self._routes.get((host_name, path[: end + 1]))
            if route is not None:
                return route
        return None


class ActivePolicy(Service):
    """Look up routes, organisations and services in the active configuration."""

    name = 'policy'

    def __init__(self) -> None:
        self._mirror: Mirror
        self.current: RequestPolicy | None = None
        self._route_table = RouteTable(())
        self._organisation_by_key: dict[str, OrganisationPolicy] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to changes of the configuration."""
        self._mirror = kernel.find('mirror')
        self._mirror.subscribe(self._on_change)

    @property
    def age_s(self) -> float:
        """Return for how many seconds a later version may have been in force."""
        return self._mirror.age_s(Topic.POLICY)

    @property
    def is_unsettled(self) -> bool:
        """Return whether the store may have lost a later version a moment ago."""
        return self._mirror.eras.age_s < _SETTLING_S

    def find_route(self, host_name: str, path: str) -> RoutePolicy | None:
        """Return the route of a path, or None if no prefix matches."""
        return self._route_table.find(host_name, path)

    def find_organisation(self, api_key: str) -> OrganisationPolicy | None:
        """Return the organisation that owns the key, or None."""
        return self._organisation_by_key.get(api_key)

    def find_service(self, name: str) -> ServicePolicy | None:
        """Return the policy of a service, or None if it is unknown."""
        return self.current.services.get(name) if self.current else None

    def _on_change(self, topic: Topic) -> None:
        if topic is not Topic.POLICY:
            return
        for record in self._mirror.records(topic).values():
            if isinstance(record, RequestPolicy):
                self._apply(record)

    def _apply(self, policy: RequestPolicy) -> None:
        if self.current is not None and policy.version <= self.current.version:
            log.info(
                'policy_ignored',
                version=policy.version,
                in_force=self.current.version,
                reason='the version is not later than the one in force',
            )
            return
        self._route_table = RouteTable(policy.routes)
        self._organisation_by_key = {
            key: organisation
            for organisation in policy.organisations.values()
            for key in organisation.api_keys
        }
        self.current = policy
        metrics.GENERATION.set(policy.version)
        log.info(
            'policy_applied',
            version=policy.version,
            routes=len(policy.routes),
            organisations=len(policy.organisations),
        )
