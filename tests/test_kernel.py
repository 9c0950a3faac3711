"""Run and stop the services of a process."""

import anyio
import pytest

from cicadadoor.kernel import Kernel, Service


class _Resource(Service):
    """Hold a resource, and use it in the background as a prober does."""

    name = 'resource'

    def __init__(self, fails_at_once: bool) -> None:
        self._is_closed = anyio.Event()
        self._fails_at_once = fails_at_once

    async def start(self, kernel: Kernel) -> None:
        """Begin to use the resource."""
        kernel.spawn(self._use)

    async def stop(self, grace_s: float) -> None:
        """Close the resource, and let what uses it notice."""
        self._is_closed.set()
        await anyio.sleep(0.01)

    async def _use(self) -> None:
        if not self._fails_at_once:
            await self._is_closed.wait()
        raise RuntimeError('the resource is closed')


async def _run(resource: _Resource) -> str:
    kernel = Kernel()
    kernel.register(resource)

    async def wait_for_signal() -> None:
        await anyio.sleep(0.01)

    return await kernel.run(wait_for_signal, 0)


class TestStop:
    """Guard against a planned stop that ends in a fault."""

    def test_task_that_meets_a_closed_resource_does_not_fail_the_stop(self):
        """Services close their resources while tasks may still use them."""
        assert not anyio.run(_run, _Resource(fails_at_once=False))

    def test_task_that_fails_before_the_stop_ends_the_process(self):
        """A process without one of its tasks must not seem well."""
        with pytest.raises(BaseExceptionGroup):
            anyio.run(_run, _Resource(fails_at_once=True))
