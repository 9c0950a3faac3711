"""Build a configuration in an operator's program."""

import ipaddress
from itertools import permutations

import msgspec

from cicadadoor.config import model

_BITS_PER_BYTE = 8
_US_PER_MS = 1000


class Deployment:
    """Collect the parts of a deployment; parameter names give their units."""

    def __init__(
        self,
        *,
        delay_between_domains_ms: float,
        delay_to_clients_ms: float,
        floor_fraction: float = 0.5,
        max_weight_step: float = 0.1,
    ) -> None:
        self._delay_between_domains_us = _to_us(delay_between_domains_ms)
        self._delay_to_clients_us = _to_us(delay_to_clients_ms)
        self._floor_fraction = float(floor_fraction)
        self._max_weight_step = float(max_weight_step)
        self._regions: list[model.Region] = []
        self._domains: list[model.FailureDomain] = []
        self._links: list[model.Link] = []
        self._services: dict[str, model.Service] = {}
        self._organisations: list[model.Organisation] = []
        self._rules: list[model.SteeringRule] = []
        self._blocks: list[model.ClientBlock] = []

    def region(self, name: str, failure_domains: dict[str, int]) -> None:
        """Add a region; `failure_domains` maps each domain to its number of seats."""
        self._regions.append(model.Region(name=name))
        for domain_name, seats in failure_domains.items():
            domain = model.FailureDomain(
                name=domain_name,
                region=name,
                seats=seats,
                delay_to_clients_us=self._delay_to_clients_us,
            )
            self._domains.append(domain)

    def link_all_regions(self, *, capacity_bit_per_s: float, delay_ms: float) -> None:
        """Add links between all pairs of regions, in both directions."""
        names = [region.name for region in self._regions]
        for source, target in permutations(names, 2):
            link = model.Link(
                source=source,
                target=target,
                capacity_bytes_per_s=int(capacity_bit_per_s / _BITS_PER_BYTE),
                delay_us=_to_us(delay_ms),
            )
            self._links.append(link)

    def service(
        self,
        name: str,
        *,
        deferrable: bool = False,
        deadline_ms: int,
        routes: tuple[model.Route, ...] = (),
        connect_cost_ms: float = 1,
        probe_cost_ms: float = 0,
    ) -> None:
        """Add a service; by default each region serves its own client blocks."""
        service_class = model.ServiceClass.INTERACTIVE
        if deferrable:
            service_class = model.ServiceClass.DEFERRABLE
        self._services[name] = model.Service(
            name=name,
            service_class=service_class,
            deadline_ms=deadline_ms,
            routes=routes,
            backend_servers=(),
            connect_cost_us=_to_us(connect_cost_ms),
            probe_cost_us=_to_us(probe_cost_ms),
        )

    def backend_server(
        self,
        service: str,
        name: str,
        *,
        url: str,
        failure_domain: str,
        slots: int,
        connections: int,
    ) -> None:
        """Add a backend server; raise ValueError if its service is unknown."""
        current = self._services.get(service)
        if current is None:
            raise ValueError(
                f'service {service!r} must be added before its backend server {name!r}'
            )
        server = model.BackendServer(
            name=name,
            url=url,
            failure_domain=failure_domain,
            slots=slots,
            connections=connections,
        )
        self._services[service] = model.Service(
            name=current.name,
            service_class=current.service_class,
            deadline_ms=current.deadline_ms,
            routes=current.routes,
            backend_servers=(*current.backend_servers, server),
            connect_cost_us=current.connect_cost_us,
            probe_cost_us=current.probe_cost_us,
        )

    def organisation(
        self,
        name: str,
        *,
        rate_per_s: float,
        burst: int,
        queue_weight: int = 1,
        serve_isolated_for_s: int = 0,
    ) -> None:
        """Add an organisation; rate and burst apply to the fleet as a whole."""
        isolated_keys = model.IsolatedKeys.REFUSE
        if serve_isolated_for_s:
            isolated_keys = model.IsolatedKeys.SERVE
        organisation = model.Organisation(
            name=name,
            rate_per_s=float(rate_per_s),
            burst=burst,
            queue_weight=queue_weight,
            isolated_keys=isolated_keys,
            serve_for_s=serve_isolated_for_s,
        )
        self._organisations.append(organisation)

    def steer(
        self,
        service: str,
        home_region: str,
        weights: dict[str, float],
    ) -> None:
        """Distribute the client blocks of a home region over regions by weight."""
        rule = model.SteeringRule(
            service=service,
            home_region=home_region,
            weights=tuple(
                model.RegionWeight(region=region, weight=float(weight))
                for region, weight in weights.items()
            ),
        )
        self._rules.append(rule)

    def client_block(self, cidr: str, region: str) -> None:
        """Assign a block of client addresses to its home region."""
        self._blocks.append(model.ClientBlock(cidr=cidr, region=region))

    def build(self) -> model.Configuration:
        """Return the configuration, with client blocks sorted by address."""
        built = model.Configuration(
            format=model.FORMAT_VERSION,
            topology=model.Topology(
                regions=tuple(self._regions),
                failure_domains=tuple(self._domains),
                links=tuple(self._links),
                delay_between_domains_us=self._delay_between_domains_us,
            ),
            services=tuple(self._services.values()),
            limits=model.OrganisationLimits(
                floor_fraction=self._floor_fraction,
                organisations=tuple(self._organisations),
            ),
            keys=(),
            weights=model.Weights(
                rules=self._complete_rules(),
                max_step=self._max_weight_step,
            ),
            client_blocks=tuple(sorted(self._blocks, key=_address_order)),
        )
        # Decoding converts integers to floats in float fields. Without it the digest
        # of the built configuration would differ from that of the printed one.
        return msgspec.json.decode(
            msgspec.json.encode(built),
            type=model.Configuration,
        )

    def _complete_rules(self) -> tuple[model.SteeringRule, ...]:
        given = {(rule.service, rule.home_region): rule for rule in self._rules}
        for service in self._services:
            for region in self._regions:
                stays_home = model.SteeringRule(
                    service=service,
                    home_region=region.name,
                    weights=(model.RegionWeight(region=region.name, weight=1.0),),
                )
                given.setdefault((service, region.name), stays_home)
        return tuple(rule for _, rule in sorted(given.items()))


def _to_us(delay_ms: float) -> int:
    return round(delay_ms * _US_PER_MS)


def _address_order(block: model.ClientBlock) -> tuple[int, int]:
    network = ipaddress.ip_network(block.cidr)
    return network.version, int(network.network_address)
