"""Passes the remaining time of a request from hop to hop.

Hosts' clocks differ, so a hop tells the next one how much time is left, never
a time of day.
"""
from __future__ import annotations

import math
import typing

import result

MAX_DIGITS: typing.Final = 9
# An answer needs this long to get back to the caller.
HOP_SECONDS: typing.Final = 0.003
# An attempt that may be repeated takes at most this part of the time left, so
# that a silent connection leaves time for another one.
ATTEMPT_PART: typing.Final = 0.5
MIN_ATTEMPT_SECONDS: typing.Final = 0.001


def parse(text: str) -> result.Result[float, str]:
    """Read a number of milliseconds.

    :return: seconds.

    >>> parse('1500')
    Ok(1.5)
    >>> parse('-1')
    Err('not a number of milliseconds')
    """
    digits = text.isascii() and text.isdigit()
    if not digits or len(text) > MAX_DIGITS:
        return result.Err('not a number of milliseconds')
    return result.Ok(int(text) / 1000)


def header(left: float) -> str:
    """Return what to tell the next hop; rounded down, so it never grows.

    :param left: seconds left here.

    >>> header(1.5)
    '1497'
    """
    return str(max(0, math.floor((left - HOP_SECONDS) * 1000)))


def attempt_timeout(left: float, *, may_repeat: bool) -> float:
    """Return the seconds that one attempt may take.

    :param may_repeat: whether another attempt may follow.
    """
    usable = left - HOP_SECONDS
    if may_repeat:
        usable *= ATTEMPT_PART
    return max(MIN_ATTEMPT_SECONDS, usable)


__all__ = (
    'ATTEMPT_PART',
    'HOP_SECONDS',
    'MIN_ATTEMPT_SECONDS',
    'attempt_timeout',
    'header',
    'parse',
)
