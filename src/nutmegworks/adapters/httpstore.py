"""Adapter for a key-value store that is served over HTTP."""
from __future__ import annotations

import typing
import urllib.parse

import msgspec
import result

from nutmegworks.adapters import store
from nutmegworks.model import decoding
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool

CALL_TIMEOUT_SECONDS: typing.Final = 1.0
# A watch that does not answer this long after its wait time has failed: its
# connection is no longer usable.
WATCH_SLACK_SECONDS: typing.Final = 1.0
# A page may contain several values of the maximum size, in base64.
MAX_PAGE_BYTES: typing.Final = 16 * 1024 * 1024
# Of a revision, which has 64 bits.
MAX_DIGITS: typing.Final = 19

_FAULT_BY_STATUS: typing.Final = {
    409: store.StoreFault.CONFLICT,
    429: store.StoreFault.UNAVAILABLE,
    503: store.StoreFault.UNAVAILABLE,
}

_Outcome = result.Result[message.Response, store.StoreError]
_Value = typing.TypeVar('_Value')


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: bytes | None


class _Page(msgspec.Struct):
    items: list[_Item]
    revision: int


class _Lease(msgspec.Struct):
    lease_id: str


class HttpStore(store.Store):
    """A store at one address.

    :param timeout: seconds for one call other than a watch.
    :ivar calls: number of calls made.
    """

    def __init__(
        self,
        address: client.Address,
        *,
        connections: pool.Pool | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._address = address
        self._pool = connections or pool.Pool()
        self._timeout = timeout
        self.calls = 0

    async def get(
        self,
        key: str,
    ) -> result.Result[store.Entry | None, store.StoreError]:
        answer = await self._call('GET', _path(key), may_be_absent=True)
        if isinstance(answer, result.Err):
            return answer
        response = answer.ok_value
        if response.status == 404:
            return result.Ok(None)
        return _written_revision(response).map(
            lambda revision: store.Entry(key, revision, response.body)
        )

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: ids.StoreRevision,
        lease_id: store.LeaseId | None = None,
    ) -> result.Result[ids.StoreRevision, store.StoreError]:
        headers = {'if-revision': str(expected)}
        if lease_id is not None:
            headers['lease-id'] = lease_id
        answer = await self._call('PUT', _path(key), headers, value)
        return answer.and_then(_written_revision)

    async def delete(
        self,
        key: str,
        *,
        expected: ids.StoreRevision,
    ) -> result.Result[None, store.StoreError]:
        headers = {'if-revision': str(expected)}
        answer = await self._call('DELETE', _path(key), headers)
        return answer.map(lambda _: None)

    async def range(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 100,
    ) -> result.Result[store.Page, store.StoreError]:
        query = urllib.parse.urlencode(
            {
                'prefix': prefix,
                'after': after,
                'limit': limit
            }
        )
        return _page(await self._call('GET', f'/v1/range?{query}'))

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[store.Page, store.StoreError]:
        query = urllib.parse.urlencode(
            {
                'prefix': prefix,
                'after_revision': after,
                'wait': wait
            }
        )
        return _page(
            await self._call(
                'GET',
                f'/v1/watch?{query}',
                timeout=wait + WATCH_SLACK_SECONDS,
            )
        )

    async def grant_lease(
        self,
        ttl: float,
    ) -> result.Result[store.LeaseId, store.StoreError]:
        body = msgspec.json.encode({'ttl': ttl})
        answer = await self._call('POST', '/v1/leases', {}, body)
        if isinstance(answer, result.Err):
            return answer
        lease = _decode(answer.ok_value, _Lease)
        return lease.map(lambda value: store.LeaseId(value.lease_id))

    async def renew_lease(
        self,
        lease_id: store.LeaseId,
    ) -> result.Result[None, store.StoreError]:
        answer = await self._call('POST', f'/v1/leases/{lease_id}/renew')
        return answer.map(lambda _: None)

    async def revoke_lease(
        self,
        lease_id: store.LeaseId,
    ) -> result.Result[None, store.StoreError]:
        answer = await self._call('DELETE', f'/v1/leases/{lease_id}')
        return answer.map(lambda _: None)

    async def _call(
        self,
        method: str,
        target: str,
        headers: message.Headers | None = None,
        body: bytes = b'',
        *,
        timeout: float | None = None,
        may_be_absent: bool = False,
    ) -> _Outcome:
        self.calls += 1
        request = message.Request(method, target, headers or {}, body)
        effective_timeout = timeout or self._timeout
        answer = await self._pool.exchange(
            self._address,
            request,
            timeout=effective_timeout,
            max_body=MAX_PAGE_BYTES,
        )
        if isinstance(answer, result.Err):
            return result.Err(_store_error(answer.err_value))
        return _check_status(answer.ok_value, may_be_absent)


def _path(key: str) -> str:
    return f'/v1/kv/{urllib.parse.quote(key, safe="/")}'


def _revision(response: message.Response) -> ids.StoreRevision:
    """Return the revision that a response states; ABSENT if it states none."""
    text = response.headers.get('store-revision', '')
    valid = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return ids.StoreRevision(int(text)) if valid else store.ABSENT


def _written_revision(
    response: message.Response,
) -> result.Result[ids.StoreRevision, store.StoreError]:
    revision = _revision(response)
    if revision == store.ABSENT:
        return _unusable('the response states no revision')
    return result.Ok(revision)


def _decode(
    response: message.Response,
    kind: type[_Value],
) -> result.Result[_Value, store.StoreError]:
    try:
        with decoding.nesting_limit():
            return result.Ok(msgspec.json.decode(response.body, type=kind))
    except msgspec.DecodeError as error:
        return _unusable(str(error))


def _unusable(detail: str) -> result.Err[store.StoreError]:
    return result.Err(store.StoreError(store.StoreFault.UNKNOWN, detail))


def _store_error(error: client.ExchangeError) -> store.StoreError:
    fault = store.StoreFault.UNAVAILABLE
    if error.may_have_reached_peer:
        fault = store.StoreFault.UNKNOWN
    return store.StoreError(fault, f'{error.fault.value}: {error.detail}')


def _check_status(response: message.Response, may_be_absent: bool) -> _Outcome:
    if response.status == 200 or (response.status == 404 and may_be_absent):
        return result.Ok(response)
    fault = _FAULT_BY_STATUS.get(response.status, store.StoreFault.UNKNOWN)
    return result.Err(
        store.StoreError(
            fault, f'status {response.status}', _revision(response)
        )
    )


def _page(answer: _Outcome) -> result.Result[store.Page, store.StoreError]:
    decoded = answer.and_then(lambda response: _decode(response, _Page))
    if isinstance(decoded, result.Err):
        return decoded
    page = decoded.ok_value
    entries = tuple(
        store.Entry(item.key, ids.StoreRevision(item.revision), item.value)
        for item in page.items
    )
    return result.Ok(store.Page(entries, ids.StoreRevision(page.revision)))


__all__ = (
    'CALL_TIMEOUT_SECONDS',
    'HttpStore',
    'MAX_PAGE_BYTES',
    'WATCH_SLACK_SECONDS',
)
