"""Attributes running accelerators to the guarantees of teams."""
from __future__ import annotations

import collections
import typing

from nutmegworks.accounting import use
from nutmegworks.model import ids

TeamClass = tuple[ids.TeamId, ids.ClassId]


def attribute(
    running: typing.Mapping[TeamClass, int],
    guaranteed: typing.Mapping[ids.TeamId, int],
    unguaranteed: int,
) -> dict[use.Use, int]:
    """Return the number of running accelerators by use.

    A team first uses its own guarantee, then capacity that is guaranteed to
    no team, then the unused guarantees of other teams, the largest first. If
    less capacity exists than is guaranteed, the remaining accelerators count
    as borrowed.

    :param running: accelerators that run jobs, by team and class.
    :param guaranteed: accelerators of the guaranteed shapes, by team.
    :param unguaranteed: accelerators that are guaranteed to no team.

    >>> counts = attribute({('a', 'plan'): 12}, {'a': 4, 'b': 8}, 3)
    >>> [(item.category.value, item.lender_id, count)
    ...  for item, count in counts.items()]
    [('guaranteed', '', 4), ('borrowed', '', 3), ('lent', 'b', 5)]
    """
    unused = collections.Counter(guaranteed)
    counts: collections.Counter = collections.Counter()
    excess: list[tuple[TeamClass, int]] = []
    for (team_id, class_id), count in sorted(running.items()):
        own = min(count, unused[team_id])
        unused[team_id] -= own
        counts[use.running(team_id, class_id, team_id)] += own
        excess.append(((team_id, class_id), count - own))
    lendable = _LendableCapacity(unused, unguaranteed)
    for (team_id, class_id), count in excess:
        for owner_id, part in lendable.take(count):
            counts[use.running(team_id, class_id, owner_id)] += part
    return {item: count for item, count in counts.items() if count}


class _LendableCapacity:
    """Unused capacity of all teams, in the order in which it is lent."""

    def __init__(
        self,
        unused: collections.Counter,
        unguaranteed: int,
    ) -> None:
        no_team = ids.TeamId('')
        owners = sorted(unused.items(), key=lambda pair: (-pair[1], pair[0]))
        self._remaining = collections.deque([(no_team, max(0, unguaranteed))])
        self._remaining.extend(owners)

    def take(
        self,
        count: int,
    ) -> typing.Iterator[tuple[ids.TeamId, int]]:
        while count and self._remaining:
            owner_id, available = self._remaining.popleft()
            part = min(count, available)
            count -= part
            if available > part:
                self._remaining.appendleft((owner_id, available - part))
            if part:
                yield owner_id, part
        if count:
            yield ids.TeamId(''), count


__all__ = ('TeamClass', 'attribute')
