"""Keeps standard modules that the daemon never uses out of its memory.

curio imports asyncio for bridges to other event loops, and ssl; logbook
imports ssl for mail. Both together take 6 of the daemon's 32 MB. The daemon
speaks no TLS and has no second event loop.
"""
from __future__ import annotations

import importlib
import sys
import types
import typing


class _Deferred(types.ModuleType):
    """Stands for a module until one of its attributes is used."""

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith('__'):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


def defer_modules() -> None:
    """Import curio and logbook without asyncio and ssl.

    Call it before anything else imports them.
    """
    if 'asyncio' in sys.modules or 'ssl' in sys.modules:
        return
    sys.modules['asyncio'] = _Deferred('asyncio')
    # curio provides its own exceptions if ssl can't be imported.
    sys.modules['ssl'] = typing.cast(types.ModuleType, None)
    importlib.import_module('curio')
    sys.modules['ssl'] = _Deferred('ssl')
    importlib.import_module('logbook')


__all__ = ('defer_modules', )
