"""Run the operators' command."""

import sys

import fire

from cicadadoor.cli.commands import Commands
from cicadadoor.errors import ExitStatus


def main() -> None:
    """Run `cicadadoor COMMAND`."""
    result = fire.Fire(Commands, name='cicadadoor', serialize=_hide_status)
    sys.exit(result if isinstance(result, ExitStatus) else ExitStatus.USAGE)


def _hide_status(result: object) -> object:
    return None if isinstance(result, ExitStatus) else result


if __name__ == '__main__':
    main()
