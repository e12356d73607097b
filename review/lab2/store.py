"""A stand-in of the platform's metadata store, by PROTOCOL.md."""
from __future__ import annotations

import asyncio
import base64
import json
import time
import typing
import urllib.parse

from review.lab2 import web

PAGE_ITEMS: typing.Final = 500
TICK_SECONDS: typing.Final = 0.01
ANSWER_SECONDS: typing.Final = 0.004
MIN_TTL_SECONDS: typing.Final = 1.0
_READS: typing.Final = ('kv-key', 'kv-range', 'kv-watch')


class Store:
    """Keeps items in memory.

    :ivar down: calls get no answer and have no effect; leases pause.
    """

    def __init__(self) -> None:
        self.down = False
        self.item_by_key: dict[str, dict[str, typing.Any]] = {}
        self._revision = 1
        self._history: list[dict[str, typing.Any]] = []
        self._leases: dict[int, list[float]] = {}
        self._lease_count = 0
        self.server = web.Server(self._handle)

    async def start(self) -> None:
        await self.server.start()
        asyncio.get_running_loop().create_task(self._expire())

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a value as the operator or an executor does."""
        self._revision += 1
        self._put(key, json.dumps(value).encode(), lease)

    def delete(self, key: str) -> None:
        self._revision += 1
        self._remove(key)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        before = self.item_by_key.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self._revision,
            'created': before['created'] if before else self._revision,
            'lease': lease,
        }
        self.item_by_key[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        if self.item_by_key.pop(key, None) is not None:
            self._history.append(
                {'key': key, 'revision': self._revision, 'deleted': True}
            )

    async def _expire(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for lease in self._leases.values():
                if self.down:
                    lease[1] += now - last
            last = now
            for lease_id, (_, until) in list(self._leases.items()):
                if now > until:
                    self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        keys = [
            key for key, item in self.item_by_key.items()
            if item['lease'] == lease_id
        ]
        if keys:
            self._revision += 1
        for key in keys:
            self._remove(key)

    async def _handle(
        self,
        method: str,
        target: str,
        headers: typing.Mapping[str, str],
        body: bytes,
    ) -> tuple[int, object] | None:
        await asyncio.sleep(ANSWER_SECONDS)
        while self.down:
            await asyncio.sleep(TICK_SECONDS)
            if not self.down:
                return None
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        name, _, number = path[1:].partition('/')
        if name == 'kv-key':
            item = self.item_by_key.get(fields['key'])
            if item is None:
                return 404, {'asOf': self._revision}
            return 200, {**item, 'asOf': self._revision}
        if name == 'kv-range':
            return self._range(fields)
        if name == 'kv-watch':
            return await self._watch(fields)
        if name == 'kv-txn':
            return self._txn(json.loads(body))
        if name == 'kv-lease':
            seconds = max(
                MIN_TTL_SECONDS, json.loads(body)['ttlMs'] / 1000
            )
            self._lease_count += 1
            until = time.monotonic() + seconds
            self._leases[self._lease_count] = [seconds, until]
            return 200, {
                'lease': self._lease_count,
                'ttlMs': int(seconds * 1000)
            }
        lease = self._leases.get(int(number))
        if lease is None:
            return 404, {}
        if name == 'kv-lease-end':
            self._end_lease(int(number))
            return 200, {}
        lease[1] = time.monotonic() + lease[0]
        return 200, {'ttlMs': int(lease[0] * 1000)}

    def _range(self, fields: dict[str, str]) -> tuple[int, object]:
        keys = sorted(
            key for key in self.item_by_key
            if key.startswith(fields['prefix'])
            and key > fields.get('after', '')
        )
        return 200, {
            'items': [self.item_by_key[key] for key in keys[:PAGE_ITEMS]],
            'truncated': len(keys) > PAGE_ITEMS,
            'asOf': self._revision,
        }

    async def _watch(
        self,
        fields: dict[str, str],
    ) -> tuple[int, object] | None:
        after = int(fields['after'])
        until = time.monotonic() + int(fields['waitMs']) / 1000
        seen = 0
        while True:
            if self.down:
                return None
            if len(self._history) != seen:
                seen = len(self._history)
                events = [
                    event for event in self._history
                    if event['revision'] > after
                    and event['key'].startswith(fields['prefix'])
                ]
                if events:
                    return 200, {'events': events, 'asOf': self._revision}
            if time.monotonic() > until:
                return 200, {'events': [], 'asOf': self._revision}
            await asyncio.sleep(TICK_SECONDS / 2)

    def _txn(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        expected = body.get('expected', [])
        current = [self.item_by_key.get(row['key']) for row in expected]
        for row, item in zip(expected, current):
            if row['revision'] != (item['revision'] if item else 0):
                return 412, {
                    'items': [item for item in current if item is not None]
                }
        writes = body.get('writes', [])
        if any(write.get('lease', 0) not in (0, *self._leases)
               for write in writes):
            return 404, {}
        self._revision += 1
        for write in writes:
            self._put(
                write['key'],
                base64.b64decode(write['value']),
                write.get('lease', 0),
            )
        for key in body.get('remove', []):
            self._remove(key)
        return 200, {'revision': self._revision}
