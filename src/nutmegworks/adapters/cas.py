"""Compare-and-swap that resolves lost responses of the store."""
from __future__ import annotations

import typing

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.model import ids

MAX_ATTEMPTS: typing.Final = 5
INITIAL_DELAY_SECONDS: typing.Final = 0.02

# Returns whether a stored value contains the caller's write.
IsOwn = typing.Callable[[bytes], bool]


async def put(
    store_client: store.Store,
    key: str,
    value: bytes,
    *,
    expected: ids.StoreRevision,
    is_own: IsOwn,
    max_attempts: int = MAX_ATTEMPTS,
) -> result.Result[ids.StoreRevision, store.StoreError]:
    """Write a value and, if the response is lost, reread to learn the outcome.

    A write that was sent may still take effect after a reread that did not
    show it. So the same write is repeated with the same expected revision
    until a reread shows that it took effect or that another write won.

    :param expected: revision of the value that is replaced.
    :param is_own: whether a stored value contains this write, possibly with
        later writes by others on top.
    :return: the revision; UNKNOWN if the outcome could not be determined; any
        other error means that the write did not and will not take effect.
    """
    delay = INITIAL_DELAY_SECONDS
    may_be_pending = False
    error = store.StoreError(store.StoreFault.UNKNOWN)
    for attempt in range(max_attempts):
        if attempt:
            await curio.sleep(delay)
            delay *= 2
        answer = await store_client.put(key, value, expected=expected)
        if isinstance(answer, result.Ok):
            return answer
        error = answer.err_value
        if not may_be_pending and error.fault is not store.StoreFault.UNKNOWN:
            return answer
        may_be_pending = True
        resolved = await _resolve(store_client, key, expected, is_own)
        if resolved is not None:
            return resolved
    return result.Err(store.StoreError(store.StoreFault.UNKNOWN, error.detail))


async def _resolve(
    store_client: store.Store,
    key: str,
    expected: ids.StoreRevision,
    is_own: IsOwn,
) -> result.Result[ids.StoreRevision, store.StoreError] | None:
    """Return the outcome of a write; None if it is undetermined."""
    answer = await store_client.get(key)
    if isinstance(answer, result.Err):
        return None
    entry = answer.ok_value
    revision = store.ABSENT if entry is None else entry.revision
    if entry is not None and entry.value is not None and is_own(entry.value):
        return result.Ok(revision)
    # The write can still take effect while the key has the expected revision.
    # At a later revision it cannot.
    if revision <= expected:
        return None
    return result.Err(
        store.StoreError(store.StoreFault.CONFLICT, revision=revision)
    )


__all__ = ('INITIAL_DELAY_SECONDS', 'IsOwn', 'MAX_ATTEMPTS', 'put')
