"""Runs ``nutmegd`` from a settings file; ``nutmegd run`` executes it."""
from __future__ import annotations

import gc
import importlib
import logging
import sys
import typing

from nutmegworks.daemon import deferred_imports

EXIT_BAD_SETTINGS: typing.Final = 2


def main(arguments: typing.Sequence[str]) -> int:
    """Return the exit code: 0 after a graceful stop, 1 if it took too long."""
    # Imported here, because the deferral determines what these imports load.
    deferred_imports.defer_modules()
    loader = importlib.import_module('nutmegworks.settings.loader')
    outcome = loader.load(arguments[0])
    if outcome.is_err():
        for fault in outcome.err_value:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = outcome.ok_value
    curio = importlib.import_module('curio')
    logbook = importlib.import_module('logbook')
    logs = importlib.import_module('nutmegworks.telemetry.logs')
    compose = importlib.import_module('nutmegworks.daemon.compose')
    # curio logs a warning for each operation that ends just after its timeout,
    # which is harmless and frequent under load.
    logging.getLogger('curio').setLevel(logging.ERROR)
    handler = logs.JsonHandler(level=settings.telemetry_level)
    handler.push_application()
    daemon = compose.Daemon(settings)
    # Modules live until the process exits, so later garbage collections need
    # not spend time on them.
    gc.collect()
    gc.freeze()
    log = logbook.Logger('daemon')
    log.info('daemon starting', host_id=settings.daemon_host_id)
    finished = curio.run(daemon.run)
    log.info('daemon stopped', finished=finished)
    return 0 if finished else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

__all__ = ('main', )
