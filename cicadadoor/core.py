"""Build and run a daemon from its settings file."""

import gc
import os
import signal
import sys
from collections.abc import Callable
from typing import Any

import anyio

from cicadadoor import settings as settings_module
from cicadadoor.errors import AddressInUseError, ExitStatus, Failure
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import logs, tracing

# A request allocates a few hundred objects, so about one collection runs per 100
# requests.
_GC_THRESHOLD_OBJECTS = 20_000

log = logs.logger('core')

BuildKernel = Callable[[Any], Kernel]
LoadSettings = Callable[[str], Any]


def run_daemon(
    program: str,
    arguments: list[str],
    build: BuildKernel,
    load: LoadSettings = settings_module.load,
    configure_logs: Callable[[str], None] = logs.configure,
    end_process: Callable[[int], Any] | None = None,
) -> ExitStatus:
    """Run until SIGTERM or SIGINT; invalid settings fail before a socket is opened.

    `end_process` is called with the exit status once all services have stopped.
    """
    if len(arguments) != 1 or arguments[0].startswith('-'):
        sys.stderr.write(f'usage: {program} SETTINGS_FILE\n')
        asked_for_help = arguments in (['--help'], ['-h'])
        return ExitStatus.SUCCESS if asked_for_help else ExitStatus.USAGE
    settings = load(arguments[0])
    if isinstance(settings, Failure):
        sys.stderr.write(f'{program}: {settings.reason}\n')
        return ExitStatus.USAGE
    configure_logs(settings.log_level)
    tracing.configure(program, settings.trace_sample_ratio)
    # Objects loaded so far live as long as the process; exclude them from collection.
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_OBJECTS)
    try:
        return anyio.run(_run, program, settings, build, end_process)
    except Exception as error:
        in_use = _find_address_in_use(error)
        if in_use is not None:
            sys.stderr.write(f'{program}: {in_use}\n')
            return ExitStatus.UNAVAILABLE
        log.exception('ended_by_fault', program=program)
        raise


def _find_address_in_use(error: BaseException) -> AddressInUseError | None:
    if isinstance(error, AddressInUseError):
        return error
    for inner in getattr(error, 'exceptions', ()):
        found = _find_address_in_use(inner)
        if found is not None:
            return found
    return None


async def _run(
    program: str,
    settings: Any,
    build: BuildKernel,
    end_process: Callable[[int], Any] | None,
) -> ExitStatus:
    kernel = build(settings)
    log.info('started', program=program, host=settings.host, pid=os.getpid())
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def wait_for_signal() -> None:
            received = await anext(signals)
            log.info('stopping', program=program, signal=received.name)

        unfinished = await kernel.run(
            wait_for_signal, settings.grace_s, settings.stop_s
        )
        status = _report_end(program, unfinished)
        if end_process is not None:
            end_process(status)
    return status


def _report_end(program: str, unfinished: str) -> ExitStatus:
    if unfinished:
        log.warning('stopped_with_work_left', program=program, left=unfinished)
        return ExitStatus.STOPPED_WITH_WORK_LEFT
    log.info('stopped', program=program)
    return ExitStatus.SUCCESS
