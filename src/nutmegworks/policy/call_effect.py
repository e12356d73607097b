"""Decides what is known of a call that was sent more than once."""
from __future__ import annotations

import enum
import typing


class Effect(enum.Enum):
    """Whether a call without a usable answer may have taken effect."""

    NONE = 'none'
    UNKNOWN = 'unknown'


def combine(effects: typing.Iterable[Effect]) -> Effect:
    """Return the effect of all sends of one call together.

    The outcome of one send tells nothing of the others: the call had no effect
    only if each of them had none.

    :param effects: of the sends; without any the call has no effect.
    """
    certain = all(effect is Effect.NONE for effect in effects)
    return Effect.NONE if certain else Effect.UNKNOWN


__all__ = ('Effect', 'combine')
