"""Messages between daemons.

They are encoded as arrays. New fields go to the end and need a default, so
that daemons of two versions understand each other during an upgrade.
"""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.configuration import change

HEARTBEAT_PATH: typing.Final = '/peer/heartbeat'
PULL_PATH: typing.Final = '/peer/configuration/pull'
OFFER_PATH: typing.Final = '/peer/configuration/offer'


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """One member as the sender knows it.

    :param generation: rises whenever the member itself changes its record.
    :param state: value of ``members.MemberState``.
    :param incarnation: identifies one run of the member's process.
    :param address: ``ip:port`` for messages between daemons.
    """

    member_id: str
    generation: int
    state: str
    incarnation: str
    address: str
    domain: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Both the request and the reply of a heartbeat exchange.

    :param sequence: of the configuration in force; 0 if there is none.
    :param age: milliseconds since this sequence was known to be the latest;
        None if it never was.
    :param news: other members whose state changed recently.
    """

    sender: MemberNews
    sequence: int
    age: int | None
    news: tuple[MemberNews, ...] = ()


class Pull(msgspec.Struct, frozen=True, array_like=True):
    """Asks for all changes after a sequence."""

    after: int


class Missing(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Pull``.

    :param changes: consecutive changes.
    :param snapshot: an encoded ``records.Snapshot`` that comes before the
        changes; empty if it is not needed.
    """

    changes: tuple[change.AcceptedChange, ...] = ()
    snapshot: bytes = b''


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive changes that the receiver may lack.

    :param age: as in ``Heartbeat``.
    """

    changes: tuple[change.AcceptedChange, ...]
    age: int | None = None


class Known(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Offer``: the sequence now in force."""

    sequence: int


__all__ = (
    'HEARTBEAT_PATH',
    'Heartbeat',
    'Known',
    'MemberNews',
    'Missing',
    'OFFER_PATH',
    'Offer',
    'PULL_PATH',
    'Pull',
)
