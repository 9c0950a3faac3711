"""Grant, withdraw and list callers' keys."""

import secrets

import anyio

from cicadadoor.cli import client
from cicadadoor.cli.context import Context
from cicadadoor.config import model, submission
from cicadadoor.config.submission import Submission
from cicadadoor.decisions.withdrawn_keys import is_key_hash
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.ids import digest_of
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.writes import ObjectWriter

_KEY_BYTES = 24


class KeyCommands:
    """Grant, withdraw and list keys; only hashes of keys are stored."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._output = context.output

    def grant(self, organisation: str) -> ExitStatus:
        """Create a key for an organisation and print it; only its hash is stored."""
        return anyio.run(self._grant, organisation)

    def withdraw(self, key_hash: str) -> ExitStatus:
        """Withdraw a key, given by its SHA-256, permanently.

        The withdrawal is sent to the platform and to each agent given with --agent.
        """
        return anyio.run(self._withdraw, key_hash)

    def list(self) -> ExitStatus:
        """List the hashes of granted keys, with their organisations."""
        return anyio.run(self._list)

    async def _grant(self, organisation: str) -> ExitStatus:
        store = self._context.store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        key = secrets.token_urlsafe(_KEY_BYTES)
        record = model.KeyRecord(
            key_hash=digest_of(key.encode()),
            organisation=organisation,
        )
        submitted = self._context.submission(store)
        outcome = await submitted.grant(record)
        if isinstance(outcome, Failure):
            status = self._context.fail_submission(submitted, outcome)
            if status is not ExitStatus.UNKNOWN:
                return status
            # The submission may still be accepted, which would make the key valid, so
            # the key is printed.
        else:
            status = ExitStatus.SUCCESS
        self._output.result(
            [f'key {key}', f'key_hash {record.key_hash}'],
            key=key,
            key_hash=record.key_hash,
            organisation=organisation,
        )
        return status

    async def _withdraw(self, key_hash: str) -> ExitStatus:
        if not is_key_hash(key_hash):
            failure = Failure(
                ErrorKind.BAD_REQUEST,
                f'key_hash {key_hash[:8]!r} must be a SHA-256 in lower-case '
                'hexadecimal',
            )
            return self._output.fail(failure, '`cicadadoor key list` prints the hashes')
        in_platform, detail = await self._withdraw_in_platform(key_hash)
        reached: list[str] = []
        unreached: list[str] = []
        for agent in self._context.agents:
            answer = await client.withdraw(agent, key_hash)
            if isinstance(answer, Failure):
                unreached.append(agent)
            else:
                reached.append(agent)
                in_platform = in_platform or answer.recorded
        lines = [f'platform: {"recorded" if in_platform else detail}']
        lines.extend(f'agent {agent}: refuses the key' for agent in reached)
        lines.extend(f'agent {agent}: not reached' for agent in unreached)
        self._output.result(
            lines,
            key_hash=key_hash,
            platform_recorded=in_platform,
            agents_reached=reached,
            agents_not_reached=unreached,
        )
        if not in_platform and not reached:
            failure = Failure(
                ErrorKind.STORE_UNAVAILABLE,
                'the withdrawal reached neither the platform nor any agent',
            )
            return self._output.warn(failure, 'give reachable agents with --agent URL')
        if not in_platform:
            advice = 'the agents record it once the platform is available'
            failure = Failure(
                ErrorKind.TIMED_OUT,
                'the withdrawal is not recorded in the platform yet',
            )
            return self._output.warn(failure, advice)
        return ExitStatus.SUCCESS

    async def _withdraw_in_platform(self, key_hash: str) -> tuple[bool, str]:
        store = self._context.store()
        if isinstance(store, Failure):
            return False, 'not given'
        submitted = self._context.submission(store)
        recorded = await record_withdrawal(store, submitted, key_hash)
        if isinstance(recorded, Failure):
            return False, f'not recorded ({recorded.reason})'
        # Hosts refuse a withdrawn key whether or not it is also removed from the
        # configuration.
        removed = await submitted.remove_key(key_hash)
        if isinstance(removed, Failure):
            self._output.warn(
                removed, 'hosts refuse the key, but `key list` still shows it'
            )
        return True, ''

    async def _list(self) -> ExitStatus:
        store = self._context.store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        current = await submission.read_accepted_root(store)
        if isinstance(current, Failure):
            return self._output.fail(current)
        records = await submission.read_keys(store, current)
        if isinstance(records, Failure):
            return self._output.fail(records)
        self._output.result(
            [f'{record.key_hash} {record.organisation}' for record in records],
            generation=current.root.generation,
            keys=records,
        )
        return ExitStatus.SUCCESS


async def record_withdrawal(
    store: ObjectStore,
    submitted: Submission,
    key_hash: str,
) -> Failure | None:
    """Write a withdrawal; an existing one counts as success."""
    writer = ObjectWriter(store, submitted.name)
    written = await writer.create(submission.WITHDRAWAL_KIND, key_hash, b'{}')
    if isinstance(written, Failure) and written.kind is not ErrorKind.STORE_CONFLICT:
        return written
    return None
