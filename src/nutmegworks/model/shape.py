"""Shapes of gangs: blocks of adjacent accelerators."""
from __future__ import annotations

import dataclasses
import enum
import re
import typing

import msgspec

# The largest gang that the two-year cluster plan requires, in accelerators.
MAX_GANG_ACCELERATORS: typing.Final = 512
# A worker that claims to have more is misconfigured.
MAX_WORKER_ACCELERATORS: typing.Final = 1024

WorkerAccelerators = typing.Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_WORKER_ACCELERATORS),
]

_SHAPE_TEXT: typing.Final = re.compile(
    r'^([1-9]\d{0,3})x([1-9]\d{0,2})(?:@(rack|domain))?$'
)


class Spread(enum.Enum):
    """The smallest unit that must contain all blocks of a shape."""

    RACK = 'rack'
    DOMAIN = 'domain'


class ShapeError(ValueError):
    """The text or the size of a shape is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Blocks of adjacent accelerators.

    Each block is placed on one worker. All blocks are placed in one rack, or
    in one failure domain if the shape is larger than a rack.

    :param blocks: number of blocks.
    :param block_size: number of accelerators in each block.
    :param spread: whether all blocks share a rack or only a failure domain.

    >>> Shape.parse('2x8').accelerators
    16
    >>> str(Shape.parse('64x8@domain'))
    '64x8@domain'
    """

    blocks: int
    block_size: int
    spread: Spread = Spread.RACK

    def __post_init__(self) -> None:
        if self.blocks < 1 or self.block_size < 1:
            raise ShapeError('a shape needs at least one accelerator')
        if self.accelerators > MAX_GANG_ACCELERATORS:
            raise ShapeError(
                f'{self} exceeds {MAX_GANG_ACCELERATORS} accelerators'
            )

    @property
    def accelerators(self) -> int:
        return self.blocks * self.block_size

    @classmethod
    def parse(cls, text: str) -> Shape:
        """Parse ``<blocks>x<block_size>`` with an optional ``@domain``.

        :raises ShapeError: if the text is not a shape.
        """
        match = _SHAPE_TEXT.match(text)
        if match is None:
            raise ShapeError(f'{text!r} is not of the form 2x8')
        spread = Spread(match.group(3) or Spread.RACK.value)
        return cls(int(match.group(1)), int(match.group(2)), spread)

    def __str__(self) -> str:
        size = f'{self.blocks}x{self.block_size}'
        return size if self.spread is Spread.RACK else f'{size}@domain'


__all__ = (
    'MAX_GANG_ACCELERATORS',
    'MAX_WORKER_ACCELERATORS',
    'Shape',
    'ShapeError',
    'Spread',
    'WorkerAccelerators',
)
