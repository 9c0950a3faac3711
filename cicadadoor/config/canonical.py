"""Print a configuration in one form only, and read it back."""

import sys

import msgspec

from cicadadoor.config import checks, chunks, model
from cicadadoor.config.builder import Deployment
from cicadadoor.errors import ErrorKind, ExitStatus, Failure


def render(configuration: model.Configuration) -> bytes:
    """Return the canonical text of a configuration."""
    compact = msgspec.json.encode(configuration, order='sorted')
    return msgspec.json.format(compact, indent=2) + b'\n'


def parse(text: bytes) -> model.Configuration | Failure:
    """Read a printed configuration; CONFIG_INVALID says where it is malformed."""
    try:
        return msgspec.json.decode(text, type=model.Configuration)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.CONFIG_INVALID, f'malformed configuration: {error}')


def digest(configuration: model.Configuration) -> str:
    """Return the digest that operators review and submit."""
    return chunks.digest_sections(chunks.digests(chunks.split(configuration)))


def print_configuration(deployment: Deployment) -> None:
    """Print the deployment's configuration, or its faults, and exit."""
    configuration = deployment.build()
    faults = checks.find_faults(configuration)
    for fault in faults:
        sys.stderr.write(f'error: {fault}\n')
    if faults:
        sys.exit(ExitStatus.INVALID)
    sys.stdout.buffer.write(render(configuration))
    sys.stderr.write(f'digest: {digest(configuration)}\n')
