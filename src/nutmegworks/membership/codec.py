"""Converts membership records to and from peer messages."""
from __future__ import annotations

from nutmegworks.adapters import hosts
from nutmegworks.membership import members
from nutmegworks.model import ids
from nutmegworks.peers import messages


def to_message(member: members.Member) -> messages.MemberUpdate:
    host, port = member.address
    return messages.MemberUpdate(
        member.member_id,
        member.generation,
        member.state.value,
        member.incarnation,
        f'{host}:{port}',
        member.domain_id,
    )


def to_member(update: messages.MemberUpdate) -> members.Member | None:
    """Return the record; None if its state or address is invalid.

    A newer daemon may send a state that this one does not support.
    """
    try:
        return members.Member(
            ids.MemberId(update.member_id),
            update.generation,
            members.MemberState(update.state),
            ids.Incarnation(update.incarnation),
            hosts.parse_address(update.address),
            ids.DomainId(update.domain),
        )
    except ValueError:
        return None


__all__ = ('to_member', 'to_message')
