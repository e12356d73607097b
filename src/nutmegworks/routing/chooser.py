"""Load-balancing policies: choose the upstream of one attempt."""
from __future__ import annotations

import abc
import dataclasses
import random
import typing

from nutmegworks.model import ids

# A new upstream is slow at first; it gets its full share of work after this.
SLOW_START_SECONDS: typing.Final = 10.0
MIN_SLOW_START_FRACTION: typing.Final = 0.1
# Weight of the attempts of other daemons, which are known only from reports.
# With weight 1, daemons that follow the same old reports choose the same
# upstreams: 0.29 refused attempts for each request, against 0.12 with this
# weight (simulated, 24 upstreams, 80% load, runs of 1 s, 15 s, seed 1).
OTHER_DAEMONS_WEIGHT: typing.Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """The load of an upstream as one daemon knows it.

    :param outstanding: outstanding attempts of this daemon.
    :param other_outstanding: outstanding attempts of other daemons as last
        reported; up to a second old.
    :param slots: attempts that the upstream can run at the same time.
    :param ready_seconds: seconds since the upstream was first ready.
    :param is_full: whether it must get no further attempt now, because it
        has just refused one or is on probation with one outstanding.
    """

    upstream_id: ids.UpstreamId
    domain_id: ids.DomainId
    outstanding: int = 0
    other_outstanding: int = 0
    slots: int = 8
    ready_seconds: float = SLOW_START_SECONDS
    is_full: bool = False

    @property
    def usable_fraction(self) -> float:
        """Fraction of the slots that may be used, 0 to 1."""
        elapsed_fraction = self.ready_seconds / SLOW_START_SECONDS
        return min(1.0, max(MIN_SLOW_START_FRACTION, elapsed_fraction))

    @property
    def usable_slots(self) -> int:
        return max(1, int(self.slots * self.usable_fraction))

    @property
    def has_free_slot(self) -> bool:
        if self.is_full:
            return False
        return self.outstanding + self.other_outstanding < self.usable_slots

    @property
    def may_have_free_slot(self) -> bool:
        """Whether a slot may be free if the last report is out of date."""
        return not self.is_full and self.outstanding < self.usable_slots

    @property
    def load(self) -> float:
        expected = (
            self.outstanding + OTHER_DAEMONS_WEIGHT * self.other_outstanding
        )
        return expected / (self.slots * self.usable_fraction)


class Chooser(abc.ABC):
    """Base of the policies, which differ in how they pick from a group."""

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        own_domain_id: ids.DomainId,
        rng: random.Random,
    ) -> Candidate | None:
        """Return an upstream with a free slot, or None if all are full.

        Upstreams in the daemon's own failure domain are preferred. Reports
        lag, so an upstream that is full only according to its last report is
        the last choice.
        """
        free = [item for item in candidates if item.has_free_slot]
        local = [item for item in free if item.domain_id == own_domain_id]
        possibly_free = [
            item for item in candidates if item.may_have_free_slot
        ]
        for group in (local, free, possibly_free):
            if group:
                return self._pick(group, rng)
        return None

    @abc.abstractmethod
    def _pick(
        self,
        candidates: typing.Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Return one of the candidates, of which there is at least one."""


class RandomChooser(Chooser):
    """Picks any upstream at random; the baseline for comparisons."""

    def _pick(
        self,
        candidates: typing.Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        return rng.choice(candidates)


class TwoChoicesChooser(Chooser):
    """Picks the less loaded of two upstreams sampled at random.

    Cheaper than a full scan if there are many upstreams.
    """

    def _pick(
        self,
        candidates: typing.Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        sampled = rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=_load)


class LeastOutstandingChooser(Chooser):
    """Picks the least loaded upstream; breaks ties at random."""

    def _pick(
        self,
        candidates: typing.Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        lowest_load = min(item.load for item in candidates)
        return rng.choice(
            [item for item in candidates if item.load <= lowest_load]
        )


def _load(candidate: Candidate) -> float:
    return candidate.load


__all__ = (
    'Candidate',
    'Chooser',
    'LeastOutstandingChooser',
    'OTHER_DAEMONS_WEIGHT',
    'RandomChooser',
    'SLOW_START_SECONDS',
    'TwoChoicesChooser',
)
