"""Blocks of adjacent accelerators in a bit mask of one worker.

Bit i stands for accelerator i. All functions are pure; their results are
cached because only a few hundred masks occur.
"""
from __future__ import annotations

import functools
import typing

# Masks of workers with up to 16 accelerators fit the caches.
_CACHED_MASKS: typing.Final = 1 << 16


def full(accelerators: int) -> int:
    """Return the mask of a worker with all accelerators set."""
    return (1 << accelerators) - 1


def indices(mask: int) -> tuple[int, ...]:
    """Return the set bits, ascending.

    >>> indices(0b1101)
    (0, 2, 3)
    """
    return tuple(i for i in range(mask.bit_length()) if mask >> i & 1)


def from_indices(accelerators: typing.Iterable[int]) -> int:
    return functools.reduce(lambda mask, i: mask | 1 << i, accelerators, 0)


def _run_lengths(mask: int) -> list[int]:
    return [len(run) for run in f'{mask:b}'.split('0') if run]


@functools.lru_cache(maxsize=_CACHED_MASKS)
def block_counts(mask: int) -> tuple[int, ...]:
    """Return how many disjoint blocks of each size fit.

    :return: item i is the count of blocks of i + 1 accelerators; the length
        is that of the longest run.

    >>> block_counts(0b11011110)
    (6, 3, 1, 1)
    """
    runs = _run_lengths(mask)
    longest = max(runs, default=0)
    return tuple(
        sum(run // size for run in runs) for size in range(1, longest + 1)
    )


def longest_run(mask: int) -> int:
    return len(block_counts(mask))


def positions(mask: int, size: int) -> typing.Iterator[int]:
    """Yield every block of ``size`` adjacent bits within ``mask``."""
    block = full(size)
    for shift in range(mask.bit_length() - size + 1):
        if mask >> shift & block == block:
            yield block << shift


def _loss(mask: int, block: int) -> tuple[int, ...]:
    before = block_counts(mask)
    after = block_counts(mask & ~block)
    after += (0, ) * (len(before) - len(after))
    return tuple(b - a for b, a in zip(reversed(before), reversed(after)))


def _alignment(block: int) -> int:
    """Return how far a block is from the buddy cell that would hold it."""
    size = block.bit_count()
    cell = 1 << (size - 1).bit_length()
    return (block.bit_length() - size) % cell


@functools.lru_cache(maxsize=_CACHED_MASKS)
def best_block(mask: int, size: int) -> int:
    """Return the block whose use costs the fewest larger blocks.

    Among equals an aligned one is taken, as in a buddy allocator, so that
    neighbours merge again when they become free.

    :return: 0 if no block fits.

    >>> f'{best_block(0b11110110, 2):08b}'
    '00000110'
    """
    return min(
        positions(mask, size),
        key=lambda block: (_loss(mask, block), _alignment(block), block),
        default=0,
    )


def take_blocks(mask: int, size: int, limit: int) -> list[int]:
    """Return up to ``limit`` disjoint blocks."""
    blocks: list[int] = []
    while len(blocks) < limit:
        block = best_block(mask, size)
        if not block:
            break
        blocks.append(block)
        mask &= ~block
    return blocks


@functools.lru_cache(maxsize=_CACHED_MASKS)
def loss_by_size(mask: int, size: int) -> tuple[int, ...]:
    """Return the blocks lost by taking the best block, largest size first.

    The tuple starts with the number of accelerators in the longest run, so
    that losses on different workers compare: a loss of a larger block is
    worse.
    """
    loss = _loss(mask, best_block(mask, size))
    for zeros, lost in enumerate(loss):
        if lost:
            return (len(loss) - zeros, ) + loss[zeros:]
    return (0, )


__all__ = (
    'best_block',
    'block_counts',
    'from_indices',
    'full',
    'indices',
    'longest_run',
    'loss_by_size',
    'positions',
    'take_blocks',
)
