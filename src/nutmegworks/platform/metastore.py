"""The platform's metadata store over HTTP."""
from __future__ import annotations

import base64
import typing
import urllib.parse

import logbook
import msgspec
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import transport
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.policy import call_effect

# Added to the wait of a watch, for the answer to arrive.
WATCH_MARGIN_SECONDS: typing.Final = 0.6

_LOG: typing.Final = logbook.Logger('metastore')

# Numbers that the store issues.
_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Item(msgspec.Struct):
    key: str
    value: str = ''
    revision: _Number = 0
    lease: _Number = 0
    deleted: bool = False

    def decode(self) -> interfaces.Item:
        """Return the item, with an empty value if its value is not base64.

        No reader accepts an empty value, and one that knows the item's earlier
        value learns that it has changed.
        """
        try:
            value = base64.b64decode(self.value)
        except ValueError as error:
            _LOG.warning(
                'stored value is not base64', key=self.key, error=str(error)
            )
            value = b''
        return interfaces.Item(
            self.key,
            value,
            ids.StoreRevision(self.revision),
            interfaces.LeaseId(self.lease),
        )


class _Range(msgspec.Struct, rename='camel'):
    # The store's revision at the time of the answer.
    as_of: _Number
    items: list[_Item] = []
    truncated: bool = False


class _Watch(msgspec.Struct, rename='camel'):
    as_of: _Number
    events: list[_Item] = []


class _Committed(msgspec.Struct):
    revision: _Number


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: _Number


def _error(detail: str, effect: call_effect.Effect) -> result.Err:
    return result.Err(interfaces.StoreError(effect, detail))


# An answer of an unexpected form does not tell whether the call took effect.
_UNEXPECTED_ANSWER: typing.Final = call_effect.Effect.UNKNOWN

_Document = typing.TypeVar('_Document')


def _parse(
    response: message.Response,
    document: type[_Document],
    status: int = 200,
) -> result.Result[_Document, interfaces.StoreError]:
    if response.status != status:
        return _error(f'status {response.status}', _UNEXPECTED_ANSWER)
    try:
        return result.Ok(documents.decode(response.body, document))
    except documents.DocumentError as error:
        return _error(f'unreadable answer: {error}', _UNEXPECTED_ANSWER)


def item_target(key: str) -> str:
    """Return the target of a GET for one item."""
    query = urllib.parse.urlencode({'key': key})
    return f'/kv-key?{query}'


