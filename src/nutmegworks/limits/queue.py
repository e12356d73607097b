"""Bounded queues of requests, one per team, served by guaranteed share."""
from __future__ import annotations

import collections
import dataclasses
import itertools
import typing

from nutmegworks.model import ids

MAX_WAITING_PER_TEAM: typing.Final = 512
MAX_WAITING: typing.Final = 2048
# A team without a guarantee is still served, with this part of the sum of all
# guarantees.
MIN_SHARE: typing.Final = 0.01

Item = typing.TypeVar('Item')
Ticket = typing.NewType('Ticket', int)


@dataclasses.dataclass(slots=True)
class _Team(typing.Generic[Item]):
    """One team's queue.

    :param served: work served divided by share; the lowest is served next.
    """

    share: float
    served: float = 0.0
    item_by_ticket: collections.OrderedDict[
        Ticket,
        Item] = (dataclasses.field(default_factory=collections.OrderedDict))


class TeamQueues(typing.Generic[Item]):
    """Serves the waiting team that has received least for its share.

    Bounds, with c the largest cost of an item:

    - A queue has at most ``max_per_team`` items, all together ``max_total``.
    - From the moment that two teams a and b both wait and as long as they
      do, the work that each has received divided by its share differs by at
      most c / share(a) + c / share(b).
    - A team that begins to wait has no claim to the time that it did not use.
    - No slot stays idle while any team waits.
    """

    def __init__(
        self,
        *,
        max_per_team: int = MAX_WAITING_PER_TEAM,
        max_total: int = MAX_WAITING,
    ) -> None:
        self._max_per_team = max_per_team
        self._max_total = max_total
        self._share_by_id: dict[ids.TeamId, float] = {}
        self._least_share = 1.0
        self._team_by_id: dict[ids.TeamId, _Team[Item]] = {}
        self._tickets = itertools.count()
        self._total = 0
        self._virtual_time = 0.0

    def set_shares(
        self,
        share_by_id: typing.Mapping[ids.TeamId, float],
    ) -> None:
        """Adopt guarantees, for example accelerators by team."""
        total = sum(share_by_id.values())
        self._share_by_id = dict(share_by_id)
        self._least_share = total * MIN_SHARE if total > 0 else 1.0
        for team_id, team in self._team_by_id.items():
            team.share = self._share(team_id)

    def _share(self, team_id: ids.TeamId) -> float:
        return max(self._least_share, self._share_by_id.get(team_id, 0.0))

    def push(self, team_id: ids.TeamId, item: Item) -> Ticket | None:
        """Add an item; None if the queue is full."""
        if self._total >= self._max_total:
            return None
        team = self._team_by_id.get(team_id)
        if team is None:
            team = _Team(self._share(team_id))
            self._team_by_id[team_id] = team
        if len(team.item_by_ticket) >= self._max_per_team:
            return None
        if not team.item_by_ticket:
            team.served = max(team.served, self._virtual_time)
        ticket = Ticket(next(self._tickets))
        team.item_by_ticket[ticket] = item
        self._total += 1
        return ticket

    def pop(self, *, cost: float = 1.0) -> Item | None:
        """Remove the item that is served next; None if none waits.

        :param cost: expected work, in any unit that all items share.
        """
        waiting = [
            (team.served, team_id)
            for team_id, team in self._team_by_id.items()
            if team.item_by_ticket
        ]
        if not waiting:
            return None
        served, team_id = min(waiting)
        team = self._team_by_id[team_id]
        self._virtual_time = max(self._virtual_time, served)
        team.served += cost / team.share
        self._total -= 1
        return team.item_by_ticket.popitem(last=False)[1]

    def remove(self, team_id: ids.TeamId, ticket: Ticket) -> bool:
        """Remove an item that waits no longer; False if it was served."""
        team = self._team_by_id.get(team_id)
        if team is None or ticket not in team.item_by_ticket:
            return False
        del team.item_by_ticket[ticket]
        self._total -= 1
        return True

    def waiting(self, team_id: ids.TeamId) -> int:
        """Return the number of items of a team that wait."""
        team = self._team_by_id.get(team_id)
        return len(team.item_by_ticket) if team else 0

    def current_share(self, team_id: ids.TeamId) -> float:
        """Return the part of the capacity a team gets while it waits."""
        own = self._share(team_id)
        others = sum(
            team.share
            for other_id, team in self._team_by_id.items()
            if team.item_by_ticket and other_id != team_id
        )
        return own / (own + others)

    def __len__(self) -> int:
        return self._total


__all__ = (
    'MAX_WAITING',
    'MAX_WAITING_PER_TEAM',
    'MIN_SHARE',
    'TeamQueues',
    'Ticket',
)
