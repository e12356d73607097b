"""Compare-and-swap that finds out what became of a lost response."""
from __future__ import annotations

import typing

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.model import ids

ATTEMPTS: typing.Final = 5
FIRST_DELAY_SECONDS: typing.Final = 0.02

IsOwn = typing.Callable[[bytes], bool]


async def put(
    store_client: store.Store,
    key: str,
    value: bytes,
    *,
    expected: ids.StoreRevision,
    is_own: IsOwn,
    attempts: int = ATTEMPTS,
) -> result.Result[ids.StoreRevision, store.StoreError]:
    """Write a value and resolve a lost response by rereading.

    A write that was sent may take effect even after a reread that did not
    show it. So the same write is repeated with the same expected revision
    until it is seen to have taken effect or to have lost.

    :param is_own: whether a stored value contains this write, possibly with
        later writes of others on top.
    :return: the revision; UNKNOWN if it could not be found out; any other
        error means that the write did not and will not take effect.
    """
    delay = FIRST_DELAY_SECONDS
    sent = False
    error = store.StoreError(store.StoreFault.UNKNOWN)
    for attempt in range(attempts):
        if attempt:
            await curio.sleep(delay)
            delay *= 2
        answer = await store_client.put(key, value, expected=expected)
        if isinstance(answer, result.Ok):
            return answer
        error = answer.err_value
        if not sent and error.fault is not store.StoreFault.UNKNOWN:
            return answer
        sent = True
        seen = await _resolve(store_client, key, expected, is_own)
        if seen is not None:
            return seen
    return result.Err(store.StoreError(store.StoreFault.UNKNOWN, error.detail))


async def _resolve(
    store_client: store.Store,
    key: str,
    expected: ids.StoreRevision,
    is_own: IsOwn,
) -> result.Result[ids.StoreRevision, store.StoreError] | None:
    """Return what became of a write, or None if that is still open."""
    answer = await store_client.get(key)
    if isinstance(answer, result.Err):
        return None
    entry = answer.ok_value
    revision = store.ABSENT if entry is None else entry.revision
    if entry is not None and entry.value is not None and is_own(entry.value):
        return result.Ok(revision)
    # Any later version shows who won: this write, or one that excludes it.
    if revision <= expected:
        return None
    return result.Err(
        store.StoreError(store.StoreFault.CONFLICT, revision=revision)
    )


__all__ = ('ATTEMPTS', 'FIRST_DELAY_SECONDS', 'IsOwn', 'put')