class MetadataStore(interfaces.Store):
    """Makes the platform's store calls; every call has a time limit."""

    def __init__(self, store_transport: transport.Transport) -> None:
        self._transport = store_transport

    def is_down(self) -> bool:
        return self._transport.is_down()

    async def get(
        self,
        key: str,
    ) -> result.Result[interfaces.Item | None, interfaces.StoreError]:
        answer = await self._transport.call('GET', item_target(key))
        if answer.is_err():
            return answer
        if answer.ok_value.status == 404:
            return result.Ok(None)
        return _parse(answer.ok_value, _Item).map(_Item.decode)

    async def list(
        self,
        prefix: str,
    ) -> result.Result[interfaces.Changes, interfaces.StoreError]:
        items: list[interfaces.Item] = []
        revision = None
        after = ''
        while True:
            fields = {'prefix': prefix}
            if after:
                fields['after'] = after
            query = urllib.parse.urlencode(fields)
            answer = await self._transport.call('GET', f'/kv-range?{query}')
            if answer.is_err():
                return answer
            parsed = _parse(answer.ok_value, _Range)
            if parsed.is_err():
                return parsed
            page = parsed.ok_value
            # The pages are not one snapshot. A watch that continues from the
            # first page's revision also sees the changes between pages.
            revision = page.as_of if revision is None else revision
            items.extend(item.decode() for item in page.items)
            if not page.truncated or not page.items:
                break
            after = page.items[-1].key
        return result.Ok(
            interfaces.Changes(tuple(items), (), ids.StoreRevision(revision))
        )

    async def watch(
        self,
        prefix: str,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[interfaces.Changes, interfaces.StoreError]:
        query = urllib.parse.urlencode(
            {
                'prefix': prefix,
                'after': after,
                'waitMs': int(wait * 1000),
            }
        )
        answer = await self._transport.call(
            'GET',
            f'/kv-watch?{query}',
            timeout=wait + WATCH_MARGIN_SECONDS,
            # After a failure the prefix is listed again, over any route.
            allow_relay=False,
        )
        if answer.is_err():
            return answer
        if answer.ok_value.status == 410:
            raise interfaces.HistoryLostError(prefix)
        return _parse(answer.ok_value, _Watch).map(_decode_events)

    async def commit(
        self,
        transaction: interfaces.Transaction,
        *,
        timeout: float | None = None,
        repeatable: bool = False,
    ) -> result.Result[interfaces.Commit, interfaces.StoreError]:
        body = msgspec.json.encode(
            {
                'expected': [
                    {
                        'key': key,
                        'revision': revision
                    } for key, revision in transaction.expected.items()
                ],
                'writes': [_encode(write) for write in transaction.writes],
                'remove':
                list(transaction.removed),
            }
        )
        answer = await self._transport.call(
            'POST',
            '/kv-txn',
            body,
            timeout=timeout or transport.CALL_TIMEOUT_SECONDS,
            idempotent=repeatable,
        )
        if answer.is_err():
            return answer
        uses_lease = any(
            write.lease_id != interfaces.NO_LEASE
            for write in transaction.writes
        )
        return _decode_commit(answer.ok_value, uses_lease)

    async def grant_lease(
        self,
        seconds: float,
    ) -> result.Result[interfaces.LeaseId, interfaces.StoreError]:
        body = msgspec.json.encode({'ttlMs': int(seconds * 1000)})
        answer = await self._transport.call('POST', '/kv-lease', body)
        if answer.is_err():
            return answer
        parsed = _parse(answer.ok_value, _Lease)
        return parsed.map(lambda lease: interfaces.LeaseId(lease.lease))

    async def renew_lease(
        self,
        lease_id: interfaces.LeaseId,
    ) -> result.Result[bool, interfaces.StoreError]:
        return await self._lease_call('POST', f'/kv-keep/{lease_id}')

    async def end_lease(
        self,
        lease_id: interfaces.LeaseId,
    ) -> result.Result[bool, interfaces.StoreError]:
        return await self._lease_call('DELETE', f'/kv-lease-end/{lease_id}')

    async def _lease_call(
        self,
        method: str,
        target: str,
    ) -> result.Result[bool, interfaces.StoreError]:
        answer = await self._transport.call(method, target)
        if answer.is_err():
            return answer
        status = answer.ok_value.status
        if status in (200, 204, 404):
            return result.Ok(status != 404)
        return _error(f'status {status}', _UNEXPECTED_ANSWER)


def _encode(write: interfaces.Write) -> dict[str, object]:
    entry: dict[str, object] = {
        'key': write.key,
        'value': base64.b64encode(write.value).decode('ascii'),
    }
    if write.lease_id != interfaces.NO_LEASE:
        entry['lease'] = write.lease_id
    return entry


def _decode_events(answer: _Watch) -> interfaces.Changes:
    return interfaces.Changes(
        tuple(item.decode() for item in answer.events if not item.deleted),
        tuple(
            (item.key, ids.StoreRevision(item.revision))
            for item in answer.events
            if item.deleted
        ),
        ids.StoreRevision(answer.as_of),
    )


def _decode_commit(
    response: message.Response,
    uses_lease: bool,
) -> result.Result[interfaces.Commit, interfaces.StoreError]:
    """Return the outcome of a transaction.

    :param uses_lease: a write of the transaction names a lease; the store
        answers 404 only if it does not know that.
    """
    if response.status == 404 and uses_lease:
        return result.Ok(interfaces.Commit(interfaces.CommitOutcome.NO_LEASE))
    if response.status == 412:
        return _parse(response, _Conflict, 412).map(
            lambda conflict: interfaces.Commit(
                interfaces.CommitOutcome.CONFLICT,
                current_by_key={
                    item.key: item.decode()
                    for item in conflict.items
                    if item.revision
                },
            )
        )
    return _parse(response, _Committed).map(
        lambda committed: interfaces.Commit(
            interfaces.CommitOutcome.COMMITTED,
            ids.StoreRevision(committed.revision),
        )
    )


__all__ = ('MetadataStore', 'WATCH_MARGIN_SECONDS', 'item_target')
