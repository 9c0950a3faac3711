"""Provide the command-line tool for operators."""

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
        # fire printed the help of a command group that was given without a command.
        sys.exit(ExitStatus.USAGE)
    sys.exit(result)


class CommonFlags:
    """Extract the flags that all commands share from the arguments.

    fire would parse `--json status` as a flag with the value `status`, and would
    accept these flags only before a command.
    """

    def __init__(self, arguments: list[str]) -> None:
        self.platform = ''
        self.agents: list[str] = []
        self.as_json = False
        self.remaining: list[str] = []
        pending = iter(arguments)
        for argument in pending:
            name, separator, value = argument.partition('=')
            if argument == '--json':
                self.as_json = True
            elif name in {'--platform', '--agent'}:
                self._set_flag(name, value if separator else next(pending, ''))
            else:
                self.remaining.append(_quote_python_literal(argument))

    def _set_flag(self, name: str, value: str) -> None:
        if name == '--platform':
            self.platform = value
        else:
            self.agents.append(value)


def _quote_python_literal(argument: str) -> str:
    # fire parses Python literals, so a name such as `1e5` would become a number. Only
    # such arguments are quoted; command names must stay unquoted.
    flag, separator, value = argument.partition('=')
    if flag.startswith('--') and separator:
        return f'{flag}={_quote_python_literal(value)}'
    try:
        ast.literal_eval(argument)
    except (ValueError, SyntaxError):
        return argument
    return repr(argument)


def _serialize_result(result: object) -> object:
    return None if isinstance(result, ExitStatus) else result


if __name__ == '__main__':
    main()
