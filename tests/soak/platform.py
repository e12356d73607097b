"""The platform's store and workers over HTTP, with faults, for the soak."""
from __future__ import annotations

import base64
import collections
import dataclasses
import time
import typing
import urllib.parse

import curio
import msgspec

from nutmegworks.fleet import interfaces
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.fleet import memory
from tests.soak import witness as witnesses

STOP_SECONDS: typing.Final = 0.1
GANG_SECONDS: typing.Final = 3.0
MAX_HOLD_SECONDS: typing.Final = 10.0
TICK_SECONDS: typing.Final = 0.02


def _json(status: int, value: object) -> message.Response:
    return message.json_response(status, value)


def _item(item: interfaces.Item) -> dict[str, object]:
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.revision,
        'lease': item.lease_id,
    }


class StoreStandIn:
    """Serves a store in memory.

    :ivar slow: seconds added to each call.
    :ivar lose: share of the writes whose answers are lost, as one in so many.
    """

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.slow = 0.0
        self.lose = 0
        self._writes = 0
        self._lease_until: dict[int, tuple[float, float]] = {}

    async def expire_leases(self) -> None:
        while True:
            await curio.sleep(TICK_SECONDS)
            if self.store.down:
                continue
            now = time.monotonic()
            for lease, (_, until) in list(self._lease_until.items()):
                if now > until:
                    del self._lease_until[lease]
                    self.store.expire(interfaces.LeaseId(lease))

    async def handle(self, request: message.Request) -> message.Response:
        await curio.sleep(self.slow)
        if self.store.down:
            return message.Response(503)
        path, _, query = request.target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        name = path.split('/')[1]
        handlers = {
            'kv-key': self._get,
            'kv-range': self._list,
            'kv-watch': self._watch,
        }
        if name in handlers:
            return await handlers[name](fields)
        if name == 'kv-txn':
            return await self._commit(msgspec.json.decode(request.body))
        return await self._lease(name, path, request)

    async def _get(self, fields: dict[str, str]) -> message.Response:
        item = self.store.item_by_key.get(fields['key'])
        if item is None:
            return _json(404, {})
        return _json(200, _item(item))

    async def _list(self, fields: dict[str, str]) -> message.Response:
        listed = (await self.store.list(fields['prefix'])).ok_value
        items = sorted(listed.items, key=lambda item: item.key)
        return _json(
            200,
            {
                'items': [_item(item) for item in items],
                'truncated': False,
                'asOf': listed.revision,
            },
        )

    async def _watch(self, fields: dict[str, str]) -> message.Response:
        try:
            watched = await self.store.watch(
                fields['prefix'],
                ids.StoreRevision(int(fields['after'])),
                int(fields['waitMs']) / 1000,
            )
        except interfaces.HistoryLostError:
            return _json(410, {})
        if watched.is_err():
            return message.Response(503)
        changes = watched.ok_value
        events = [_item(item) for item in changes.items]
        events += [
            {
                'key': key,
                'revision': revision,
                'deleted': True
            } for key, revision in changes.removed
        ]
        return _json(200, {'events': events, 'asOf': changes.revision})

    async def _commit(self, body: dict[str, typing.Any]) -> message.Response:
        transaction = interfaces.Transaction(
            {row['key']: row['revision']
             for row in body.get('expected', [])},
            tuple(
                interfaces.Write(
                    row['key'],
                    base64.b64decode(row['value']),
                    interfaces.LeaseId(row.get('lease', 0)),
                ) for row in body.get('writes', [])
            ),
            tuple(body.get('remove', [])),
        )
        done = await self.store.commit(transaction)
        if done.is_err():
            return message.Response(503)
        self._writes += 1
        if self.lose and self._writes % self.lose == 0:
            raise server.AbortConnection()
        commit = done.ok_value
        if commit.outcome is interfaces.CommitOutcome.NO_LEASE:
            return _json(404, {})
        if commit.outcome is interfaces.CommitOutcome.CONFLICT:
            found = [_item(item) for item in commit.current_by_key.values()]
            return _json(412, {'items': found})
        return _json(200, {'revision': commit.revision})

    async def _lease(
        self,
        name: str,
        path: str,
        request: message.Request,
    ) -> message.Response:
        now = time.monotonic()
        if name == 'kv-lease':
            seconds = msgspec.json.decode(request.body)['ttlMs'] / 1000
            lease = (await self.store.grant_lease(seconds)).ok_value
            self._lease_until[lease] = seconds, now + seconds
            return _json(200, {'lease': lease, 'ttlMs': int(seconds * 1000)})
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self._lease_until:
            return _json(404, {})
        if name == 'kv-lease-end':
            del self._lease_until[lease]
            self.store.expire(interfaces.LeaseId(lease))
            return _json(200, {})
        seconds, _ = self._lease_until[lease]
        self._lease_until[lease] = seconds, now + seconds
        return _json(200, {'ttlMs': int(seconds * 1000)})


@dataclasses.dataclass(slots=True)
class _Held:
    """A run on a worker; times are steady seconds.

    :param ends_at: when it ends by itself; None while a gang gathers.
    """

    started_at: float
    ends_at: float | None
    kind: workers.EndKind = workers.EndKind.DONE


Group = tuple[str, int]


class Gangs:
    """Members of gang runs that are present, across workers."""

    def __init__(self) -> None:
        self._present: dict[
            Group,
            dict[str, _Held],
        ] = collections.defaultdict(dict)

    def join(
        self, group: Group, task: str, held: _Held, step: spec.Step,
        seconds: float
    ) -> None:
        present = self._present[group]
        present[task] = held
        if len(present) == step.count:
            end = time.monotonic() + seconds
            for member in present.values():
                member.ends_at = end

    def leave(self, group: Group, task: str, kind: workers.EndKind) -> None:
        """End the other members of a run that did not end well."""
        present = self._present[group]
        present.pop(task, None)
        if kind is workers.EndKind.DONE:
            return
        for member in present.values():
            member.ends_at = time.monotonic()
            member.kind = workers.EndKind.GANG_BROKEN


