"""Print the status of the fleet, or wait until a generation is in force."""

import time

import anyio
import msgspec

from cicadadoor.agent.operator_api import HostStatus
from cicadadoor.cli import client
from cicadadoor.cli.context import Context
from cicadadoor.decisions.confirmation import Confirmation, confirm
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.links.membership_messages import DomainSummary

_POLL_S = 0.5


async def show_status(context: Context, wait: int, timeout_s: int) -> ExitStatus:
    """Print the status once, or wait until a generation is in force everywhere."""
    end_s = time.monotonic() + timeout_s
    while True:
        status = await _read_first_available(context.agents)
        if isinstance(status, Failure):
            if not wait or time.monotonic() >= end_s:
                return context.output.fail(status)
            await anyio.sleep(_POLL_S)
            continue
        confirmation = _confirm(status, wait)
        is_over = not wait or confirmation.in_force or time.monotonic() >= end_s
        if is_over:
            return _print_status(context, status, confirmation)
        await anyio.sleep(_POLL_S)


async def _read_first_available(agents: list[str]) -> HostStatus | Failure:
    found: HostStatus | Failure = Failure(
        ErrorKind.BAD_REQUEST,
        'no agent is given; use --agent URL or CICADADOOR_AGENTS',
    )
    for agent in agents:
        found = await client.read_status(agent)
        if isinstance(found, HostStatus):
            return found
    return found


def _confirm(status: HostStatus, wait: int) -> Confirmation:
    generation = wait or status.agent_generation
    summaries = [status.domain, *status.other_domains]
    is_held = generation == status.agent_generation
    digest = status.agent_digest if is_held else status.domain.digest
    return confirm(generation, status.failure_domains, summaries, digest)


def _print_status(
    context: Context,
    status: HostStatus,
    confirmation: Confirmation,
) -> ExitStatus:
    number = confirmation.generation
    word = 'in force everywhere' if confirmation.in_force else 'NOT in force everywhere'
    lines = [
        f'generation {number}: {word}',
        f'hosts that reported it: {confirmation.hosts_confirmed}',
        *(f'behind: {host}' for host in confirmation.behind),
        *(f'unreachable: {host}' for host in confirmation.unreachable),
    ]
    if status.unrecorded_withdrawals:
        lines.append(
            f'withdrawals not yet in the platform: {status.unrecorded_withdrawals}',
        )
    for summary in (status.domain, *status.other_domains):
        lines.extend(_load_lines(summary))
    context.output.result(
        lines,
        confirmation=confirmation,
        status=msgspec.to_builtins(status),
    )
    return ExitStatus.SUCCESS if confirmation.in_force else ExitStatus.NOT_EVERYWHERE


def _load_lines(summary: DomainSummary) -> list[str]:
    age = f'age {summary.load_age_s:.1f} s'
    figures = (
        ('region', summary.load.by_region),
        ('link', summary.load.by_link),
        ('organisation', summary.load.by_organisation),
    )
    return [
        f'load from {summary.failure_domain}: {what} {name} {rate:.1f}/s, {age}'
        for what, rates in figures
        for name, rate in sorted(rates.items())
    ]
