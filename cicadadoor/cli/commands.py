"""Define the operators' commands."""

import sys
from pathlib import Path

import anyio

from cicadadoor.cli.context import Context, parse_whole_number
from cicadadoor.cli.explain_command import explain
from cicadadoor.cli.key_commands import KeyCommands
from cicadadoor.cli.status_command import show_status
from cicadadoor.cli.steering_commands import (
    DrainCommands,
    HoldCommands,
    ShiftCommands,
)
from cicadadoor.config import acceptance, canonical, checks, chunks, diff, model
from cicadadoor.config.submission import Change, merge_submission, read_accepted_root
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.object_store.base import ObjectStore


class Commands:
    """Operate a cicadadoor deployment.

    Every command accepts these flags, before or after its name:

      --platform=URL  the platform's object API; default $CICADADOOR_PLATFORM
      --agent=URL     the operator API of an agent, may be repeated;
                      default $CICADADOOR_AGENTS, separated by commas
      --json          print one JSON object
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._output = context.output
        self.key = KeyCommands(context)
        self.shift = ShiftCommands(context.store, context.output)
        self.hold = HoldCommands(context.store, context.output)
        self.drain = DrainCommands(context.store, context.output)

    def validate(self, file: str) -> ExitStatus:
        """Check a printed configuration and print its digest."""
        configuration = _read_configuration(file)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        digest = canonical.digest(configuration)
        self._output.result([f'valid, digest {digest}'], digest=digest)
        return ExitStatus.SUCCESS

    def explain(self, request_id: str, *files: str) -> ExitStatus:
        """Print the events of a request from the log files of entry hosts."""
        return explain(self._output, request_id, files)

    def plan(self, file: str) -> ExitStatus:
        """Print what submitting a file would change."""
        configuration = _read_configuration(file)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        return anyio.run(self._plan, configuration)

    def submit(self, file: str, digest: str, base: int) -> ExitStatus:
        """Submit a file as the new configuration.

        `digest` is the reviewed digest and `base` the generation that the review
        compared with; `plan` prints both. Changes that others made to sections
        since the base are kept. A section that the file changes as well is a
        conflict.
        """
        configuration = _read_configuration(file)
        if isinstance(configuration, Failure):
            return self._output.fail(configuration)
        base_generation = parse_whole_number('base', base)
        if isinstance(base_generation, Failure):
            return self._output.fail(base_generation)
        reviewed = canonical.digest(configuration)
        if reviewed != digest:
            failure = Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'{file} has digest {reviewed}, but {digest} was reviewed',
            )
            return self._output.fail(
                failure, 'review the file again with `cicadadoor plan`'
            )
        return anyio.run(self._submit, configuration, base_generation)

    def outcome(self, submission: str, generation: int) -> ExitStatus:
        """Print whether a submission with an unknown outcome was accepted."""
        number = parse_whole_number('generation', generation)
        if isinstance(number, Failure):
            return self._output.fail(number)
        return anyio.run(self._outcome, submission, number)

    def get(self, section: str = '') -> ExitStatus:
        """Print the accepted configuration, or one section of it."""
        return anyio.run(self._get, section)

    def status(self, wait: int = 0, timeout_s: int = 60) -> ExitStatus:
        """Print generation and load as reported by the first agent that answers.

        With --wait=GENERATION, wait until every expected host has reported the
        generation. After `timeout_s`, list the hosts that are behind or unreachable.
        """
        generation = parse_whole_number('wait', wait)
        if isinstance(generation, Failure):
            return self._output.fail(generation)
        limit_s = parse_whole_number('timeout_s', timeout_s)
        if isinstance(limit_s, Failure):
            return self._output.fail(limit_s)
        return anyio.run(show_status, self._context, generation, limit_s)

    async def _plan(self, configuration: model.Configuration) -> ExitStatus:
        store = self._context.store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        current = await read_accepted_root(store)
        if isinstance(current, Failure):
            return self._output.fail(current)
        base = current.root.generation if current else 0
        submitted = chunks.split(configuration)
        change = await merge_submission(store, current, base, submitted)
        if isinstance(change, Failure):
            return self._output.fail(change)
        changes = await self._differences(store, current, change)
        if isinstance(changes, Failure):
            return self._output.fail(changes)
        digest = canonical.digest(configuration)
        lines = [f'base {base}', f'digest {digest}', *changes]
        self._output.result(lines, base=base, digest=digest, changes=changes)
        return ExitStatus.SUCCESS

    async def _differences(
        self,
        store: ObjectStore,
        current: acceptance.AcceptedRoot | None,
        change: Change,
    ) -> list[str] | Failure:
        digests = current.root.section_digests if current else {}
        needed = {name: digests[name] for name in change.sections if name in digests}
        before = await acceptance.read_sections(store, needed)
        if isinstance(before, Failure):
            return before
        after = {
            name: part for name, part in change.sections.items() if part is not None
        }
        return diff.sections(before, after)

    async def _submit(
        self,
        configuration: model.Configuration,
        base: int,
    ) -> ExitStatus:
        store = self._context.store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        submission = self._context.submission(store)
        outcome = await submission.submit(chunks.split(configuration), base)
        if isinstance(outcome, Failure):
            return self._context.fail_submission(submission, outcome)
        accepted = outcome.accepted
        generation = accepted.root.generation
        self._output.result(
            [self._context.accepted_line(outcome)],
            generation=generation,
            digest=accepted.digest,
            is_new=outcome.is_new,
            rebased=outcome.is_new and generation != base + 1,
        )
        return ExitStatus.SUCCESS

    async def _outcome(self, submission: str, generation: int) -> ExitStatus:
        store = self._context.store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        found = await acceptance.find_outcome(store, submission, generation)
        if isinstance(found, Failure):
            return self._output.fail(found, 'run the command again later')
        text = f'accepted as generation {generation}'
        if not found:
            text = 'not accepted, and never will be'
        self._output.result([text], accepted=found, generation=generation)
        return ExitStatus.SUCCESS if found else ExitStatus.CONFLICT

    async def _get(self, section: str) -> ExitStatus:
        store = self._context.store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        current = await read_accepted_root(store)
        if isinstance(current, Failure):
            return self._output.fail(current)
        digests = current.root.section_digests if current else {}
        if section and section not in digests:
            known = ', '.join(sorted(digests))
            wrong = Failure(
                ErrorKind.BAD_REQUEST,
                f'section {section!r} does not exist; known: {known}',
            )
            return self._output.fail(wrong)
        if section:
            digests = {section: digests[section]}
        found = await acceptance.read_sections(store, digests)
        if isinstance(found, Failure):
            return self._output.fail(found)
        self._output.sections(current.root.generation if current else 0, found)
        return ExitStatus.SUCCESS


def _read_configuration(file: str) -> model.Configuration | Failure:
    try:
        text = sys.stdin.buffer.read() if file == '-' else Path(file).read_bytes()
    except OSError as error:
        return Failure(ErrorKind.BAD_REQUEST, f'{file}: {error.strerror}')
    configuration = canonical.parse(text)
    if isinstance(configuration, Failure):
        return configuration
    validation_errors = checks.find_errors(configuration)
    if validation_errors:
        return Failure(ErrorKind.CONFIG_INVALID, '; '.join(validation_errors))
    return configuration
