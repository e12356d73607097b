"""Header names of the caller interface, in lower case."""
from __future__ import annotations

import typing

ATTEMPT: typing.Final = 'nutmeg-attempt'
CLASS: typing.Final = 'nutmeg-class'
DEADLINE: typing.Final = 'nutmeg-deadline-ms'
KEY: typing.Final = 'idempotency-key'
REPLAYED: typing.Final = 'nutmeg-replayed'
REQUEST_ID: typing.Final = 'nutmeg-request-id'
VERDICT: typing.Final = 'nutmeg-verdict'

__all__ = (
    'ATTEMPT',
    'CLASS',
    'DEADLINE',
    'KEY',
    'REPLAYED',
    'REQUEST_ID',
    'VERDICT',
)
