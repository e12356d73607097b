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


def to_member(news: messages.MemberUpdate) -> members.Member | None:
    """Return the record; None if a newer daemon sent an unknown state."""
    try:
        return members.Member(
            ids.MemberId(news.member_id),
            news.generation,
            members.MemberState(news.state),
            ids.Incarnation(news.incarnation),
            hosts.parse_address(news.address),
            ids.DomainId(news.domain),
        )
    except ValueError:
        return None


__all__ = ('to_member', 'to_message')
