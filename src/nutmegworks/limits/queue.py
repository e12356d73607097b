"""Bounded request queues, one per team, with weighted fair queueing."""
from __future__ import annotations

import collections
import dataclasses
import itertools
import typing

from nutmegworks.model import ids

MAX_WAITING_PER_TEAM: typing.Final = 512
MAX_WAITING: typing.Final = 2048
# A team without a guarantee is still served, with this fraction of the sum of
# all guarantees.
MIN_SHARE_FRACTION: typing.Final = 0.01

Item = typing.TypeVar('Item')
Ticket = typing.NewType('Ticket', int)


@dataclasses.dataclass(slots=True)
class _TeamQueue(typing.Generic[Item]):
    """The queue of one team.

    :param normalized_work: work served divided by share; the team with the
        lowest value is served next.
    """

    share: float
    normalized_work: float = 0.0
    item_by_ticket: collections.OrderedDict[
        Ticket,
        Item,
    ] = dataclasses.field(default_factory=collections.OrderedDict)


class TeamQueues(typing.Generic[Item]):
    """Serves the waiting team with the least work received for its share.

    Guarantees, with c the largest cost of an item:

    - A team has at most ``max_per_team`` items, all teams ``max_total``.
    - While two teams a and b both wait, the work that each has received since
      both began to wait, divided by its share, differs by at most
      c / share(a) + c / share(b).
    - A team accrues no credit while its queue is empty.
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
        self._min_share = 1.0
        self._queue_by_id: dict[ids.TeamId, _TeamQueue[Item]] = {}
        self._next_ticket = itertools.count()
        self._total_count = 0
        self._virtual_time = 0.0

    def set_shares(
        self,
        share_by_id: typing.Mapping[ids.TeamId, float],
    ) -> None:
        """Set the guarantees, for example accelerators by team."""
        total = sum(share_by_id.values())
        self._share_by_id = dict(share_by_id)
        self._min_share = total * MIN_SHARE_FRACTION if total > 0 else 1.0
        for team_id, team_queue in self._queue_by_id.items():
            team_queue.share = self._share(team_id)

    def _share(self, team_id: ids.TeamId) -> float:
        return max(self._min_share, self._share_by_id.get(team_id, 0.0))

    def push(self, team_id: ids.TeamId, item: Item) -> Ticket | None:
        """Add an item.

        :return: None if the queue is full.
        """
        if self._total_count >= self._max_total:
            return None
        team_queue = self._queue_by_id.get(team_id)
        if team_queue is None:
            team_queue = _TeamQueue(self._share(team_id))
            self._queue_by_id[team_id] = team_queue
        if len(team_queue.item_by_ticket) >= self._max_per_team:
            return None
        if not team_queue.item_by_ticket:
            team_queue.normalized_work = max(
                team_queue.normalized_work, self._virtual_time
            )
        ticket = Ticket(next(self._next_ticket))
        team_queue.item_by_ticket[ticket] = item
        self._total_count += 1
        return ticket

    def pop(self, *, cost: float = 1.0) -> Item | None:
        """Remove and return the item to serve next.

        :param cost: expected work, in any unit that all items share.
        :return: None if no item waits.
        """
        waiting = [
            (team_queue.normalized_work, team_id)
            for team_id, team_queue in self._queue_by_id.items()
            if team_queue.item_by_ticket
        ]
        if not waiting:
            return None
        normalized_work, team_id = min(waiting)
        team_queue = self._queue_by_id[team_id]
        self._virtual_time = max(self._virtual_time, normalized_work)
        team_queue.normalized_work += cost / team_queue.share
        self._total_count -= 1
        return team_queue.item_by_ticket.popitem(last=False)[1]

    def remove(self, team_id: ids.TeamId, ticket: Ticket) -> bool:
        """Remove a waiting item.

        :return: False if it has already been served or removed.
        """
        team_queue = self._queue_by_id.get(team_id)
        if team_queue is None or ticket not in team_queue.item_by_ticket:
            return False
        del team_queue.item_by_ticket[ticket]
        self._total_count -= 1
        return True

    def waiting_count(self, team_id: ids.TeamId) -> int:
        """Return the number of waiting items of a team."""
        team_queue = self._queue_by_id.get(team_id)
        return len(team_queue.item_by_ticket) if team_queue else 0

    def current_share(self, team_id: ids.TeamId) -> float:
        """Return the fraction of the capacity that a team gets now.

        Counts the team itself and all other teams with waiting items.
        """
        own_share = self._share(team_id)
        other_shares = sum(
            team_queue.share
            for other_id, team_queue in self._queue_by_id.items()
            if team_queue.item_by_ticket and other_id != team_id
        )
        return own_share / (own_share + other_shares)

    def __len__(self) -> int:
        return self._total_count


__all__ = (
    'MAX_WAITING',
    'MAX_WAITING_PER_TEAM',
    'MIN_SHARE_FRACTION',
    'TeamQueues',
    'Ticket',
)
