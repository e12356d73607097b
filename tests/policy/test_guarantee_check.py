from __future__ import annotations

import typing

import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.model import ids
from nutmegworks.model import shape as model_shape
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import guarantee_check
from nutmegworks.policy import ledger as ledgers
from tests import builders
from tests.policy import exhaustive

DOMAIN = ids.DomainId('d')
RACK_IDS = ('r0', 'r1')

_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)

_SHAPES = tuple(
    model_shape.Shape.parse(text) for text in (
        '1x1',
        '1x2',
        '1x3',
        '1x4',
        '2x1',
        '2x2',
        '2x3',
        '2x4',
        '3x1',
        '3x2',
        '2x2@domain',
        '3x3@domain',
    )
)


@strategies.composite
def _domains(draw) -> tuple[tuple[list[int], ...], list[model_shape.Shape]]:
    """Draw workers and guarantees that need at most their accelerators.

    Most drawn guarantees need almost all accelerators.
    """
    sizes = strategies.lists(
        strategies.sampled_from((4, 4, 4, 3, 2)),
        min_size=1,
        max_size=2,
    )
    sizes_by_rack = (draw(sizes), draw(sizes))
    remaining = sum(map(sum, sizes_by_rack))
    chosen = []
    for shape in draw(strategies.lists(strategies.sampled_from(_SHAPES),
                                       min_size=3)):
        if shape.accelerators <= remaining:
            remaining -= shape.accelerators
            chosen.append(shape)
    return sizes_by_rack, chosen


_steps = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('borrow', 'borrow', 'borrow', 'use', 'use', 'free', 'down', 'up')
        ),
        strategies.integers(0, 99),
        strategies.integers(1, 4),
    ),
    min_size=5,
    max_size=12,
)


def _configuration(*shapes_by_team: typing.Iterable[model_shape.Shape]):
    teams = tuple(
        builders.team(
            f't{i}',
            guarantees={DOMAIN: tuple(map(str, guaranteed))},
        ) for i, guaranteed in enumerate(shapes_by_team)
    )
    return builders.configuration(teams=teams)


@hypothesis.given(domain=_domains())
@_SETTINGS
def test_check_agrees_with_exhaustive_search(
    domain: tuple[tuple[list[int], ...], list[model_shape.Shape]],
) -> None:
    """Guarantees must be accepted if and only if they can all be met."""
    sizes_by_rack, guaranteed = domain
    racks = dict(zip(RACK_IDS, sizes_by_rack))
    masks: exhaustive.Masks = {}
    rack_by_worker: exhaustive.Racks = {}
    for rack_id, sizes in racks.items():
        for i, size in enumerate(sizes):
            masks[f'{rack_id}/{i}'] = bitmask.full_mask(size)
            rack_by_worker[f'{rack_id}/{i}'] = rack_id
    items = [(shape, None) for shape in guaranteed]
    expected = exhaustive.can_embed(items, masks, rack_by_worker)

    problems = guarantee_check.check_guarantees(
        _configuration(guaranteed),
        {DOMAIN: {
            ids.RackId(k): v
            for k, v in racks.items()
        }},
    )

    assert (not problems) == expected, problems


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('1x9', 'alone does not fit'),
        ('3x8', 'alone does not fit'),
        ('5x8@domain', 'alone does not fit'),
        ('2x8', 'need 48 accelerators, 32 exist'),
        ('1x5', 'cannot all be placed at once'),
    ],
)
def test_refused_guarantee_states_the_reason(
    text: str,
    expected: str,
) -> None:
    """The operator must be told which guarantee does not fit and why."""
    racks = {ids.RackId('r0'): (8, 8), ids.RackId('r1'): (8, 8)}
    repeated = {'2x8': 3, '1x5': 5}.get(text, 1)

    problems = guarantee_check.check_guarantees(
        _configuration([model_shape.Shape.parse(text)] * repeated),
        {DOMAIN: racks},
    )

    assert len(problems) == 1 and expected in problems[0], problems


