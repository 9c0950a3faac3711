"""Provide the store client, agent URLs and output that all commands use."""

import getpass
import os
import time

from cicadadoor.cli.output import Output
from cicadadoor.config.submission import Submission, SubmissionResult
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.object_store.http import HttpObjectStore


def parse_whole_number(name: str, given: object) -> int | Failure:
    """Parse a whole number that fire passes as text; BAD_REQUEST if invalid."""
    text = str(given)
    if text.isdecimal():
        return int(text)
    return Failure(
        ErrorKind.BAD_REQUEST, f'{name}: {text!r} must be a whole number of 0 or more'
    )


class Context:
    """Hold the platform URL, the agent URLs and the output format."""

    def __init__(self, platform: str, agents: list[str], *, as_json: bool) -> None:
        self.platform = platform or os.environ.get('CICADADOOR_PLATFORM', '')
        given = os.environ.get('CICADADOOR_AGENTS', '')
        self.agents = agents or [url for url in given.split(',') if url]
        self.agents = [url.rstrip('/') for url in self.agents]
        self.output = Output(as_json=as_json)

    def store(self) -> HttpObjectStore | Failure:
        """Return a client of the platform's store; BAD_REQUEST without a platform."""
        if not self.platform:
            return Failure(
                ErrorKind.BAD_REQUEST,
                'no platform is given; use --platform URL or CICADADOOR_PLATFORM',
            )
        return HttpObjectStore(self.platform.rstrip('/'))

    def submission(self, store: HttpObjectStore) -> Submission:
        """Return a submission with the current user as author."""
        return Submission(store, getpass.getuser(), time.time())

    def fail_submission(self, submission: Submission, failure: Failure) -> ExitStatus:
        """Print why a submission failed and what to do next; return the exit code."""
        advice = _ADVICE.get(failure.kind, '')
        if failure.kind is ErrorKind.STORE_OUTCOME_UNKNOWN:
            advice = (
                'it may have been accepted or may still be; before you repeat it, run '
                f'`cicadadoor outcome {submission.name} {submission.generation}`'
            )
        return self.output.fail(failure, advice)

    def accepted_line(self, outcome: SubmissionResult) -> str:
        """Return the line that is printed for an accepted submission."""
        accepted = outcome.accepted
        number = accepted.root.generation
        if not outcome.is_new:
            return f'no change, generation {number} stays, digest {accepted.digest}'
        return f'accepted generation {number}, digest {accepted.digest}'


_ADVICE = {
    ErrorKind.CONFIG_CONFLICT: 'compare again with `cicadadoor plan`',
    ErrorKind.STORE_CONFLICT: 'others submit at the same time; try again',
    ErrorKind.STORE_UNAVAILABLE: 'nothing was accepted; retry once the platform is up',
}
