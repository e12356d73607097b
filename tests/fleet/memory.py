"""In-memory store and workers with faults that tests can inject."""
from __future__ import annotations

import time
import typing

import curio
import result

from nutmegworks.fleet import interfaces
from nutmegworks.model import ids
from nutmegworks.policy import call_effect
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

POLL_SECONDS: typing.Final = 0.005
# The platform's limit on a transaction, its expected revisions included.
MAX_ENTRIES: typing.Final = 32

_DOWN: typing.Final = result.Err(
    interfaces.StoreError(call_effect.Effect.NONE, 'down')
)


class MemoryStore(interfaces.Store):
    """A store that keeps items and their history.

    :ivar silent_watches: watches return no changes, but an advanced revision.
    :ivar down: all calls fail without effect.
    :ivar lose_answers: number of next commits that take effect but return an
        error.
    :ivar hold_commits: commits return an error and are kept for
        ``apply_held_commits``.
    """

    def __init__(self) -> None:
        self.item_by_key: dict[str, interfaces.Item] = {}
        self.revision = 10
        self.silent_watches = False
        self.down = False
        self.lose_answers = 0
        self.hold_commits = False
        self.commits: list[interfaces.Transaction] = []
        self._held: list[interfaces.Transaction] = []
        self._history: list[tuple[int, interfaces.Item | str]] = []
        self._compacted_revision = 0
        self._leases: set[int] = set()

    def is_down(self) -> bool:
        return self.down

    def put(
        self,
        key: str,
        value: bytes,
        lease_id: interfaces.LeaseId = interfaces.NO_LEASE,
    ) -> None:
        self.revision += 1
        item = interfaces.Item(
            key, value, ids.StoreRevision(self.revision), lease_id
        )
        self.item_by_key[key] = item
        self._history.append((self.revision, item))

    def remove(self, key: str) -> None:
        if key in self.item_by_key:
            self.revision += 1
            del self.item_by_key[key]
            self._history.append((self.revision, key))

    def drop_history(self) -> None:
        self._compacted_revision = self.revision
        self._history.clear()

    async def get(
        self,
        key: str,
    ) -> result.Result[interfaces.Item | None, interfaces.StoreError]:
        if self.down:
            return _DOWN
        return result.Ok(self.item_by_key.get(key))

    async def list(
        self,
        prefix: str,
    ) -> result.Result[interfaces.Changes, interfaces.StoreError]:
        if self.down:
            return _DOWN
        items = tuple(
            item for key, item in self.item_by_key.items()
            if key.startswith(prefix)
        )
        return result.Ok(interfaces.Changes(items, (), self._now()))

    def _now(self) -> ids.StoreRevision:
        return ids.StoreRevision(self.revision)

    async def watch(
        self,
        prefix: str,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[interfaces.Changes, interfaces.StoreError]:
        deadline = time.monotonic() + wait
        while True:
            if self.down:
                return _DOWN
            if after < self._compacted_revision:
                raise interfaces.HistoryLostError(prefix)
            entries = [] if self.silent_watches else [
                entry for revision, entry in self._history
                if revision > after and _key(entry).startswith(prefix)
            ]
            if entries or time.monotonic() > deadline:
                break
            await curio.sleep(POLL_SECONDS)
        return result.Ok(
            interfaces.Changes(
                tuple(e for e in entries if isinstance(e, interfaces.Item)),
                tuple((e, self._now()) for e in entries if isinstance(e, str)),
                self._now(),
            )
        )

    async def commit(
        self,
        transaction: interfaces.Transaction,
        *,
        timeout: float | None = None,
        repeatable: bool = False,
    ) -> result.Result[interfaces.Commit, interfaces.StoreError]:
        if self.down:
            return _DOWN
        entries = (
            len(transaction.expected) + len(transaction.writes) +
            len(transaction.removed)
        )
        if entries > MAX_ENTRIES:
            return result.Err(
                interfaces.StoreError(
                    call_effect.Effect.UNKNOWN, 'status 400'
                )
            )
        if self.hold_commits:
            self._held.append(transaction)
            return _lost_answer()
        commit = self._apply(transaction)
        if self.lose_answers:
            self.lose_answers -= 1
            return _lost_answer()
        return result.Ok(commit)

    def apply_held_commits(self) -> list[interfaces.Commit]:
        """Apply the held commits, as if they arrived late."""
        held, self._held = self._held, []
        return [self._apply(transaction) for transaction in held]

    def _apply(
        self,
        transaction: interfaces.Transaction,
    ) -> interfaces.Commit:
        for key, revision in transaction.expected.items():
            item = self.item_by_key.get(key)
            current = interfaces.ABSENT if item is None else item.revision
            if current != revision:
                return interfaces.Commit(
                    interfaces.CommitOutcome.CONFLICT,
                    current_by_key={
                        key: self.item_by_key[key]
                        for key in transaction.expected
                        if key in self.item_by_key
                    },
                )
        for write in transaction.writes:
            if write.lease_id and write.lease_id not in self._leases:
                return interfaces.Commit(interfaces.CommitOutcome.NO_LEASE)
        # All writes of a transaction get the same revision.
        self.commits.append(transaction)
        previous = self.revision
        for write in transaction.writes:
            self.revision = previous
            self.put(write.key, write.value, write.lease_id)
        for key in transaction.removed:
            self.remove(key)
        return interfaces.Commit(
            interfaces.CommitOutcome.COMMITTED, self._now()
        )

    async def grant_lease(
        self,
        seconds: float,
    ) -> result.Result[interfaces.LeaseId, interfaces.StoreError]:
        if self.down:
            return _DOWN
        lease_id = interfaces.LeaseId(len(self._leases) + 1)
        self._leases.add(lease_id)
        return result.Ok(lease_id)

    async def renew_lease(
        self,
        lease_id: interfaces.LeaseId,
    ) -> result.Result[bool, interfaces.StoreError]:
        if self.down:
            return _DOWN
        return result.Ok(lease_id in self._leases)

    async def end_lease(
        self,
        lease_id: interfaces.LeaseId,
    ) -> result.Result[bool, interfaces.StoreError]:
        self.expire(lease_id)
        return result.Ok(True)

    def expire(self, lease_id: interfaces.LeaseId) -> None:
        """End a lease and remove its keys."""
        self._leases.discard(lease_id)
        for key, item in list(self.item_by_key.items()):
            if item.lease_id == lease_id:
                self.remove(key)


def _key(entry: interfaces.Item | str) -> str:
    return entry if isinstance(entry, str) else entry.key


def _lost_answer() -> result.Err[interfaces.StoreError]:
    return result.Err(
        interfaces.StoreError(call_effect.Effect.UNKNOWN, 'no answer')
    )


class MemoryWorkers(interfaces.WorkerClient):
    """Workers whose runs end only when the test ends them.

    :ivar unreachable: workers on which requests fail without effect.
    :ivar unheard: workers whose answers are lost; requests take effect.
    :ivar replaced: workers at whose addresses others answer now.
    :ivar lease_by_id: end of the latest lease in milliseconds, by worker.
    :ivar lose_starts: number of next starts that take effect without an
        answer.
    :ivar ignored_stops: number of next stops that are answered and have no
        effect.
    :ivar percent: progress that reports give for each run.
    """

    def __init__(self) -> None:
        self.ignored_stops = 0
        self.percent = 10
        self.unreachable: set[ids.WorkerId] = set()
        self.unheard: set[ids.WorkerId] = set()
        self.replaced: set[ids.WorkerId] = set()
        self.lease_by_id: dict[ids.WorkerId, int] = {}
        self.lose_starts = 0
        self.token_by_id: dict[ids.WorkerId, int] = {}
        self.running_by_id: dict[
            ids.WorkerId,
            dict[tuple[spec.TaskKey, workers.RunNumber], str],
        ] = {}
        self.ended_by_id: dict[ids.WorkerId, list[workers.RunEnd]] = {}
        self.number_by_id: dict[ids.WorkerId, int] = {}
        self.starts: list[tuple[ids.WorkerId, workers.StartRequest]] = []

    def _extend_lease(self, worker_id: ids.WorkerId, until: int) -> None:
        self.lease_by_id[worker_id] = max(
            until, self.lease_by_id.get(worker_id, 0)
        )

    def _accepts(self, worker_id: ids.WorkerId, token: int) -> bool:
        if token < self.token_by_id.get(worker_id, 0):
            return False
        self.token_by_id[worker_id] = token
        return True

    async def start(
        self,
        worker: workers.WorkerEntry,
        request: workers.StartRequest,
        *,
        fresh: bool = False,
    ) -> workers.StartOutcome:
        worker_id = worker.worker_id
        if worker_id in self.unreachable:
            return workers.StartOutcome.UNKNOWN
        if not self._accepts(worker_id, request.token):
            return workers.StartOutcome.FENCED
        self.starts.append((worker_id, request))
        running = self.running_by_id.setdefault(worker_id, {})
        running[(request.task, request.run)] = request.checkpoint
        self._extend_lease(worker_id, request.lease_until)
        if worker_id in self.unheard:
            return workers.StartOutcome.UNKNOWN
        if self.lose_starts:
            self.lose_starts -= 1
            return workers.StartOutcome.UNKNOWN
        return workers.StartOutcome.STARTED

    async def stop(
        self,
        worker: workers.WorkerEntry,
        task: spec.TaskKey,
        run: workers.RunNumber,
        token: ids.FencingToken,
        *,
        fresh: bool = False,
    ) -> result.Result[bool, interfaces.CallError]:
        worker_id = worker.worker_id
        if worker_id in self.unreachable:
            return result.Err(interfaces.CallError('silent'))
        if not self._accepts(worker_id, token):
            return result.Ok(False)
        if self.ignored_stops:
            self.ignored_stops -= 1
            return result.Ok(True)
        self.end(worker_id, task, run, workers.EndKind.STOPPED)
        return result.Ok(True)

    def end(
        self,
        worker_id: ids.WorkerId,
        task: spec.TaskKey,
        run: workers.RunNumber,
        kind: workers.EndKind,
    ) -> None:
        """End a run if the worker has it."""
        ended = self.running_by_id.get(worker_id, {}).pop((task, run), None)
        if ended is None:
            return
        number = self.number_by_id.get(worker_id, 0) + 1
        self.number_by_id[worker_id] = number
        self.ended_by_id.setdefault(worker_id, []).append(
            workers.RunEnd(number, task, run, kind, '')
        )

    async def renew(
        self,
        worker: workers.WorkerEntry,
        token: ids.FencingToken,
        acknowledged: int,
        *,
        lease_until: int | None,
        wait: float,
    ) -> result.Result[workers.Report | None, interfaces.CallError]:
        worker_id = worker.worker_id
        await curio.sleep(min(wait, 0.03))
        if worker_id in self.unreachable:
            return result.Err(interfaces.CallError('silent'))
        if worker_id in self.replaced:
            return result.Err(interfaces.CallError('421', replaced=True))
        if not self._accepts(worker_id, token):
            return result.Ok(None)
        if lease_until is not None:
            self._extend_lease(worker_id, lease_until)
        if worker_id in self.unheard:
            return result.Err(interfaces.CallError('silent'))
        ended = [
            end for end in self.ended_by_id.get(worker_id, [])
            if end.number > acknowledged
        ]
        self.ended_by_id[worker_id] = ended
        return result.Ok(
            workers.Report(
                clock=int(time.monotonic() * 1000),
                incarnation=worker.incarnation,
                running=tuple(
                    workers.RunStatus(task, run, '', self.percent)
                    for task, run in self.running_by_id.get(worker_id, {})
                ),
                ended=tuple(ended),
            )
        )
