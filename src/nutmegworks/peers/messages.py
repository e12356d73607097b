"""Messages between daemons.

Messages are encoded as arrays. New fields are added at the end with a default,
so that daemons of two versions can communicate during an upgrade.
"""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.configuration import change

HEARTBEAT_PATH: typing.Final = '/peer/heartbeat'
PULL_PATH: typing.Final = '/peer/configuration/pull'
OFFER_PATH: typing.Final = '/peer/configuration/offer'


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of one member as known to the sender.

    :param generation: increases whenever the member changes its own record.
    :param state: a value of ``members.MemberState``.
    :param incarnation: identifies the member's process; differs after a
        restart.
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

    :param sequence: sequence of the configuration in force; 0 if there is
        none.
    :param age: milliseconds since this sequence was last confirmed as the
        latest; None if it never was.
    :param news: updates about other members whose state changed recently.
    """

    sender: MemberUpdate
    sequence: int
    age: int | None
    news: tuple[MemberUpdate, ...] = ()


class Pull(msgspec.Struct, frozen=True, array_like=True):
    """Requests all changes of the configuration after a sequence."""

    after: int


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Pull``.

    :param changes: consecutive changes.
    :param snapshot: an encoded ``records.Snapshot`` to which the changes are
        applied; empty if it is not needed.
    """

    changes: tuple[change.AcceptedChange, ...] = ()
    snapshot: bytes = b''


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Sends consecutive changes that the receiver may lack.

    :param age: as in ``Heartbeat``.
    """

    changes: tuple[change.AcceptedChange, ...]
    age: int | None = None


class OfferReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Offer``.

    :param sequence: sequence of the receiver's configuration in force.
    """

    sequence: int


__all__ = (
    'HEARTBEAT_PATH',
    'Heartbeat',
    'MemberUpdate',
    'OFFER_PATH',
    'Offer',
    'OfferReply',
    'PULL_PATH',
    'Pull',
    'PullReply',
)
