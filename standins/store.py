"""A stand-in for the platform's key-value store that injects faults."""
from __future__ import annotations

import time
import typing
import urllib.parse

import curio
import msgspec
import sortedcontainers
import typer

from nutmegworks.net import message
from nutmegworks.net import server
from standins import service

MAX_VALUE_BYTES: typing.Final = 1024 * 1024
MAX_WATCH_SECONDS: typing.Final = 60.0
# Longer than any caller waits, so that a silent call is never answered.
SILENT_SECONDS: typing.Final = 3600.0
WATCH_POLL_SECONDS: typing.Final = 0.005


class Faults(msgspec.Struct):
    """The active faults.

    :param down: refuse every call with 503.
    :param silent: accept calls and never answer.
    :param delay: seconds before each call is handled.
    :param lose_answers: apply a write, then close without a response; the
        number of writes still affected, -1 for all.
    :param drop_writes: close without applying the write or answering; the
        number of writes still affected, -1 for all.
    :param silent_watches: never answer watches.
    :param stale_reads: answer reads with the state of this many revisions ago.
    :param rate: maximum of calls per second, 0 for no limit.
    """

    down: bool = False
    silent: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    drop_writes: int = 0
    silent_watches: bool = False
    stale_reads: int = 0
    rate: float = 0.0


class _Lease(msgspec.Struct):
    ttl: float
    expires: float
    keys: set[str]


class _Version(msgspec.Struct):
    revision: int
    value: bytes | None


