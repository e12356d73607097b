"""Stand-ins of the platform's store and workers over HTTP, with faults."""
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
from tests.soak import checker as checkers

STOP_DELAY_SECONDS: typing.Final = 0.1
FAILURE_SECONDS: typing.Final = 0.1
GANG_TIMEOUT_SECONDS: typing.Final = 3.0
MAX_LEASE_SECONDS: typing.Final = 10.0
TICK_SECONDS: typing.Final = 0.02
MAX_PAGE_ITEMS: typing.Final = 500
MAX_REPORTED_ENDS: typing.Final = 500
MAX_PAGE_BYTES: typing.Final = 1_000_000


def _respond(status: int, value: object) -> message.Response:
    return message.json_response(status, value)


def _encode_item(item: interfaces.Item) -> dict[str, object]:
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.revision,
        'lease': item.lease_id,
    }


def _first_page(
    items: typing.Sequence[interfaces.Item]
) -> typing.Sequence[interfaces.Item]:
    """Return the items that fit a page of the platform's listings."""
    size = 0
    for number, item in enumerate(items[:MAX_PAGE_ITEMS]):
        size += len(item.value)
        if size > MAX_PAGE_BYTES and number:
            return items[:number]
    return items[:MAX_PAGE_ITEMS]


class StoreStandIn:
    """Serves a store in memory.

    :ivar delay_seconds: seconds by which each call is delayed.
    :ivar lose_every: every how many writes an answer is lost; 0 for never.
    :ivar ends_at_write: the store ends with the next write of a key with this
        prefix: it takes effect, its connection breaks, and the store is down;
        None for never.
    """

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.delay_seconds = 0.0
        self.lose_every = 0
        self.ends_at_write: str | None = None
        self._writes = 0
        self._lease_expires_at: dict[int, tuple[float, float]] = {}

    async def expire_leases(self) -> None:
        while True:
            await curio.sleep(TICK_SECONDS)
            if self.store.down:
                continue
            now = time.monotonic()
            for lease, (_, until) in list(self._lease_expires_at.items()):
                if now > until:
                    del self._lease_expires_at[lease]
                    self.store.expire(interfaces.LeaseId(lease))

    async def handle(self, request: message.Request) -> message.Response:
        await curio.sleep(self.delay_seconds)
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
            return _respond(404, {})
        return _respond(200, _encode_item(item))

    async def _list(self, fields: dict[str, str]) -> message.Response:
        listed = (await self.store.list(fields['prefix'])).ok_value
        after = fields.get('after', '')
        items = sorted(
            (item for item in listed.items if item.key > after),
            key=lambda item: item.key,
        )
        page = _first_page(items)
        return _respond(
            200,
            {
                'items': [_encode_item(item) for item in page],
                'truncated': len(page) < len(items),
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
            return _respond(410, {})
        if watched.is_err():
            return message.Response(503)
        changes = watched.ok_value
        events = [_encode_item(item) for item in changes.items]
        events += [
            {
                'key': key,
                'revision': revision,
                'deleted': True
            } for key, revision in changes.removed
        ]
        return _respond(200, {'events': events, 'asOf': changes.revision})

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
        committed = await self.store.commit(transaction)
        if committed.is_err():
            return message.Response(503)
        self._writes += 1
        if self.lose_every and self._writes % self.lose_every == 0:
            raise server.AbortConnection()
        commit = committed.ok_value
        prefix = self.ends_at_write
        if prefix is not None and any(write.key.startswith(prefix)
                                      for write in transaction.writes):
            self.ends_at_write = None
            self.store.down = True
            raise server.AbortConnection()
        if commit.outcome is interfaces.CommitOutcome.NO_LEASE:
            return _respond(404, {})
        if commit.outcome is interfaces.CommitOutcome.CONFLICT:
            items = [
                _encode_item(item) for item in commit.current_by_key.values()
            ]
            return _respond(412, {'items': items})
        return _respond(200, {'revision': commit.revision})

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
            self._lease_expires_at[lease] = seconds, now + seconds
            return _respond(
                200, {
                    'lease': lease,
                    'ttlMs': int(seconds * 1000)
                }
            )
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self._lease_expires_at:
            return _respond(404, {})
        if name == 'kv-lease-end':
            del self._lease_expires_at[lease]
            self.store.expire(interfaces.LeaseId(lease))
            return _respond(200, {})
        seconds, _ = self._lease_expires_at[lease]
        self._lease_expires_at[lease] = seconds, now + seconds
        return _respond(200, {'ttlMs': int(seconds * 1000)})


@dataclasses.dataclass(slots=True)
class _ActiveRun:
    """An active run on a worker; times are monotonic seconds.

    :param ends_at: when it ends; None while members of its gang are missing.
    :param kind: how it ends.
    """

    started_at: float
    ends_at: float | None
    kind: workers.EndKind = workers.EndKind.DONE


GangKey = tuple[str, int]


class GangRuns:
    """The active members of gang runs on all workers."""

    def __init__(self) -> None:
        self._members_by_gang: dict[
            GangKey,
            dict[str, _ActiveRun],
        ] = collections.defaultdict(dict)

    def join(
        self, gang: GangKey, task: str, active_run: _ActiveRun,
        step: spec.Step, seconds: float
    ) -> None:
        members = self._members_by_gang[gang]
        members[task] = active_run
        if len(members) == step.count:
            end = time.monotonic() + seconds
            for member in members.values():
                if member.ends_at is None:
                    member.ends_at = end

    def leave(self, gang: GangKey, task: str, kind: workers.EndKind) -> None:
        """Remove a member; end the other members unless it is done."""
        members = self._members_by_gang[gang]
        members.pop(task, None)
        if kind is workers.EndKind.DONE:
            return
        for member in members.values():
            member.ends_at = time.monotonic()
            member.kind = workers.EndKind.GANG_BROKEN


class WorkerStandIn:
    """One worker.

    :ivar silent: whether it neither applies nor answers requests.
    :ivar unheard: whether its answers are lost; requests take effect.
    :ivar faulty: whether it fails all that it starts.
    :param kind: label of its kind.
    """

    def __init__(
        self,
        worker_id: str,
        resources: spec.Resources,
        checker: checkers.HistoryChecker,
        gangs: GangRuns,
        kind: str = 'a',
    ) -> None:
        self.worker_id = worker_id
        self.kind = kind
        self.faulty = False
        self.silent = False
        self.unheard = False
        self._resources = resources
        self._checker = checker
        self._gangs = gangs
        self.restart()

    def restart(self) -> None:
        """Lose all runs and all state, as after a crash."""
        for key in list(getattr(self, '_active_by_key', {})):
            self._checker.record_end(self.worker_id, *key, None)
        self.incarnation = int(time.time() * 1000)
        self._active_by_key: dict[tuple[str, int], _ActiveRun] = {}
        self._unacknowledged_ends: list[tuple[int, str, int,
                                              workers.EndKind]] = []
        self._highest_run_by_task: dict[str, int] = {}
        self._end_count = 0
        self._fencing_token = 0
        self._lease_expires_at = 0.0

    def entry(self, address: str) -> bytes:
        return msgspec.json.encode(
            {
                'service': checkers.SERVICE,
                'address': address,
                'zone': 'north',
                'state': 'ready',
                'capacity': {
                    'cpu': self._resources.cpu,
                    'memMb': self._resources.memory,
                    'gpu': self._resources.accelerators,
                },
                'labels': [self.kind, 'r1-1'],
                'born': self.incarnation,
                'sequence': 1,
            }
        )

    async def run(self) -> None:
        """End runs that are done, without a lease or with too few members."""
        while True:
            await curio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for key, active_run in list(self._active_by_key.items()):
                if now > self._lease_expires_at:
                    self._end(key, workers.EndKind.LEASE_EXPIRED)
                elif (active_run.ends_at is not None
                      and now > active_run.ends_at):
                    self._end(key, active_run.kind)
                elif (active_run.ends_at is None and not self._lasts(key)
                      and now - active_run.started_at > GANG_TIMEOUT_SECONDS):
                    self._end(key, workers.EndKind.GANG_INCOMPLETE)

    def _end(self, key: tuple[str, int], kind: workers.EndKind) -> None:
        if self._active_by_key.pop(key, None) is None:
            return
        self._end_count += 1
        self._unacknowledged_ends.append((self._end_count, *key, kind))
        task = spec.TaskKey.parse(key[0])
        if self._checker.step(task).gang:
            self._gangs.leave(_gang_key(*key), key[0], kind)
        self._checker.record_end(self.worker_id, *key, kind)

    def _lasts(self, key: tuple[str, int]) -> bool:
        return self._checker.step(spec.TaskKey.parse(key[0])).endless

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def _extend_lease(self, until: int) -> None:
        limit = time.monotonic() + MAX_LEASE_SECONDS
        self._lease_expires_at = max(
            self._lease_expires_at, min(until / 1000, limit)
        )

    async def handle(self, request: message.Request) -> message.Response:
        while self.silent:
            await curio.sleep(TICK_SECONDS)
            if not self.silent:
                raise server.AbortConnection()
        if request.headers.get('x-expect-instance') != self.worker_id:
            return _respond(421, {'clockMs': self._clock_ms()})
        body = msgspec.json.decode(request.body)
        if body['fencingToken'] < self._fencing_token:
            return self._reject('fence')
        self._fencing_token = body['fencingToken']
        handlers = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/hold': self._hold,
        }
        answer = await handlers[request.target](body)
        if self.unheard:
            raise server.AbortConnection()
        return answer

    def _reject(self, reason: str) -> message.Response:
        return _respond(409, {'clockMs': self._clock_ms(), 'reason': reason})

    async def _start(self, body: dict[str, typing.Any]) -> message.Response:
        key = body['task'], body['runId']
        if key in self._active_by_key:
            return _respond(200, {'clockMs': self._clock_ms()})
        if key[1] <= self._highest_run_by_task.get(key[0], 0):
            return self._reject('old')
        if body['deadlineMs'] < self._clock_ms():
            return self._reject('late')
        self._extend_lease(body['deadlineMs'])
        self._highest_run_by_task[key[0]] = key[1]
        step = self._checker.record_start(
            self.worker_id, *key, body['spec'], self._resources
        )
        seconds = step.estimate
        now = time.monotonic()
        waits = step.gang or step.endless
        active_run = _ActiveRun(now, None if waits else now + seconds)
        if self.faulty or self._checker.job(key[0]).always_fails:
            active_run.ends_at = now + FAILURE_SECONDS
            active_run.kind = workers.EndKind.FAILED
        self._active_by_key[key] = active_run
        if step.gang:
            self._gangs.join(
                _gang_key(*key), key[0], active_run, step, seconds
            )
        return _respond(200, {'clockMs': self._clock_ms()})

    async def _stop(self, body: dict[str, typing.Any]) -> message.Response:
        key = body['task'], body['runId']
        self._highest_run_by_task[
            key[0]] = max(self._highest_run_by_task.get(key[0], 0), key[1])
        active_run = self._active_by_key.get(key)
        if active_run is not None:
            active_run.ends_at = time.monotonic() + STOP_DELAY_SECONDS
            active_run.kind = workers.EndKind.STOPPED
        return _respond(200, {'clockMs': self._clock_ms()})

    async def _hold(self, body: dict[str, typing.Any]) -> message.Response:
        if 'deadlineMs' in body:
            self._extend_lease(body['deadlineMs'])
        self._checker.record_acknowledged(
            [
                row[1:]
                for row in self._unacknowledged_ends
                if row[0] <= body['lastSeen']
            ]
        )
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends
            if row[0] > body['lastSeen']
        ]
        until = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._unacknowledged_ends and time.monotonic() < until:
            await curio.sleep(TICK_SECONDS)
        now = time.monotonic()
        running = []
        for (task, run), active_run in self._active_by_key.items():
            percent = 100 if self._lasts((task, run)) else 0
            if active_run.ends_at is not None:
                duration = max(
                    0.01, active_run.ends_at - active_run.started_at
                )
                percent = min(
                    99, int(100 * (now - active_run.started_at) / duration)
                )
            running.append([task, run, '', percent, 0])
        return _respond(
            200,
            {
                'clockMs':
                self._clock_ms(),
                'born':
                self.incarnation,
                'running':
                running,
                'ended': [
                    [number, task, run, kind.value, ''] for number, task, run,
                    kind in self._unacknowledged_ends[:MAX_REPORTED_ENDS]
                ],
            },
        )


def _gang_key(task: str, run: int) -> GangKey:
    return task.rsplit('.', 1)[0], run


__all__ = ('GangRuns', 'StoreStandIn', 'WorkerStandIn')
