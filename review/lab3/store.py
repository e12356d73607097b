"""The platform's metadata store, in memory."""
from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
import typing
import urllib.parse

from review.lab3 import httpio

PAGE_ITEMS: typing.Final = 500
PAGE_BYTES: typing.Final = 1_000_000
TICK_SECONDS: typing.Final = 0.02
HISTORY_SECONDS: typing.Final = 20.0


class Store:
    """Linearizable; answers ``delay`` seconds after it has carried out."""

    def __init__(self, delay: float = 0.004) -> None:
        self.delay = delay
        # While it is down, calls get 503 and leases pause.
        self.is_down = False
        self.revision = 10
        self.items: dict[str, dict] = {}
        self._events: list[tuple[float, dict]] = []
        self._compacted = self.revision
        self._leases: dict[int, list[float]] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self.port = httpio.free_port()
        self.server = httpio.Server(self.handle, self.port)

    async def start(self) -> None:
        await self.server.start()
        asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            if self.is_down:
                for times in self._leases.values():
                    times[1] += TICK_SECONDS
            for lease, (_, until) in list(self._leases.items()):
                if now > until:
                    self._end_lease(lease)
            while self._events and self._events[0][0] < now - HISTORY_SECONDS:
                self._compacted = self._events.pop(0)[1]['revision']

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items()
                if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _record(self, event: dict) -> None:
        self._events.append((time.monotonic(), event))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._record(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get('created', self.revision)
        item = {'key': key, 'value': value, 'revision': self.revision,
                'created': created, 'lease': lease}
        self.items[key] = item
        self._record(item)

    def put(self, key: str, value: object) -> None:
        """Write as the operator or an executor does."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(key, text, 0)
        self._notify()

    def remove(self, key: str) -> None:
        self.revision += 1
        self._remove(key)
        self._notify()

    def read(self, key: str) -> dict | None:
        item = self.items.get(key)
        if item is None:
            return None
        return json.loads(base64.b64decode(item['value']))

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        name = path.split('/')[1]
        if self.is_down:
            return 503, {}
        if name == 'kv-watch':
            return await self._watch(fields)
        answer = self._answer(name, path, fields, body)
        await asyncio.sleep(self.delay)
        return answer

    def _answer(
        self, name: str, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if name == 'kv-key':
            item = self.items.get(fields['key'])
            return (404, {}) if item is None else (200, item)
        if name == 'kv-range':
            return self._range(fields)
        if name == 'kv-txn':
            return self._commit(json.loads(body))
        if name == 'kv-lease':
            seconds = json.loads(body)['ttlMs'] / 1000
            lease = next(self._lease_ids)
            self._leases[lease] = [seconds, time.monotonic() + seconds]
            return 200, {'lease': lease, 'ttlMs': int(seconds * 1000)}
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self._leases:
            return 404, {}
        if name == 'kv-keep':
            seconds = self._leases[lease][0]
            self._leases[lease][1] = time.monotonic() + seconds
            return 200, {'ttlMs': int(seconds * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, fields: dict[str, str]) -> tuple[int, object]:
        after = fields.get('after', '')
        keys = sorted(
            key for key in self.items
            if key.startswith(fields['prefix']) and key > after
        )
        page: list[dict] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]['value'])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return 200, {'items': page, 'truncated': len(page) < len(keys),
                     'asOf': self.revision}

    async def _watch(self, fields: dict[str, str]) -> tuple[int, object]:
        after = int(fields['after'])
        until = time.monotonic() + int(fields['waitMs']) / 1000
        while True:
            if self.is_down:
                return 503, {}
            if after < self._compacted:
                return 410, {}
            events = [
                event for _, event in self._events
                if event['revision'] > after
                and event['key'].startswith(fields['prefix'])
            ]
            as_of = self.revision
            left = until - time.monotonic()
            if events or left <= 0:
                await asyncio.sleep(self.delay)
                return 200, {'events': events, 'asOf': as_of}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, body: dict) -> tuple[int, object]:
        expected = body.get('expected', [])
        writes = body.get('writes', [])
        if any(write['key'].startswith(('op/', 'servers/'))
               for write in writes):
            return 403, {}
        held = all(
            self.items.get(row['key'], {}).get('revision', 0)
            == row['revision'] for row in expected
        )
        if not held:
            return 412, {'items': [
                self.items[row['key']] for row in expected
                if row['key'] in self.items
            ]}
        if any(write.get('lease') and write['lease'] not in self._leases
               for write in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._write(write['key'], write['value'], write.get('lease', 0))
        for key in body.get('remove', []):
            self._remove(key)
        self._notify()
        return 200, {'revision': self.revision}