class StoreStandIn:
    """Keeps keys and leases in memory; one counter numbers all writes."""

    def __init__(
        self,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._clock = clock
        self._revision = 0
        self._versions_by_key: typing.Any = sortedcontainers.SortedDict()
        self._lease_by_id: dict[str, _Lease] = {}
        self._lease_count = 0
        self._tokens = 0.0
        self._tokens_updated_at = clock()
        self._waiting_watches = 0
        self._routes: dict[
            tuple[str, str],
            typing.Callable[..., typing.Awaitable[message.Response]],
        ] = {
            ('GET', 'kv'): self._get,
            ('PUT', 'kv'): self._put,
            ('DELETE', 'kv'): self._delete,
            ('GET', 'range'): self._range,
            ('GET', 'watch'): self._watch,
            ('POST', 'leases'): self._grant_or_renew,
            ('DELETE', 'leases'): self._revoke,
        }

    async def handle(self, request: message.Request) -> message.Response:
        """Serve one request."""
        parts = urllib.parse.urlsplit(request.target)
        path = urllib.parse.unquote(parts.path)
        if path == '/fault':
            self.faults = msgspec.json.decode(request.body, type=Faults)
            return message.json_response(200, {})
        if path == '/calls':
            return message.json_response(
                200, {
                    'calls': self.calls,
                    'waiting': self._waiting_watches
                }
            )
        refusal = await self._apply_faults()
        if refusal is not None:
            return refusal
        self._expire_leases()
        _, _, kind, *subpath = path.split('/', 3)
        name = f'{request.method} {kind}'
        self.calls[name] = self.calls.get(name, 0) + 1
        query = dict(urllib.parse.parse_qsl(parts.query))
        route = self._routes.get((request.method, kind))
        if route is None:
            return message.json_response(404, {})
        return await route(subpath[0] if subpath else '', request, query)

    async def _apply_faults(self) -> message.Response | None:
        faults = self.faults
        if faults.silent:
            await curio.sleep(SILENT_SECONDS)
        if faults.delay:
            await curio.sleep(faults.delay)
        if faults.down:
            return message.json_response(503, {'detail': 'down'})
        if faults.rate and not self._take_token(faults.rate):
            return message.json_response(429, {'detail': 'over the rate'})
        return None

    def _take_token(self, rate: float) -> bool:
        now = self._clock()
        replenished = self._tokens + (now - self._tokens_updated_at) * rate
        self._tokens = min(rate, replenished)
        self._tokens_updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _expire_leases(self) -> None:
        now = self._clock()
        for lease_id, lease in list(self._lease_by_id.items()):
            if lease.expires <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        lease = self._lease_by_id.pop(lease_id)
        for key in lease.keys:
            if self._latest(key).value is not None:
                self._write(key, None)

    def _latest(self, key: str) -> _Version:
        versions = self._versions_by_key.get(key)
        return versions[-1] if versions else _Version(0, None)

    def _visible_version(self, key: str) -> _Version:
        """Return the version that a read returns, which may be stale."""
        limit = self._revision - self.faults.stale_reads
        for version in reversed(self._versions_by_key.get(key, [])):
            if version.revision <= limit or not self.faults.stale_reads:
                return version
        return _Version(0, None)

    def _write(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        versions = self._versions_by_key.setdefault(key, [])
        versions.append(_Version(self._revision, value))
        # Limits memory; a stale read finds no value if a key has had more
        # writes than these since then.
        del versions[:-8]
        for lease in self._lease_by_id.values():
            lease.keys.discard(key)
        return self._revision

    def _drop_write(self) -> None:
        if self.faults.drop_writes:
            self.faults.drop_writes -= 1
            raise server.AbortConnection()

    def _lose_answer(self) -> None:
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise server.AbortConnection()

    async def _get(
        self,
        key: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        version = self._visible_version(key)
        if version.value is None:
            return message.json_response(404, {})
        headers = {'store-revision': str(version.revision)}
        return message.Response(200, headers, version.value)

    def _check_revision(
        self,
        key: str,
        request: message.Request,
    ) -> message.Response | None:
        latest = self._latest(key)
        current = latest.revision if latest.value is not None else 0
        if int(request.headers.get('if-revision', '0')) == current:
            return None
        headers = {'store-revision': str(current)}
        return message.json_response(409, {}, headers)

    async def _put(
        self,
        key: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        self._drop_write()
        if len(request.body) > MAX_VALUE_BYTES:
            return message.json_response(413, {})
        refusal = self._check_revision(key, request)
        if refusal is not None:
            return refusal
        lease_id = request.headers.get('lease-id')
        if lease_id is not None and lease_id not in self._lease_by_id:
            return message.json_response(409, {'detail': 'lease expired'})
        revision = self._write(key, request.body)
        if lease_id is not None:
            self._lease_by_id[lease_id].keys.add(key)
        self._lose_answer()
        headers = {'store-revision': str(revision)}
        return message.json_response(200, {}, headers)

    async def _delete(
        self,
        key: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        self._drop_write()
        refusal = self._check_revision(key, request)
        if refusal is not None:
            return refusal
        self._write(key, None)
        self._lose_answer()
        return message.json_response(200, {})

    def _page(
        self,
        prefix: str,
        after: str,
        after_revision: int,
        limit: int,
    ) -> message.Response:
        items = []
        start = max(prefix, after)
        for key in self._versions_by_key.irange(start):
            if not key.startswith(prefix):
                break
            version = self._visible_version(key)
            included = version.revision > after_revision
            if after_revision == 0 and version.value is None:
                included = False
            if key > after and included:
                items.append(
                    {
                        'key': key,
                        'revision': version.revision,
                        'value': version.value,
                    }
                )
            if len(items) >= limit:
                break
        value = {'items': items, 'revision': self._revision}
        return message.json_response(200, value)

    async def _range(
        self,
        subpath: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        limit = int(query.get('limit', '100'))
        prefix = query.get('prefix', '')
        return self._page(prefix, query.get('after', ''), 0, limit)

    async def _watch(
        self,
        subpath: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        prefix = query.get('prefix', '')
        after = int(query.get('after_revision', '0'))
        wait = min(float(query.get('wait', '0')), MAX_WATCH_SECONDS)
        deadline = self._clock() + wait
        self._waiting_watches += 1
        last_revision = -1
        try:
            while self._clock() < deadline:
                if self.faults.silent_watches:
                    await curio.sleep(SILENT_SECONDS)
                self._expire_leases()
                if last_revision != self._revision and self._has_changes(
                        prefix, after):
                    break
                last_revision = self._revision
                await curio.sleep(WATCH_POLL_SECONDS)
        finally:
            self._waiting_watches -= 1
        return self._page(prefix, '', after, 1000)

    def _has_changes(self, prefix: str, after: int) -> bool:
        for key in self._versions_by_key.irange(prefix):
            if not key.startswith(prefix):
                return False
            if self._latest(key).revision > after:
                return True
        return False

    async def _grant_or_renew(
        self,
        subpath: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        if subpath:
            return self._renew(subpath.partition('/')[0])
        ttl = float(msgspec.json.decode(request.body)['ttl'])
        self._lease_count += 1
        lease_id = f'lease-{self._lease_count}'
        self._lease_by_id[lease_id] = _Lease(ttl, self._clock() + ttl, set())
        return message.json_response(200, {'lease_id': lease_id})

    def _renew(self, lease_id: str) -> message.Response:
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return message.json_response(409, {})
        lease.expires = self._clock() + lease.ttl
        return message.json_response(200, {})

    async def _revoke(
        self,
        subpath: str,
        request: message.Request,
        query: dict[str, str],
    ) -> message.Response:
        if subpath in self._lease_by_id:
            self._end_lease(subpath)
        return message.json_response(200, {})


def main(host: str = '127.0.0.1', port: int = 0) -> None:
    """Print the address and serve until SIGTERM or SIGINT."""
    stand_in = StoreStandIn()
    curio.run(service.serve_until_signal, stand_in.handle, host, port)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Faults', 'StoreStandIn', 'main')
