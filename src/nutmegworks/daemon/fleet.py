"""Runs the daemon on the users' platform, which schedules tasks of steps."""
from __future__ import annotations

import gc
import importlib
import logging
import sys
import typing

from nutmegworks.daemon import deferred_imports

EXIT_BAD_SETTINGS: typing.Final = 2
# Limit for each log event; a job of many tasks writes a hundred lines of one
# event when it starts and when it ends.
LINES_PER_SECOND_PER_EVENT: typing.Final = 100


def main() -> int:
    """Return the exit code: 0 after a graceful stop, 1 if it took too long."""
    # Imported here, because the deferral determines what these imports load.
    deferred_imports.defer_modules()
    fleetnode = importlib.import_module('nutmegworks.daemon.fleetnode')
    curio = importlib.import_module('curio')
    logbook = importlib.import_module('logbook')
    logs = importlib.import_module('nutmegworks.telemetry.logs')
    logging.getLogger('curio').setLevel(logging.ERROR)
    log_stream = importlib.import_module('nutmegworks.telemetry.log_stream')
    logs.JsonHandler(
        log_stream.LogStream(sys.stdout.fileno()),
        level='info',
        lines_per_second=LINES_PER_SECOND_PER_EVENT,
    ).push_application()
    log = logbook.Logger('node')
    try:
        settings = fleetnode.read_settings()
    except (KeyError, OSError, ValueError) as error:
        print(f'the settings are not valid: {error}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    daemon = fleetnode.FleetNode(settings)
    # Modules live until the process exits, so later garbage collections need
    # not spend time on them.
    gc.collect()
    gc.freeze()
    log.info('daemon starting', host=settings.member_id)
    finished = curio.run(daemon.run)
    log.info('daemon stopped', finished=finished)
    return 0 if finished else 1


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main', )
