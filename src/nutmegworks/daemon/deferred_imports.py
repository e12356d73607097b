"""Defers the import of standard modules that the daemons do not use.

curio imports ssl, and asyncio for bridges to other event loops; logbook
imports ssl for its mail handler. Together they take 6 of the daemon's 32 MB.
The daemons use no TLS and no second event loop.
"""
from __future__ import annotations

import importlib
import sys
import types
import typing


class _DeferredModule(types.ModuleType):
    """Placeholder that imports its module when an attribute is first used."""

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith('__'):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


def defer_modules() -> None:
    """Import curio and logbook without loading asyncio and ssl.

    Must be called before anything imports these; otherwise it does nothing.
    """
    if 'asyncio' in sys.modules or 'ssl' in sys.modules:
        return
    sys.modules['asyncio'] = _DeferredModule('asyncio')
    # curio defines substitutes for the exceptions if ssl can't be imported.
    sys.modules['ssl'] = typing.cast(types.ModuleType, None)
    importlib.import_module('curio')
    sys.modules['ssl'] = _DeferredModule('ssl')
    importlib.import_module('logbook')


__all__ = ('defer_modules', )
