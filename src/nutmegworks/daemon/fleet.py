"""Runs a daemon on the users' platform."""
from __future__ import annotations

import gc
import importlib
import logging
import sys
import typing

from nutmegworks.daemon import slim

EXIT_BAD_SETTINGS: typing.Final = 2
# Per kind of decision; a wide job starts and ends in a hundred lines.
DECISION_LINES_PER_SECOND: typing.Final = 100


def main() -> int:
    """Return the exit code: 0 after a graceful stop, 1 if it took too long."""
    # These imports follow the deferral, which decides what they load.
    slim.defer_modules()
    node = importlib.import_module('nutmegworks.daemon.fleetnode')
    curio = importlib.import_module('curio')
    logbook = importlib.import_module('logbook')
    logs = importlib.import_module('nutmegworks.telemetry.logs')
    logging.getLogger('curio').setLevel(logging.ERROR)
    logs.JsonHandler(
        sys.stdout,
        level='info',
        lines_per_second=DECISION_LINES_PER_SECOND,
    ).push_application()
    log = logbook.Logger('node')
    try:
        settings = node.read_settings()
    except (KeyError, OSError, ValueError) as error:
        print(f'the settings are not valid: {error}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    daemon = node.FleetNode(settings)
    # Modules live as long as the process; collecting them again costs time.
    gc.collect()
    gc.freeze()
    log.info('node starts', host=settings.member_id)
    finished = curio.run(daemon.run)
    log.info('node stopped', finished=finished)
    return 0 if finished else 1


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main', )