class _Model:
    """A ledger with placed work, checked against an exhaustive search."""

    def __init__(self, sizes_by_rack, guaranteed) -> None:
        self.cluster = clusters.Cluster()
        for rack_id, sizes in zip(RACK_IDS, sizes_by_rack):
            for i, size in enumerate(sizes):
                self.cluster.add_worker(
                    ids.WorkerId(f'{rack_id}/{i}'),
                    ids.RackId(rack_id),
                    size,
                )
        self.ledger = ledgers.GuaranteeLedger(self.cluster, DOMAIN)
        self.ledger.configure(
            _configuration(guaranteed[::2], guaranteed[1::2])
        )

    def worker(self, number: int) -> clusters.Worker:
        workers = list(self.cluster.worker_by_id.values())
        return workers[number % len(workers)]

    def is_embeddable(self) -> bool:
        """Return whether all slots fit, given the accelerators in use."""
        items: list[exhaustive.Item] = []
        free: exhaustive.Masks = {}
        racks: exhaustive.Racks = {}
        for worker in self.cluster.worker_by_id.values():
            free[worker.worker_id] = worker.available & ~worker.non_reclaimable
            racks[worker.worker_id] = worker.rack_id
        for slot in self.ledger.slot_by_id.values():
            used_blocks = [b for b in slot.blocks if self._used_mask(b)]
            for block in used_blocks:
                if block.mask & ~free[block.worker_id]:
                    return False
                free[block.worker_id] &= ~block.mask
            missing = slot.shape.blocks - len(used_blocks)
            if missing:
                rack = racks[used_blocks[0].worker_id] if used_blocks else None
                shape = model_shape.Shape(
                    missing,
                    slot.shape.block_size,
                    slot.shape.spread,
                )
                items.append((shape, rack))
        return exhaustive.can_embed(items, free, racks)

    def _used_mask(self, block: capacity.Block) -> int:
        return self.cluster.worker_by_id[block.worker_id].used & block.mask

    def borrow(self, number: int, size: int) -> None:
        """Place a borrower that cannot be reclaimed."""
        worker = self.worker(number)
        allowed = worker.available & ~worker.non_reclaimable
        blocks = list(bitmask.block_positions(allowed, size))
        if not blocks:
            return
        block = capacity.Block(
            worker.worker_id,
            blocks[number % len(blocks)],
        )
        had_unplaced = bool(self.ledger.unplaced)
        admitted = self.ledger.admit_non_reclaimable(
            ids.JobId('borrower'), [block]
        )
        if not admitted and not had_unplaced:
            worker.non_reclaimable |= block.mask
            assert not self.is_embeddable(), 'refused although it fits'
            worker.non_reclaimable &= ~block.mask

    def use(self, number: int, size: int) -> None:
        """Let each team use accelerators of its own guarantee."""
        worker = self.worker(number)
        for mask in worker.bound_by_team.values():
            usable = mask & ~worker.used & worker.available
            worker.used |= bitmask.best_block(usable, size)
        self.cluster.refresh(worker)

    def free(self, number: int, size: int) -> None:
        worker = self.worker(number)
        worker.non_reclaimable = worker.used = 0
        self.cluster.refresh(worker)
        self.ledger.repair()

    def down(self, number: int, size: int) -> None:
        worker = self.worker(number)
        worker.up = False
        worker.used = 0
        self.cluster.refresh(worker)
        self.ledger.worker_lost(worker.worker_id)

    def up(self, number: int, size: int) -> None:
        worker = self.worker(number)
        worker.up = True
        self.cluster.refresh(worker)
        self.ledger.repair()


@hypothesis.given(domain=_domains(), steps=_steps)
@_SETTINGS
def test_ledger_agrees_with_exhaustive_search(
    domain,
    steps,
) -> None:
    """No placement may violate a guarantee or be refused without need."""
    model = _Model(*domain)
    model.ledger.verify()

    for name, number, size in steps:
        getattr(model, name)(number, size)

        model.ledger.verify()
        assert bool(model.ledger.unplaced) == (not model.is_embeddable())
