"""Propagates the remaining time of a request from hop to hop.

The clocks of hosts differ, so a hop sends the remaining time to the next one,
not a time of day.
"""
from __future__ import annotations

import math
import typing

import result

# Of a deadline in milliseconds, which is then below 12 days.
MAX_DIGITS: typing.Final = 9
# Reserved at each hop for sending the response back to the caller.
RESPONSE_TRANSIT_SECONDS: typing.Final = 0.003
# A retryable attempt may use at most this fraction of the remaining time, so
# that time for another attempt remains if the connection does not respond.
MAX_ATTEMPT_FRACTION: typing.Final = 0.5
MIN_ATTEMPT_SECONDS: typing.Final = 0.001


def parse_milliseconds(text: str) -> result.Result[float, str]:
    """Parse a number of milliseconds.

    :return: seconds, or the reason why the text is invalid.

    >>> parse_milliseconds('1500')
    Ok(1.5)
    >>> parse_milliseconds('-1')
    Err('not a number of milliseconds')
    """
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_DIGITS:
        return result.Err('not a number of milliseconds')
    return result.Ok(int(text) / 1000)


def header_value(remaining: float) -> str:
    """Return the deadline header for the next hop, in milliseconds.

    The value is rounded down, so that it never grows from hop to hop.

    :param remaining: seconds until the deadline at this hop.

    >>> header_value(1.5)
    '1497'
    """
    return str(
        max(0, math.floor((remaining - RESPONSE_TRANSIT_SECONDS) * 1000))
    )


def attempt_timeout(remaining: float, *, may_retry: bool) -> float:
    """Return the timeout of one attempt in seconds.

    :param remaining: seconds until the deadline.
    :param may_retry: whether another attempt may follow.
    """
    usable = remaining - RESPONSE_TRANSIT_SECONDS
    if may_retry:
        usable *= MAX_ATTEMPT_FRACTION
    return max(MIN_ATTEMPT_SECONDS, usable)


__all__ = (
    'MAX_ATTEMPT_FRACTION',
    'MIN_ATTEMPT_SECONDS',
    'RESPONSE_TRANSIT_SECONDS',
    'attempt_timeout',
    'header_value',
    'parse_milliseconds',
)
