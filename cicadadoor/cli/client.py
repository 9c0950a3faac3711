"""Client of the agents' operator API."""

import httpx
import msgspec

from cicadadoor.agent.operator_api import HostStatus, WithdrawalAnswer
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.http_client import DirectClient, fetch
from cicadadoor.json_decoding import decode_json

_CALL_TIMEOUT_S = 5.0
# A status lists every host of the fleet.
_MAX_ANSWER_BYTES = 16_777_216


async def read_status(agent_url: str) -> HostStatus | Failure:
    """Return the status that an agent reports, or PEER_UNREACHABLE."""
    return await _call('GET', f'{agent_url}/v1/status', HostStatus)


async def withdraw(agent_url: str, key_hash: str) -> WithdrawalAnswer | Failure:
    """Send the withdrawal of a key to an agent."""
    return await _call(
        'POST',
        f'{agent_url}/v1/withdrawals',
        WithdrawalAnswer,
        msgspec.json.encode({'key_hash': key_hash}),
    )


async def _call(
    method: str,
    url: str,
    answer_type: type,
    content: bytes | None = None,
) -> 'HostStatus | WithdrawalAnswer | Failure':
    try:
        async with DirectClient(timeout=_CALL_TIMEOUT_S, trust_env=False) as client:
            answer = await fetch(
                client,
                method,
                url,
                limit_bytes=_MAX_ANSWER_BYTES,
                within_s=2 * _CALL_TIMEOUT_S,
                content=content,
            )
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return Failure(
            ErrorKind.PEER_UNREACHABLE,
            f'request to agent {url} failed: {type(error).__name__}',
        )
    if not answer.is_success:
        return Failure(
            ErrorKind.PEER_UNREACHABLE,
            f'request to agent {url} failed: status {answer.status}',
        )
    try:
        return decode_json(answer.content, type=answer_type)
    except msgspec.MsgspecError as error:
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'request to agent {url} failed: malformed answer: {error}',
        )
