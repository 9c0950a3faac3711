"""Offer the operators' commands."""

import getpass
import os
import secrets
import sys
import time
from pathlib import Path

import anyio
import msgspec

from cicadadoor.cli.output import Output
from cicadadoor.cli.steering_commands import (
    DrainCommands,
    HoldCommands,
    ShiftCommands,
)
from cicadadoor.config import acceptance, canonical, checks, chunks, diff, model
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.ids import digest_of, new_instance_id
from cicadadoor.object_store.http import HttpObjectStore
from cicadadoor.object_store.writes import ObjectWriter

_KEY_BYTES = 24


class Commands:
    """Operate a cicadadoor deployment.

    `platform` is the URL of the platform's object API; the default is taken from
    the environment variable CICADADOOR_PLATFORM.
    """

    def __init__(self, *, platform: str = '', json: bool = False) -> None:
        self._platform = platform or os.environ.get('CICADADOOR_PLATFORM', '')
        self._output = Output(as_json=json)
        self.shift = ShiftCommands(self._open_store, self._output)
        self.hold = HoldCommands(self._open_store, self._output)
        self.drain = DrainCommands(self._open_store, self._output)

    def validate(self, file: str) -> ExitStatus:
        """Check a printed configuration and print its digest."""
        configuration = self._read(file)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        digest = canonical.digest(configuration)
        self._output.result([f'valid, digest {digest}'], digest=digest)
        return ExitStatus.SUCCESS

    def plan(self, file: str) -> ExitStatus:
        """Print the difference between a file and what is accepted."""
        configuration = self._read(file)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        return anyio.run(self._plan, configuration)

    def submit(self, file: str, digest: str, base: int) -> ExitStatus:
        """Make a file the accepted configuration.

        `digest` is the one that was reviewed and `base` the generation that the
        review compared with; both are printed by `plan`.
        """
        configuration = self._read(file)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        reviewed = canonical.digest(configuration)
        if reviewed != digest:
            failure = Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'{file} has digest {reviewed}, not the reviewed {digest}',
            )
            return self._output.fail(failure, 'review it again with `plan`')
        return anyio.run(self._submit, configuration, base)

    def key_grant(self, organisation: str) -> ExitStatus:
        """Make a key for an organisation and print it once."""
        return anyio.run(self._key_grant, organisation)

    async def _plan(self, configuration: model.Configuration) -> ExitStatus:
        accepted = await self._accepted()
        if isinstance(accepted, Failure):
            return self._output.fail(accepted)
        digest = canonical.digest(configuration)
        base = accepted.root.generation if accepted else 0
        changes = await self._changes(accepted, configuration)
        if isinstance(changes, Failure):
            return self._output.fail(changes)
        lines = [f'base {base}', f'digest {digest}', *changes]
        self._output.result(lines, base=base, digest=digest, changes=changes)
        return ExitStatus.SUCCESS

    async def _submit(
        self,
        configuration: model.Configuration,
        base: int,
    ) -> ExitStatus:
        accepted = await self._accepted()
        if isinstance(accepted, Failure):
            return self._output.fail(accepted)
        present = accepted.root.generation if accepted else 0
        if present != base:
            author = accepted.root.author if accepted else '-'
            failure = Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'generation {present} by {author} is accepted, not base {base}',
            )
            return self._output.fail(failure, 'compare again with `plan`')
        sections = chunks.split(configuration)
        if accepted is not None:
            kept = await self._keep_keys(accepted, sections)
            if isinstance(kept, Failure):
                return self._output.fail(kept)
        return await self._accept(accepted, sections)

    async def _key_grant(self, organisation: str) -> ExitStatus:
        accepted = await self._accepted()
        if isinstance(accepted, Failure):
            return self._output.fail(accepted)
        if accepted is None:
            failure = Failure(ErrorKind.CONFIG_INVALID, 'no configuration is accepted')
            return self._output.fail(failure, 'submit one first')
        sections = await acceptance.read_sections(
            self._store(),
            accepted.root.section_digests,
        )
        if isinstance(sections, Failure):
            return self._output.fail(sections)
        configuration = chunks.join(sections)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        key = secrets.token_urlsafe(_KEY_BYTES)
        record = model.KeyRecord(
            key_hash=digest_of(key.encode()),
            organisation=organisation,
        )
        granted = msgspec.structs.replace(
            configuration,
            keys=(*configuration.keys, record),
        )
        faults = checks.find_faults(granted)
        if faults:
            return self._output.fail(Failure(ErrorKind.CONFIG_INVALID, faults[0]))
        status = await self._accept(accepted, chunks.split(granted))
        if status is ExitStatus.SUCCESS:
            self._output.result([f'key {key}'], key=key, key_hash=record.key_hash)
        return status

    async def _accept(
        self,
        accepted: acceptance.AcceptedRoot | None,
        sections: dict[str, bytes],
    ) -> ExitStatus:
        writer = ObjectWriter(self._store(), new_instance_id())
        submitter = acceptance.Submitter(self._store(), writer)
        author = getpass.getuser()
        result = await submitter.submit(accepted, sections, author, time.time())
        if isinstance(result, Failure):
            return self._output.fail(result)
        generation = result.root.generation
        line = f'accepted generation {generation}, digest {result.digest}'
        self._output.result([line], generation=generation, digest=result.digest)
        return ExitStatus.SUCCESS

    async def _accepted(self) -> acceptance.AcceptedRoot | Failure | None:
        if not self._platform:
            return _no_platform()
        found = await acceptance.read_root(self._store())
        is_first = (
            isinstance(found, Failure) and found.kind is ErrorKind.STORE_NOT_FOUND
        )
        return None if is_first else found

    async def _changes(
        self,
        accepted: acceptance.AcceptedRoot | None,
        configuration: model.Configuration,
    ) -> list[str] | Failure:
        wanted = chunks.split(configuration)
        if accepted is None:
            return diff.sections({}, wanted)
        present = await acceptance.read_sections(
            self._store(),
            accepted.root.section_digests,
        )
        if isinstance(present, Failure):
            return present
        wanted['keys'] = present['keys']
        return diff.sections(present, wanted)

    async def _keep_keys(
        self,
        accepted: acceptance.AcceptedRoot,
        sections: dict[str, bytes],
    ) -> Failure | None:
        digest = accepted.root.section_digests['keys']
        kept = await acceptance.read_sections(self._store(), {'keys': digest})
        if isinstance(kept, Failure):
            return kept
        sections.update(kept)
        return None

    def _open_store(self) -> HttpObjectStore | Failure:
        return self._store() if self._platform else _no_platform()

    def _store(self) -> HttpObjectStore:
        return HttpObjectStore(self._platform)

    def _read(self, file: str) -> model.Configuration | Failure:
        try:
            text = sys.stdin.buffer.read() if file == '-' else Path(file).read_bytes()
        except OSError as error:
            return Failure(ErrorKind.BAD_REQUEST, f'{file}: {error.strerror}')
        configuration = canonical.parse(text)
        if isinstance(configuration, Failure):
            return configuration
        faults = checks.find_faults(configuration)
        if faults:
            return Failure(ErrorKind.CONFIG_INVALID, '; '.join(faults))
        return configuration


def _no_platform() -> Failure:
    return Failure(
        ErrorKind.BAD_REQUEST,
        'no platform is given; use --platform URL or CICADADOOR_PLATFORM',
    )
