"""Test the operators' command against a running deployment."""

import json

import httpx
import pytest

from cicadadoor.config import canonical
from cicadadoor.errors import ExitStatus
from cicadadoor.ids import digest_of
from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.waiting import wait_until

DOMAINS = {'muenchen-1': ('muenchen', 2), 'augsburg-1': ('augsburg', 1)}


def deployment(extra_organisation: str = ''):
    """Describe the deployment, optionally with another organisation."""
    described = small_deployment(DOMAINS)
    if extra_organisation:
        described.organisation(extra_organisation, rate_per_s=1, burst=1)
    return described


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Run three entry hosts and one backend server."""
    with Cluster(tmp_path_factory.mktemp('operators'), DOMAINS) as running:
        backend = running.add_backend('kb-1', slots=8)
        running.start_hosts()
        described = deployment()
        described.backend_server(
            'kursbuchung',
            'kb-1',
            url=backend.url,
            failure_domain='muenchen-1',
            slots=8,
            connections=330,
        )
        running.submit(described)
        running.wait_ready()
        yield running


def agents_of(cluster: Cluster) -> list[str]:
    """Return the flags that list all agents."""
    return [f'--agent={host.operators_url}' for host in cluster.hosts.values()]


class TestStatus:
    """Guard against a status that claims more than the hosts reported."""

    def test_wait_returns_once_all_hosts_confirm(self, cluster):
        """The command returns once each host has reported the generation."""
        first = agents_of(cluster)[0]
        output = cluster.operate('status', '--wait=1', '--json', first)
        found = json.loads(output)
        assert found['confirmation']['hosts_confirmed'] == 3
        assert found['status']['domain']['host_count'] == 2

    def test_wait_names_what_is_behind(self, cluster):
        """A generation that does not exist is never confirmed."""
        output = cluster.operate(
            'status',
            '--wait=99',
            '--timeout_s=1',
            '--json',
            agents_of(cluster)[0],
            expect=ExitStatus.NOT_EVERYWHERE,
        )
        assert json.loads(output)['confirmation']['behind']

    def test_unreachable_agent(self, cluster):
        """An unreachable agent has another exit status than one that is behind."""
        arguments = ('status', '--agent=http://127.0.0.1:9')
        cluster.operate(*arguments, expect=ExitStatus.UNAVAILABLE)


class TestCommands:
    """Guard against exit codes and flags that scripts cannot rely on."""

    @pytest.mark.parametrize(
        'arguments',
        [
            ('validate', '{file}', '--json'),
            ('--json', 'validate', '{file}'),
            ('validate', '--json', '{file}'),
        ],
    )
    def test_json_flag_works_in_any_position(self, cluster, arguments):
        """python-fire would parse the argument after a flag as its value."""
        path = cluster.folder / 'printed.json'
        path.write_bytes(canonical.render(deployment().build()))
        filled = [each.format(file=path) for each in arguments]
        assert json.loads(cluster.operate(*filled))['digest']

    @pytest.mark.parametrize(
        'command',
        [
            ('validate',),
            ('plan',),
            ('submit',),
            ('status',),
            ('outcome',),
            ('get',),
            ('key', 'grant'),
            ('key', 'withdraw'),
            ('key', 'list'),
        ],
    )
    def test_help(self, cluster, command):
        """Each command prints its help and exits with 0."""
        cluster.operate(*command, '--help')

    @pytest.mark.parametrize(
        ('arguments', 'status'),
        [
            (('validate', '/nowhere'), ExitStatus.USAGE),
            (('submit', '/nowhere'), ExitStatus.USAGE),
            (('nonsense',), ExitStatus.USAGE),
            (('key',), ExitStatus.USAGE),
            (('get', 'nonsense'), ExitStatus.USAGE),
            (('key', 'withdraw', 'abc'), ExitStatus.USAGE),
            (('key', 'grant', '1e5'), ExitStatus.INVALID),
            (('outcome', 'abc', '1'), ExitStatus.CONFLICT),
            (('outcome', 'abc', '77'), ExitStatus.UNKNOWN),
            (('status', '--wait=x'), ExitStatus.USAGE),
            (
                ('plan', '{file}', '--platform=http://127.0.0.1:9'),
                ExitStatus.UNAVAILABLE,
            ),
        ],
    )
    def test_exit_status(self, cluster, arguments, status):
        """Each kind of outcome has its own code."""
        path = cluster.folder / 'printed.json'
        path.write_bytes(canonical.render(deployment().build()))
        filled = [each.format(file=path) for each in arguments]
        cluster.operate(*filled, expect=status)

    def test_second_submission_from_one_base_is_a_conflict(self, cluster):
        """Of two operators that change one section, the second gets a conflict."""
        current = json.loads(cluster.operate('get', 'services', '--json'))
        base = current['generation']
        for name, status in (('guild-x', 0), ('guild-y', ExitStatus.CONFLICT)):
            described = deployment(name)
            path = cluster.folder / f'{name}.json'
            path.write_bytes(canonical.render(described.build()))
            digest = canonical.digest(described.build())
            arguments = ('submit', str(path), f'--digest={digest}', f'--base={base}')
            cluster.operate(*arguments, expect=status)
        organisations = cluster.operate('get', 'organisations')
        assert 'guild-x' in organisations
        assert 'guild-y' not in organisations


class TestKeys:
    """Guard against a key that is accepted after its withdrawal."""

    def test_withdrawal_during_an_outage_on_an_open_connection(self, cluster):
        """The caller keeps its connection open, and the platform is down."""
        key = cluster.grant_key('guild-b')
        key_hash = digest_of(key.encode())
        assert key_hash in cluster.operate('key', 'list')
        urls = [f'{host.callers_url}/s/schulakten/x' for host in cluster.hosts.values()]
        with httpx.Client(headers={'x-api-key': key}) as client:

            def errors() -> set[str]:
                return {client.get(url).json()['error'] for url in urls}

            # No backend server runs the service, so an accepted key fails otherwise.
            wait_until(
                lambda: not errors() & {'key_unknown'},
                'the granted key is in force at each gate',
            )
            cluster.set_platform_faults(down=True)
            output = cluster.operate(
                'key',
                'withdraw',
                key_hash,
                '--json',
                agents_of(cluster)[0],
                expect=ExitStatus.NOT_EVERYWHERE,
            )
            found = json.loads(output)
            assert found['platform_recorded'] is False
            assert len(found['agents_reached']) == 1
            wait_until(
                lambda: errors() == {'key_withdrawn'},
                'each gate refuses the key on open connections',
            )
            cluster.set_platform_faults(down=False)

            def is_recorded() -> bool:
                status = httpx.get(
                    f'{next(iter(cluster.hosts.values())).operators_url}/v1/status',
                ).json()
                return status['unrecorded_withdrawals'] == 0

            wait_until(is_recorded, 'the platform has recorded the withdrawal')
            cluster.operate('key', 'withdraw', key_hash)
            assert key_hash not in cluster.operate('key', 'list')
