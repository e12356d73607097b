"""A holder of the latest value that one task shares with others."""
from __future__ import annotations

import typing

T = typing.TypeVar('T')


class Published(typing.Generic[T]):
    """Holds the latest value that was published; reading it never waits.

    The value must be immutable, as it is shared and not copied.

    >>> holder = Published[int]()
    >>> holder.publish(3)
    >>> holder.value
    3
    """

    __slots__ = ('_value', )

    def __init__(self, value: T | None = None) -> None:
        self._value = value

    @property
    def value(self) -> T | None:
        """The latest value; None until a value is published."""
        return self._value

    def publish(self, value: T) -> None:
        self._value = value


__all__ = ('Published', )
