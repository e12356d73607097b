"""Blocks of adjacent accelerators in a bit mask of one worker.

Used by nutmegd's gang scheduler. Bit i represents accelerator i. All functions
are pure; results that are costly to compute are cached, because only a few
hundred masks occur.
"""
from __future__ import annotations

import functools
import typing

# Enough for every mask of workers with up to 16 accelerators.
_CACHE_ENTRIES: typing.Final = 1 << 16


def full_mask(accelerators: int) -> int:
    """Return a mask with the bits of all accelerators of a worker set."""
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


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def block_counts(mask: int) -> tuple[int, ...]:
    """Return how many disjoint blocks of each size fit.

    :return: item i is the number of blocks of i + 1 accelerators; there are
        as many items as the longest run has accelerators.

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


def block_positions(mask: int, size: int) -> typing.Iterator[int]:
    """Yield every block of ``size`` adjacent bits within ``mask``."""
    block = full_mask(size)
    for shift in range(mask.bit_length() - size + 1):
        if mask >> shift & block == block:
            yield block << shift


def _lost_blocks(mask: int, block: int) -> tuple[int, ...]:
    """Return how many blocks of each size are lost, largest size first."""
    before = block_counts(mask)
    after = block_counts(mask & ~block)
    after += (0, ) * (len(before) - len(after))
    return tuple(
        count_before - count_after for count_before, count_after in
        zip(reversed(before), reversed(after))
    )


def _alignment(block: int) -> int:
    """Return the offset of a block within its buddy cell, in accelerators."""
    size = block.bit_count()
    cell = 1 << (size - 1).bit_length()
    return (block.bit_length() - size) % cell


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def best_block(mask: int, size: int) -> int:
    """Return the block whose allocation loses the fewest large blocks.

    Among equals an aligned block is preferred, as in a buddy allocator, so
    that neighbouring blocks merge again when they become free.

    :return: 0 if no block fits.

    >>> f'{best_block(0b11110110, 2):08b}'
    '00000110'
    """
    return min(
        block_positions(mask, size),
        key=lambda block:
        (_lost_blocks(mask, block), _alignment(block), block),
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


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def loss_by_size(mask: int, size: int) -> tuple[int, ...]:
    """Return the blocks lost by allocating the best block.

    Results for different workers can be compared; the smaller one is the
    smaller loss, since the loss of a larger block is worse.

    :return: the largest size of which a block is lost, in accelerators, then
        the number of blocks lost of that size and of each smaller one; (0,)
        if no block is lost.
    """
    loss = _lost_blocks(mask, best_block(mask, size))
    for position, lost in enumerate(loss):
        if lost:
            return (len(loss) - position, ) + loss[position:]
    return (0, )


__all__ = (
    'best_block',
    'block_counts',
    'block_positions',
    'from_indices',
    'full_mask',
    'indices',
    'longest_run',
    'loss_by_size',
    'take_blocks',
)
