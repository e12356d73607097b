"""The platform's metadata store, kept in memory."""
from __future__ import annotations

import asyncio
import base64
import time
import typing

from lab import http

# "4 ms an answer", "20 s of history" (sheet of zahra-rounds).
ANSWER_SECONDS: typing.Final = 0.004
HISTORY_SECONDS: typing.Final = 20.0
PAGE_ITEMS: typing.Final = 500
TICK_SECONDS: typing.Final = 0.02


class Store:
    """Serves PROTOCOL.md's store calls.

    :ivar on_commit: called with the keys of each transaction that took
        effect, before it is answered.
    """

    def __init__(self) -> None:
        self.on_commit: typing.Callable[[list[str]], None] | None = None
        self.server = http.Server(self._handle)
        self.down = False
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._revision = 100
        # Rows of time, revision and event.
        self._history: list[tuple[float, int, dict[str, typing.Any]]] = []
        self._forgotten = 100
        # Time to live and end by lease.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 70_000
        self._changed = asyncio.Event()

    async def start(self) -> None:
        await self.server.open()
        asyncio.create_task(self._expire())

    async def restart(self, down_seconds: float) -> None:
        """End like a crashed process and come back; nothing stored is lost.

        The store's leases pause meanwhile.
        """
        self.down = True
        self.server.close()
        await asyncio.sleep(down_seconds)
        self._leases = {
            lease: (ttl, until + down_seconds)
            for lease, (ttl, until) in self._leases.items()
        }
        self.down = False
        await self.server.open()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            if not self.down:
                for lease, (_, until) in list(self._leases.items()):
                    if now > until:
                        self._end_lease(lease)
            while self._history and (
                    now - self._history[0][0] > HISTORY_SECONDS):
                self._forgotten = self._history.pop(0)[1]

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item['lease'] == lease:
                self.remove(key)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self._revision,
            'created': old['created'] if old else self._revision,
            'lease': lease,
        }
        self._record(self._items[key])

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record(
                {'key': key, 'revision': self._revision, 'deleted': True}
            )

    def _record(self, event: dict[str, typing.Any]) -> None:
        self._history.append((time.monotonic(), self._revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: http.Request) -> http.Response:
        name = request.path.split('/')[1]
        if name == 'kv-watch':
            return await self._watch(request.query)
        answer = getattr(self, '_' + name.replace('-', '_'))(request)
        await asyncio.sleep(ANSWER_SECONDS)
        if self.down:
            raise http.Reset
        return answer

    def _kv_key(self, request: http.Request) -> http.Response:
        item = self._items.get(request.query['key'])
        if item is None:
            return http.Response(404, {'asOf': self._revision})
        return http.Response(200, {**item, 'asOf': self._revision})

    def _kv_range(self, request: http.Request) -> http.Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self._items
            if key.startswith(prefix) and key > after
        )
        return http.Response(
            200, {
                'items': [self._items[key] for key in keys[:PAGE_ITEMS]],
                'truncated': len(keys) > PAGE_ITEMS,
                'asOf': self._revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> http.Response:
        after = int(query['after'])
        until = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            if after < self._forgotten:
                return http.Response(410, {})
            events = [
                event for _, revision, event in self._history
                if revision > after
                and event['key'].startswith(query['prefix'])
            ]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                await asyncio.sleep(ANSWER_SECONDS)
                return http.Response(
                    200, {'events': events, 'asOf': self._revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except (asyncio.TimeoutError, TimeoutError):
                pass

    def _kv_txn(self, request: http.Request) -> http.Response:
        body = request.json()
        expected = {
            row['key']: row['revision'] for row in body.get('expected', [])
        }
        writes = body.get('writes', [])
        for row in writes:
            if row.get('lease') and row['lease'] not in self._leases:
                return http.Response(404, {})
        if any(self._items.get(key, {'revision': 0})['revision'] != revision
               for key, revision in expected.items()):
            return http.Response(
                412, {
                    'items': [
                        self._items[key] for key in expected
                        if key in self._items
                    ]
                }
            )
        for row in writes:
            self.put(
                row['key'], base64.b64decode(row['value']),
                row.get('lease', 0)
            )
        for key in body.get('remove', []):
            self.remove(key)
        revision = self._revision
        if self.on_commit is not None:
            self.on_commit([row['key'] for row in writes])
        return http.Response(200, {'revision': revision})

    def _kv_lease(self, request: http.Request) -> http.Response:
        ttl = max(1.0, request.json()['ttlMs'] / 1000)
        self._next_lease += 1
        self._leases[self._next_lease] = ttl, time.monotonic() + ttl
        return http.Response(
            200, {'lease': self._next_lease, 'ttlMs': int(ttl * 1000)}
        )

    def _kv_keep(self, request: http.Request) -> http.Response:
        lease = int(request.path.rsplit('/', 1)[1])
        if lease not in self._leases:
            return http.Response(404, {})
        ttl = self._leases[lease][0]
        self._leases[lease] = ttl, time.monotonic() + ttl
        return http.Response(200, {'ttlMs': int(ttl * 1000)})

    def _kv_lease_end(self, request: http.Request) -> http.Response:
        lease = int(request.path.rsplit('/', 1)[1])
        if lease not in self._leases:
            return http.Response(404, {})
        self._end_lease(lease)
        return http.Response(200, {})
