"""Run the operators' command."""

import ast
import sys

import fire

from cicadadoor.cli.commands import Commands
from cicadadoor.cli.context import Context
from cicadadoor.errors import ExitStatus


def main() -> None:
    """Run `cicadadoor COMMAND`."""
    flags = CommonFlags(sys.argv[1:])
    context = Context(flags.platform, flags.agents, as_json=flags.as_json)
    result = fire.Fire(
        Commands(context),
        command=flags.remaining,
        name='cicadadoor',
        serialize=_serialize_result,
    )
    if not isinstance(result, ExitStatus):
        # A group without a command has printed its help.
        sys.exit(ExitStatus.USAGE)
    sys.exit(result)


class CommonFlags:
    """Take the flags of all commands out of the arguments.

    fire would read `--json status` as a flag with the value `status`, and would
    offer the flags only where they stand before a command.
    """

    def __init__(self, arguments: list[str]) -> None:
        self.platform = ''
        self.agents: list[str] = []
        self.as_json = False
        self.remaining: list[str] = []
        waiting = iter(arguments)
        for argument in waiting:
            name, separator, content = argument.partition('=')
            if argument == '--json':
                self.as_json = True
            elif name in {'--platform', '--agent'}:
                self._set_flag(name, content if separator else next(waiting, ''))
            else:
                self.remaining.append(_quote_literal(argument))

    def _set_flag(self, name: str, content: str) -> None:
        if name == '--platform':
            self.platform = content
        else:
            self.agents.append(content)


def _quote_literal(argument: str) -> str:
    # fire would turn a name such as `1e5` into a number. Only what it would turn is
    # quoted, so that names of commands are left as they are.
    flag, separator, content = argument.partition('=')
    if flag.startswith('--') and separator:
        return f'{flag}={_quote_literal(content)}'
    try:
        ast.literal_eval(argument)
    except (ValueError, SyntaxError):
        return argument
    return repr(argument)


def _serialize_result(result: object) -> object:
    return None if isinstance(result, ExitStatus) else result


if __name__ == '__main__':
    main()
