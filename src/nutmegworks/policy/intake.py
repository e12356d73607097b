"""Decides which connections give way when memory or descriptors run short.

Requests of ordinary size and the daemon's own traffic have parts of the memory
that large bodies can't take. Beyond that, connections that make no progress
lose what they hold to those that do.
"""
from __future__ import annotations

import dataclasses
import enum
import math
import typing

HolderId = typing.NewType('HolderId', int)

# Bodies above this size share the part of the memory for large ones; ordinary
# requests are a few kilobytes.
SMALL_BODY_BYTES: typing.Final = 16 * 1024
# A request that sends fewer bytes in STALL_SECONDS makes no progress.
PROGRESS_BYTES: typing.Final = 1024
STALL_SECONDS: typing.Final = 1.0


class Kind(enum.Enum):
    """What memory is taken for."""

    LARGE_BODY = 'large-body'
    SMALL_BODY = 'small-body'
    INTERNAL = 'internal'


# Share of the whole budget up to which each kind may take.
SHARE_BY_KIND: typing.Final = {
    Kind.LARGE_BODY: 0.5,
    Kind.SMALL_BODY: 0.75,
    Kind.INTERNAL: 1.0,
}


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    HANDLING = 'handling'
    ANSWERING = 'answering'
    REFUSED = 'refused'


# Seconds without progress after which a connection in a phase may be closed.
# A request that is being handled may take effect, so it is never closed.
_LIMIT_BY_PHASE: typing.Final = {
    Phase.IDLE: STALL_SECONDS,
    Phase.RECEIVING: STALL_SECONDS,
    Phase.HANDLING: math.inf,
    Phase.ANSWERING: STALL_SECONDS,
    Phase.REFUSED: 0.0,
}

# Whether a connection in a phase may be closed at any time before its process
# ends: no request of it has begun to take effect.
IS_UNHANDLED: typing.Final = {
    Phase.IDLE: True,
    Phase.RECEIVING: True,
    Phase.HANDLING: False,
    Phase.ANSWERING: False,
    Phase.REFUSED: True,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A connection as the choice sees it.

    :param held: bytes.
    :param quiet: seconds without progress.
    """

    holder_id: HolderId
    phase: Phase
    held: int
    quiet: float


def kind_of_body(size: int) -> Kind:
    """Return what a body of a size in bytes takes memory for."""
    if size > SMALL_BODY_BYTES:
        return Kind.LARGE_BODY
    return Kind.SMALL_BODY


def may_give_way(holder: Holder) -> bool:
    """Return whether a connection may be closed in favour of others."""
    return holder.quiet >= _LIMIT_BY_PHASE[holder.phase]


def choose_for_bytes(
    holders: typing.Iterable[Holder],
    needed: int,
) -> tuple[HolderId, ...]:
    """Return the connections to close, those that hold most first.

    :param needed: bytes.
    :return: empty if closing all that may be closed frees too little.
    """
    candidates = sorted(
        filter(may_give_way, holders),
        key=lambda holder: (holder.held, holder.quiet),
        reverse=True,
    )
    chosen: list[HolderId] = []
    for holder in candidates:
        if needed <= 0:
            break
        chosen.append(holder.holder_id)
        needed -= holder.held
    return tuple(chosen) if needed <= 0 else ()


def choose_for_connection(
    holders: typing.Iterable[Holder],
) -> HolderId | None:
    """Return the connection to close for a new one, the longest quiet.

    :return: None if all of them make progress.
    """
    candidates = filter(may_give_way, holders)
    longest = max(candidates, key=lambda holder: holder.quiet, default=None)
    return None if longest is None else longest.holder_id


__all__ = (
    'Holder',
    'HolderId',
    'IS_UNHANDLED',
    'Kind',
    'PROGRESS_BYTES',
    'Phase',
    'SHARE_BY_KIND',
    'SMALL_BODY_BYTES',
    'STALL_SECONDS',
    'choose_for_bytes',
    'choose_for_connection',
    'kind_of_body',
    'may_give_way',
)
