"""Print and parse the canonical form of a configuration."""

import sys

import msgspec

from cicadadoor.config import checks, chunks, model
from cicadadoor.config.builder import Deployment
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.json_decoding import decode_json


def render(configuration: model.Configuration) -> bytes:
    """Return the canonical text of a configuration."""
    compact = msgspec.json.encode(configuration, order='sorted')
    return msgspec.json.format(compact, indent=2) + b'\n'


def parse(text: bytes) -> model.Configuration | Failure:
    """Return a parsed configuration, or CONFIG_INVALID with the error's position."""
    try:
        return decode_json(text, type=model.Configuration)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.CONFIG_INVALID, f'malformed configuration: {error}')


def digest(configuration: model.Configuration) -> str:
    """Return the digest that operators review and submit."""
    return chunks.digest_sections(chunks.digests(chunks.split(configuration)))


def print_configuration(deployment: Deployment) -> None:
    """Print the configuration, or its validation errors and exit with INVALID."""
    configuration = deployment.build()
    validation_errors = checks.find_errors(configuration)
    for line in validation_errors:
        sys.stderr.write(f'error: {line}\n')
    if validation_errors:
        sys.exit(ExitStatus.INVALID)
    sys.stdout.buffer.write(render(configuration))
    sys.stderr.write(f'digest: {digest(configuration)}\n')
