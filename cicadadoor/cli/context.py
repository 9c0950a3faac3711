"""Share what all groups of commands need."""

import getpass
import os
import time

from cicadadoor.cli.output import Output
from cicadadoor.config.submission import Accepted, Submission
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.object_store.http import HttpObjectStore


def whole_number(name: str, given: object) -> int | Failure:
    """Read a number that fire hands over as text."""
    text = str(given)
    if text.isdecimal():
        return int(text)
    return Failure(ErrorKind.BAD_REQUEST, f'{name}: {text!r} is no whole number')


class Context:
    """Hold the platform, the agents and the form of the output."""

    def __init__(self, platform: str, agents: list[str], *, as_json: bool) -> None:
        self.platform = platform or os.environ.get('CICADADOOR_PLATFORM', '')
        given = os.environ.get('CICADADOOR_AGENTS', '')
        self.agents = agents or [url for url in given.split(',') if url]
        self.agents = [url.rstrip('/') for url in self.agents]
        self.output = Output(as_json=as_json)

    def store(self) -> HttpObjectStore | Failure:
        """Return the platform's store; BAD_REQUEST if no platform is given."""
        if not self.platform:
            return Failure(
                ErrorKind.BAD_REQUEST,
                'no platform is given; use --platform URL or CICADADOOR_PLATFORM',
            )
        return HttpObjectStore(self.platform.rstrip('/'))

    def submission(self, store: HttpObjectStore) -> Submission:
        """Return a submission in the name of the present user."""
        return Submission(store, getpass.getuser(), time.time())

    def fail_submission(self, submission: Submission, failure: Failure) -> ExitStatus:
        """Tell why a submission was not accepted, and what to do next."""
        advice = _ADVICE.get(failure.kind, '')
        if failure.kind is ErrorKind.STORE_OUTCOME_UNKNOWN:
            advice = (
                'it may have been accepted, or may still be; find out with '
                f'`cicadadoor outcome {submission.name} {submission.generation}` '
                'before you repeat it'
            )
        return self.output.fail(failure, advice)

    def accepted_line(self, outcome: Accepted) -> str:
        """Return what is told about an accepted submission."""
        accepted = outcome.accepted
        number = accepted.root.generation
        if not outcome.is_new:
            return f'no change, generation {number} stays, digest {accepted.digest}'
        return f'accepted generation {number}, digest {accepted.digest}'


_ADVICE = {
    ErrorKind.CONFIG_CONFLICT: 'compare again with `cicadadoor plan`',
    ErrorKind.STORE_CONFLICT: 'others submit at the same time; try again',
    ErrorKind.STORE_UNAVAILABLE: 'nothing was accepted; try again when it is back',
}
