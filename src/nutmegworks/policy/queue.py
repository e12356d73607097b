"""Queue of waiting jobs, grouped so that a blocked shape is tried only once.

The jobs of one team, class and shape form a group and are served in the order
of acceptance. The queue order ranks the groups by their first jobs.

Used by nutmegd's gang scheduler. The platform daemon sorts waiting tasks in
``task_demand``.
"""
from __future__ import annotations

import itertools
import typing

import sortedcontainers

from nutmegworks.model import ids
from nutmegworks.policy import interfaces
from nutmegworks.policy import job as jobs

GroupKey: typing.TypeAlias = tuple[str, ...]


def group_key(job: jobs.Job) -> GroupKey:
    """Return the key of the group to which a job belongs."""
    return (job.spec.team_id, job.spec.class_id, str(job.spec.shape))


class JobQueue:
    """Waiting jobs in the order in which they are to be served."""

    def __init__(self, order: interfaces.QueueOrder) -> None:
        self._order = order
        self._job_by_id: dict[ids.JobId, jobs.Job] = {}
        self._group_by_key: dict[GroupKey, sortedcontainers.SortedList] = {}
        self._rank_by_key: dict[GroupKey, typing.Any] = {}
        self._ranked = sortedcontainers.SortedList()
        self._refresh_after: typing.Any = None

    def __len__(self) -> int:
        return len(self._job_by_id)

    def __contains__(self, job: jobs.Job) -> bool:
        return job.job_id in self._job_by_id

    def add(self, job: jobs.Job, now: float) -> None:
        self._job_by_id[job.job_id] = job
        key = group_key(job)
        group = self._group_by_key.get(key)
        if group is None:
            group = self._group_by_key[key] = sortedcontainers.SortedList()
        group.add((job.accepted_at, job.job_id))
        if group[0][1] == job.job_id:
            self._update_rank(key, now)

    def discard(self, job: jobs.Job, now: float) -> None:
        if self._job_by_id.pop(job.job_id, None) is None:
            return
        key = group_key(job)
        group = self._group_by_key[key]
        was_first = group[0][1] == job.job_id
        group.remove((job.accepted_at, job.job_id))
        if not group:
            self._ranked.remove(self._rank_by_key.pop(key))
            del self._group_by_key[key]
        elif was_first:
            self._update_rank(key, now)

    def first(self, key: GroupKey) -> jobs.Job | None:
        """Return the first job of a group, or None if it is empty."""
        group = self._group_by_key.get(key)
        return self._job_by_id[group[0][1]] if group else None

    def keys(self) -> list[GroupKey]:
        """Return the keys of all groups; linear in their number."""
        return list(self._group_by_key)

    def rank(self, key: GroupKey) -> typing.Any:
        """Return a group's position in the order, or None if it is empty."""
        return self._rank_by_key.get(key)

    def ranked_groups(
        self,
        limit: int,
        after: typing.Any = None,
    ) -> list[typing.Any]:
        """Return up to ``limit`` ranks in order; each ends with a group key.

        :param after: the last rank of the previous call; None starts with the
            first group.
        """
        if after is None:
            return list(itertools.islice(self._ranked, limit))
        following = self._ranked.irange(after, inclusive=(False, True))
        return list(itertools.islice(following, limit))

    def refresh(self, limit: int, now: float) -> None:
        """Recompute the ranks of up to ``limit`` groups, in rotation."""
        ranks = self.ranked_groups(limit, self._refresh_after)
        self._refresh_after = ranks[-1] if len(ranks) == limit else None
        for rank in ranks:
            self._update_rank(rank[-1], now)

    def _update_rank(self, key: GroupKey, now: float) -> None:
        """Recompute the rank of a group from its first job."""
        job = self.first(key)
        sort_key = self._order.sort_key(
            job.job_id,
            job.work_class,
            job.spec.team_id,
            job.accepted_at,
            now,
        )
        rank = (sort_key, key)
        old_rank = self._rank_by_key.get(key)
        if old_rank == rank:
            return
        if old_rank is not None:
            self._ranked.remove(old_rank)
        self._rank_by_key[key] = rank
        self._ranked.add(rank)


__all__ = ('GroupKey', 'JobQueue', 'group_key')