class WorkerStandIn:
    """One worker.

    :ivar silent: answers nothing and does not act on orders.
    """

    def __init__(
        self,
        worker_id: str,
        room: spec.Resources,
        witness: witnesses.Witness,
        gangs: Gangs,
    ) -> None:
        self.worker_id = worker_id
        self.silent = False
        self._room = room
        self._witness = witness
        self._gangs = gangs
        self.restart()

    def restart(self) -> None:
        """Lose everything, as after a crash."""
        for key in list(getattr(self, '_held', {})):
            self._witness.ended(self.worker_id, *key, None)
        self.born = int(time.time() * 1000)
        self._held: dict[tuple[str, int], _Held] = {}
        self._ended: list[tuple[int, str, int, workers.EndKind]] = []
        self._highest: dict[str, int] = {}
        self._number = 0
        self._token = 0
        self._lease_until = 0.0

    def entry(self, address: str) -> bytes:
        return msgspec.json.encode(
            {
                'service': witnesses.SERVICE,
                'address': address,
                'zone': 'north',
                'state': 'ready',
                'capacity': {
                    'cpu': self._room.cpu,
                    'memMb': self._room.memory,
                    'gpu': self._room.accelerators,
                },
                'labels': ['a', 'r1-1'],
                'born': self.born,
                'sequence': 1,
            }
        )

    async def run(self) -> None:
        """End runs when their time has come."""
        while True:
            await curio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for key, held in list(self._held.items()):
                if now > self._lease_until:
                    self._end(key, workers.EndKind.LEASE_EXPIRED)
                elif held.ends_at is not None and now > held.ends_at:
                    self._end(key, held.kind)
                elif (held.ends_at is None
                      and now - held.started_at > GANG_SECONDS):
                    self._end(key, workers.EndKind.GANG_INCOMPLETE)

    def _end(self, key: tuple[str, int], kind: workers.EndKind) -> None:
        if self._held.pop(key, None) is None:
            return
        self._number += 1
        self._ended.append((self._number, *key, kind))
        task = spec.TaskKey.parse(key[0])
        if self._witness.step(task).gang:
            self._gangs.leave(_group(*key), key[0], kind)
        self._witness.ended(self.worker_id, *key, kind)

    def _clock(self) -> int:
        return int(time.monotonic() * 1000)

    def _hold_until(self, until: int) -> None:
        latest = time.monotonic() + MAX_HOLD_SECONDS
        self._lease_until = max(self._lease_until, min(until / 1000, latest))

    async def handle(self, request: message.Request) -> message.Response:
        while self.silent:
            await curio.sleep(TICK_SECONDS)
            if not self.silent:
                raise server.AbortConnection()
        if request.headers.get('x-expect-instance') != self.worker_id:
            return _json(421, {'clockMs': self._clock()})
        body = msgspec.json.decode(request.body)
        if body['fencingToken'] < self._token:
            return self._reject('fence')
        self._token = body['fencingToken']
        handlers = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/hold': self._hold,
        }
        return await handlers[request.target](body)

    def _reject(self, reason: str) -> message.Response:
        return _json(409, {'clockMs': self._clock(), 'reason': reason})

    async def _start(self, body: dict[str, typing.Any]) -> message.Response:
        key = body['task'], body['runId']
        if key in self._held:
            return _json(200, {'clockMs': self._clock()})
        if key[1] <= self._highest.get(key[0], 0):
            return self._reject('old')
        if body['deadlineMs'] < self._clock():
            return self._reject('late')
        self._hold_until(body['deadlineMs'])
        self._highest[key[0]] = key[1]
        step = self._witness.started(
            self.worker_id, *key, body['spec'], self._room
        )
        seconds = step.estimate
        now = time.monotonic()
        held = _Held(now, None if step.gang else now + seconds)
        self._held[key] = held
        if step.gang:
            self._gangs.join(_group(*key), key[0], held, step, seconds)
        return _json(200, {'clockMs': self._clock()})

    async def _stop(self, body: dict[str, typing.Any]) -> message.Response:
        key = body['task'], body['runId']
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        held = self._held.get(key)
        if held is not None:
            held.ends_at = time.monotonic() + STOP_SECONDS
            held.kind = workers.EndKind.STOPPED
        return _json(200, {'clockMs': self._clock()})

    async def _hold(self, body: dict[str, typing.Any]) -> message.Response:
        if 'deadlineMs' in body:
            self._hold_until(body['deadlineMs'])
        self._witness.acknowledged(
            [row[1:] for row in self._ended if row[0] <= body['lastSeen']]
        )
        self._ended = [row for row in self._ended if row[0] > body['lastSeen']]
        until = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ended and time.monotonic() < until:
            await curio.sleep(TICK_SECONDS)
        now = time.monotonic()
        running = []
        for (task, run), held in self._held.items():
            percent = 0
            if held.ends_at is not None:
                whole = max(0.01, held.ends_at - held.started_at)
                percent = min(99, int(100 * (now - held.started_at) / whole))
            running.append([task, run, '', percent, 0])
        return _json(
            200,
            {
                'clockMs':
                self._clock(),
                'born':
                self.born,
                'running':
                running,
                'ended': [
                    [number, task, run, kind.value, '']
                    for number, task, run, kind in self._ended
                ],
            },
        )


def _group(task: str, run: int) -> Group:
    return task.rsplit('.', 1)[0], run


__all__ = ('Gangs', 'StoreStandIn', 'WorkerStandIn')
