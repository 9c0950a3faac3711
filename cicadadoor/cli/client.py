"""Call agents on behalf of the operators' command."""

import httpx
import msgspec

from cicadadoor.agent.operator_api import HostStatus, WithdrawalAnswer
from cicadadoor.errors import ErrorKind, Failure

_CALL_TIMEOUT_S = 5.0


async def read_status(agent_url: str) -> HostStatus | Failure:
    """Return the status that an agent knows; PEER_UNREACHABLE if it is away."""
    return await _call('GET', f'{agent_url}/v1/status', HostStatus)


async def withdraw(agent_url: str, key_hash: str) -> WithdrawalAnswer | Failure:
    """Hand a withdrawal to an agent."""
    return await _call(
        'POST',
        f'{agent_url}/v1/withdrawals',
        WithdrawalAnswer,
        msgspec.json.encode({'key_hash': key_hash}),
    )


async def _call(
    method: str,
    url: str,
    wanted: type,
    content: bytes | None = None,
) -> 'HostStatus | WithdrawalAnswer | Failure':
    try:
        async with httpx.AsyncClient(
            timeout=_CALL_TIMEOUT_S, trust_env=False
        ) as client:
            answer = await client.request(method, url, content=content)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return Failure(
            ErrorKind.PEER_UNREACHABLE,
            f'agent {url}: {type(error).__name__}',
        )
    if not answer.is_success:
        return Failure(
            ErrorKind.PEER_UNREACHABLE,
            f'agent {url}: status {answer.status_code}',
        )
    try:
        return msgspec.json.decode(answer.content, type=wanted)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.MESSAGE_INVALID, f'agent {url}: {error}')
