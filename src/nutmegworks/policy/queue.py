"""Waiting jobs, grouped so that a blocked shape is tried only once.

Jobs of one team, class and shape are served in the order of acceptance; the
queue order compares the first jobs of the groups.
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
            self._rank(key, now)

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
            self._rank(key, now)

    def first(self, key: GroupKey) -> jobs.Job | None:
        """Return the first job of a group, or None if it is empty."""
        group = self._group_by_key.get(key)
        return self._job_by_id[group[0][1]] if group else None

    def keys(self) -> list[GroupKey]:
        """Return the keys of all groups; linear in their number."""
        return list(self._group_by_key)

    def rank(self, key: GroupKey) -> typing.Any:
        """Return a group's place in the order, or None if it is empty."""
        return self._rank_by_key.get(key)

    def groups(self, limit: int, after: typing.Any = None) -> list[typing.Any]:
        """Return up to ``limit`` ranks in order; each ends with its key.

        :param after: the rank at which the last call stopped.
        """
        if after is None:
            return list(itertools.islice(self._ranked, limit))
        following = self._ranked.irange(after, inclusive=(False, True))
        return list(itertools.islice(following, limit))

    def refresh(self, limit: int, now: float) -> None:
        """Compute some sort keys again, all groups in turn."""
        ranks = self.groups(limit, self._refresh_after)
        self._refresh_after = ranks[-1] if len(ranks) == limit else None
        for rank in ranks:
            self._rank(rank[-1], now)

    def _rank(self, key: GroupKey, now: float) -> None:
        job = self.first(key)
        sort_key = self._order.sort_key(
            job.job_id,
            job.work_class,
            job.spec.team_id,
            job.accepted_at,
            now,
        )
        rank = (sort_key, key)
        old = self._rank_by_key.get(key)
        if old == rank:
            return
        if old is not None:
            self._ranked.remove(old)
        self._rank_by_key[key] = rank
        self._ranked.add(rank)


__all__ = ('GroupKey', 'JobQueue', 'group_key')
