"""Runs one daemon from a settings file; started by ``nutmegd run``."""
from __future__ import annotations

import gc
import sys
import typing

import curio
import logbook
import result

from nutmegworks.daemon import compose
from nutmegworks.settings import loader
from nutmegworks.telemetry import logs

EXIT_BAD_SETTINGS: typing.Final = 2


def main(arguments: typing.Sequence[str]) -> int:
    """Return the exit code: 0 after a graceful stop, 1 if it took too long."""
    outcome = loader.load(arguments[0])
    if isinstance(outcome, result.Err):
        for fault in outcome.err_value:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = outcome.ok_value
    handler = logs.JsonHandler(level=settings.telemetry_level)
    handler.push_application()
    daemon = compose.Daemon(settings)
    # Modules live as long as the process; collecting them again costs time.
    gc.collect()
    gc.freeze()
    log = logbook.Logger('daemon')
    log.info('daemon starts', host_id=settings.daemon_host_id)
    finished = curio.run(daemon.run)
    log.info('daemon stopped', finished=finished)
    return 0 if finished else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

__all__ = ('main', )
