"""Limits what data of others can do to their reader."""
from __future__ import annotations

import contextlib
import typing

import msgspec


@contextlib.contextmanager
def nesting_limit() -> typing.Iterator[None]:
    """Report data that is nested too deeply like any other damaged data.

    :raises msgspec.DecodeError: in place of RecursionError.
    """
    try:
        yield
    except RecursionError as error:
        raise msgspec.DecodeError('nested too deeply') from error


__all__ = ('nesting_limit', )
