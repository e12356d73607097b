"""Defines the uses of an accelerator; each has one use at a time."""
from __future__ import annotations

import enum
import typing

import msgspec

from nutmegworks.model import ids

# Replaces names in rows and reasons that a ledger aggregates at its limit.
OTHERS: typing.Final = '(others)'


class Category(enum.Enum):
    """What an accelerator is used for; the values are stored in reports."""

    GUARANTEED = 'guaranteed'
    BORROWED = 'borrowed'
    LENT = 'lent'
    RECLAIMED = 'reclaimed'
    IDLE = 'idle'
    IDLE_SCATTERED = 'idle-scattered'
    QUARANTINED = 'quarantined'
    LOST = 'lost'


MEANING_BY_CATEGORY: typing.Final = {
    Category.GUARANTEED:
    'Used by a team within its own guarantee.',
    Category.BORROWED:
    'Used by a team beyond its guarantee, on capacity guaranteed to nobody.',
    Category.LENT:
    'Used by a team beyond its guarantee, on capacity guaranteed to another '
    'team, the lender, which had no use for it.',
    Category.RECLAIMED:
    'Being given back: the lender asked for it, and the job of the borrower '
    'was being saved and stopped.',
    Category.IDLE:
    'Free, and the largest configured job would have fitted.',
    Category.IDLE_SCATTERED:
    'Free, but too scattered for the largest configured job.',
    Category.QUARANTINED:
    'Withheld because every task on the worker failed.',
    Category.LOST:
    'The worker was down, or a failure undid work that was not yet saved.',
}

# Categories in which an accelerator ran a job whose work was not lost.
PRODUCTIVE: typing.Final = frozenset(
    {Category.GUARANTEED, Category.BORROWED, Category.LENT}
)
_OCCUPIED: typing.Final = PRODUCTIVE | {Category.RECLAIMED}
_NEEDS_LENDER: typing.Final = frozenset({Category.LENT, Category.RECLAIMED})
_MAY_HAVE_LENDER: typing.Final = _NEEDS_LENDER | {
    Category.IDLE,
    Category.IDLE_SCATTERED,
}


class UseError(ValueError):
    """A use contradicts the definition of its category."""


class Use(msgspec.Struct, frozen=True, array_like=True):
    """What one accelerator is used for.

    :param team_id: the team whose job occupies it; empty if no job does.
    :param class_id: the class of that job.
    :param lender_id: the team to which the capacity is guaranteed, if it is
        not the team that occupies it.
    :raises UseError: if the teams contradict the category.
    """

    category: Category
    team_id: ids.TeamId = ids.TeamId('')
    class_id: ids.ClassId = ids.ClassId('')
    lender_id: ids.TeamId = ids.TeamId('')

    def __post_init__(self) -> None:
        if self.category in _OCCUPIED and not self.team_id:
            raise UseError(f'{self.category.value} needs a team')
        if self.category in _NEEDS_LENDER and not self.lender_id:
            raise UseError(f'{self.category.value} needs a lender')
        if self.lender_id and self.category not in _MAY_HAVE_LENDER:
            raise UseError(f'{self.category.value} has no lender')
        if self.lender_id == self.team_id not in ('', OTHERS):
            raise UseError(f'{self.team_id} cannot lend to itself')


def running(
    team_id: ids.TeamId,
    class_id: ids.ClassId,
    owner_id: ids.TeamId,
) -> Use:
    """Return the use of an accelerator that runs a job.

    :param owner_id: the team that it is guaranteed to; empty if to no team.

    >>> running('north', 'plan', 'south').category
    <Category.LENT: 'lent'>
    """
    if owner_id == team_id:
        return Use(Category.GUARANTEED, team_id, class_id)
    if not owner_id:
        return Use(Category.BORROWED, team_id, class_id)
    return Use(Category.LENT, team_id, class_id, owner_id)


__all__ = (
    'Category',
    'MEANING_BY_CATEGORY',
    'OTHERS',
    'PRODUCTIVE',
    'Use',
    'UseError',
    'running',
)
