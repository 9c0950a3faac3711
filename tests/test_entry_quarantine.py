"""Test over running hosts that quarantines reach other hosts and outlive one."""

from functools import partial

import pytest

from cicadadoor.decisions.request_quarantine import (
    CRASHES_TO_REFUSE,
    RequestQuarantine,
)
from cicadadoor.entry.quarantine import CrashWatch
from tests.utils.entry_hosts import Deployment, run_deployed
from tests.utils.waiting import until

_SERVERS = 4
_REQUESTS = 8


async def _crash_servers(deployment: Deployment, fault: str = 'reset') -> None:
    for worker in deployment.workers.values():
        worker.script = [fault for _ in range(_REQUESTS)]
    for number in range(_REQUESTS):
        await deployment.call('/look/crash', host=number % len(deployment.hosts))
    for worker in deployment.workers.values():
        worker.script = []


async def _hold_everywhere(deployment: Deployment) -> None:
    for number, _ in enumerate(deployment.hosts):
        await until(partial(_holds_one, deployment.find('quarantine', number)))


def _holds_one(crashes: CrashWatch) -> bool:
    return crashes._quarantine.active_count == 1


class TestQuarantineOfAFleet:
    """Guard against a quarantine that holds at one host only."""

    @pytest.mark.parametrize('fault', ('reset', 'head_cut_at_40', 'head_cut_at_-1'))
    def test_request_is_refused_at_all_hosts(self, fault):
        async def work(deployment):
            await _crash_servers(deployment, fault)
            await _hold_everywhere(deployment)
            runs = deployment.runs
            for number, _ in enumerate(deployment.hosts):
                answer = await deployment.call('/look/crash', host=number)
                assert answer.status_code == 503
                sound = await deployment.call('/look/sound', host=number)
                assert sound.status_code == 200
            assert deployment.runs == runs + len(deployment.hosts)

        run_deployed(work, workers=_SERVERS, hosts=3)

    def test_host_that_has_forgotten_the_crashes_learns_them_again(self):
        """Counts were kept by the host alone that had seen the crash."""

        async def work(deployment):
            await _crash_servers(deployment)
            await _hold_everywhere(deployment)
            for number in (0, 1):
                # As after a restart of two of the three hosts at once.
                crashes = deployment.find('quarantine', number)
                crashes._quarantine = RequestQuarantine(number)
            await _hold_everywhere(deployment)
            fingerprints = list(deployment.find('quarantine')._quarantine._entries)
            count = deployment.find('quarantine').crash_count(fingerprints[0])
            assert count >= CRASHES_TO_REFUSE

        run_deployed(work, workers=_SERVERS, hosts=3)


class TestReadiness:
    """Guard against a host that serves callers before it knows the quarantines."""

    def test_host_is_ready_only_once_it_has_asked_the_others(self):
        async def work(deployment):
            crashes = deployment.find('quarantine')
            await until(lambda: crashes.is_informed)
            answer = await deployment.platform_call('/v1/readyz')
            assert answer.status_code == 200
            crashes._has_heard_all = False
            crashes._started_s = crashes._timer.now_s() + 100
            # Heartbeats of a host that is silent from here on.
            crashes._membership.peers.heard = lambda now_s: []
            answer = await deployment.platform_call('/v1/readyz')
            assert answer.status_code == 503

        run_deployed(work, hosts=2)
