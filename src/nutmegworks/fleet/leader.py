"""One term of leadership: loads what is stored, then decides."""
from __future__ import annotations

import functools
import time
import typing

import curio
import logbook
import msgspec

from nutmegworks.fleet import configured
from nutmegworks.fleet import follow
from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal as journals
from nutmegworks.fleet import membership
from nutmegworks.fleet import orders as fleet_orders
from nutmegworks.fleet import reports as fleet_reports
from nutmegworks.fleet import scheduler
from nutmegworks.fleet import session
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import supervision
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.tasks import records
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('leader')

# Pauses between watches: a new job waits half of it on average.
JOBS_PAUSE_SECONDS: typing.Final = 0.05
WORKERS_PAUSE_SECONDS: typing.Final = 0.3
RETRY_SECONDS: typing.Final = 0.2
# An acknowledgement waits this long for the store before the worker's lease
# is renewed without it.
ACKNOWLEDGE_SECONDS: typing.Final = 0.4
# A client often asks within milliseconds of its job's end, while the end is
# being stored, and asks again only 0.25 s later; the store takes 4 ms. An
# answer waits this long at most.
SETTLE_SECONDS: typing.Final = 0.15
# Final jobs are kept for the platform's bound and this much longer, because
# hosts' clocks differ.
KEEP_MARGIN_SECONDS: typing.Final = 30.0
CLEANUP_SECONDS: typing.Final = 5.0


class JobSink(follow.Sink):
    """Takes accepted jobs and cancels."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        decoder: interfaces.Decoder,
        progress_by_id: typing.Mapping[ids.JobId, records.Progress],
    ) -> None:
        self._state = state
        self._decoder = decoder
        self._progress_by_id = dict(progress_by_id)

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        for item in items:
            self._put(item)
        await self._state.notify()

    async def change(self, changes: interfaces.Changes) -> None:
        await self.replace(changes.items)

    def _put(self, item: interfaces.Item) -> None:
        name = item.key.removeprefix(records.JOBS_PREFIX)
        if name.endswith(records.CANCEL_SUFFIX):
            self._state.cancel(
                ids.JobId(name.removesuffix(records.CANCEL_SUFFIX))
            )
            return
        job_id = ids.JobId(name)
        known = self._state.jobs_by_id
        if job_id in known or job_id in self._state.removed_ids:
            return
        try:
            accepted = msgspec.json.decode(item.value, type=records.Accepted)
            submission = self._decoder.submission(accepted.body)
        except ValueError as error:
            _LOG.error('unreadable job', key=item.key, error=str(error))
            return
        self._state.add_job(
            job_id,
            accepted,
            submission,
            self._progress_by_id.pop(job_id, None),
            item.revision,
        )


class WorkerSink(follow.Sink):
    """Takes workers' entries."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        decoder: interfaces.Decoder,
        started_at: float,
        open_session: typing.Callable[
            [fleet_worker.Worker],
            typing.Awaitable[None],
        ],
    ) -> None:
        self._state = state
        self._decoder = decoder
        self._adopted_until = fleet_worker.adopted_until(started_at)
        self._open_session = open_session

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        found = set()
        for item in items:
            found.add(await self._put(item))
        for worker_id, worker in self._state.workers_by_id.items():
            if worker_id not in found:
                worker.registered = False
        await self._state.notify()

    async def change(self, changes: interfaces.Changes) -> None:
        for key, _ in changes.removed:
            worker_id = key.removeprefix(self._decoder.workers_prefix)
            worker = self._state.workers_by_id.get(ids.WorkerId(worker_id))
            if worker is not None:
                worker.registered = False
                _LOG.info('worker entry removed', worker=worker_id)
        for item in changes.items:
            await self._put(item)
        await self._state.notify()

    async def _put(self, item: interfaces.Item) -> ids.WorkerId | None:
        try:
            entry = self._decoder.worker(item.key, item.value)
        except ValueError as error:
            _LOG.warning('unreadable worker', key=item.key, error=str(error))
            return None
        now = membership.steady_clock()
        worker = self._state.workers_by_id.get(entry.worker_id)
        if worker is None:
            worker = fleet_worker.Worker(entry, self._adopted_until)
            worker.registered_at = now
            self._state.workers_by_id[entry.worker_id] = worker
            for job in self._state.jobs_by_id.values():
                for run in job.runs_by_task.values():
                    if run.worker_id == entry.worker_id:
                        worker.runs_by_key[run.key] = run
            await self._open_session(worker)
            return entry.worker_id
        if entry.state is not worker.entry.state:
            worker.registered_at = now
            _LOG.info(
                'worker changed state',
                worker=entry.worker_id,
                state=entry.state.value,
                remaining=entry.remaining,
            )
        returned = not worker.registered
        worker.registered = True
        worker.entry = entry
        if returned and not worker.runs_by_key:
            await self._open_session(worker)
        return entry.worker_id


class Term:
    """The controllers of one term and their tasks."""

    def __init__(
        self,
        store: interfaces.Store,
        client: interfaces.WorkerClient,
        decoder: interfaces.Decoder,
        member: membership.Membership,
        leadership: membership.Leadership,
        metrics: fleetmetrics.FleetMetrics,
        current: configured.Current,
        *,
        keep_seconds: float,
    ) -> None:
        self._store = store
        self._client = client
        self._decoder = decoder
        self._member = member
        self._token = ids.FencingToken(leadership.revision)
        self._keep_seconds = keep_seconds
        self._over = curio.Event()
        self._sessions: dict[ids.WorkerId, curio.Task] = {}
        self.state = fleet_state.FleetState(metrics)
        self.loaded = False
        self._journal = journals.Journal(store, leadership, self.state.encode)
        self._orders = fleet_orders.Orders(
            self.state,
            client,
            self._journal,
            member,
            self._token,
            self._depose,
        )
        self._scheduler = scheduler.Scheduler(
            self.state, self._orders, member, current
        )
        self._reports = fleet_reports.Reports(self.state, self._acknowledge)

    async def _depose(self, reason: str) -> None:
        _LOG.info('deposed', reason=reason, token=self._token)
        await self._over.set()

    async def shown_state(self, job_id: ids.JobId) -> records.JobState | None:
        """Return the state that clients may see, None if it is unknown.

        A final state that is being stored is waited for, for a moment.
        """
        job = self.state.jobs_by_id.get(job_id)
        storing = (
            job is not None and job.final
            and not records.FINAL[job.stored_state]
        )
        if job is not None and storing:
            await curio.ignore_after(SETTLE_SECONDS, job.settled.wait)
        return self.state.public_state(job_id)

    async def run(self) -> None:
        """Decide until deposed or cancelled."""
        started_at = membership.steady_clock()
        try:
            await supervision.run_until_first(
                self._over.wait, functools.partial(self._decide, started_at)
            )
        finally:
            await self._close_sessions()

    async def _close_sessions(self) -> None:
        for task in self._sessions.values():
            await task.cancel()

    async def _decide(self, started_at: float) -> None:
        sinks = await self._load(started_at)
        await supervision.run_until_first(
            *(follower.run for follower in sinks),
            self._guarded_journal,
            self._store_changes,
            self._orders.run,
            self._scheduler.run,
            self._clean_up,
            functools.partial(self._release_lost_runs, started_at),
        )

    async def _load(self, started_at: float) -> list[follow.Follower]:
        progress_by_id = await self._load_progress()
        jobs = follow.Follower(
            self._store,
            records.JOBS_PREFIX,
            JobSink(self.state, self._decoder, progress_by_id),
            pause=JOBS_PAUSE_SECONDS,
        )
        entries = follow.Follower(
            self._store,
            self._decoder.workers_prefix,
            WorkerSink(
                self.state, self._decoder, started_at, self._open_session
            ),
            pause=WORKERS_PAUSE_SECONDS,
        )
        for follower in (jobs, entries):
            while not await follower.load():
                await curio.sleep(RETRY_SECONDS)
        while not await self._journal.load():
            await curio.sleep(RETRY_SECONDS)
        self.loaded = True
        _LOG.info(
            'leader is ready',
            token=self._token,
            jobs=len(self.state.jobs_by_id),
            workers=len(self.state.workers_by_id),
            seconds=round(membership.steady_clock() - started_at, 3),
        )
        return [jobs, entries]

    async def _load_progress(self) -> dict[ids.JobId, records.Progress]:
        while True:
            listed = await self._store.list(records.PROGRESS_PREFIX)
            if listed.is_ok():
                break
            await curio.sleep(RETRY_SECONDS)
        found = {}
        for item in listed.ok_value.items:
            job_id = item.key.removeprefix(records.PROGRESS_PREFIX)
            found[ids.JobId(job_id)] = msgspec.json.decode(
                item.value, type=records.Progress
            )
        return found

    async def _guarded_journal(self) -> None:
        try:
            await self._journal.run()
        except journals.DeposedError as error:
            await self._depose(f'write refused: {error}')

    async def _open_session(self, worker: fleet_worker.Worker) -> None:
        old = self._sessions.pop(worker.worker_id, None)
        if old is not None:
            await old.cancel()
        self._sessions[worker.worker_id] = await curio.spawn(
            self._run_session, worker, daemon=True
        )

    async def _run_session(self, worker: fleet_worker.Worker) -> None:
        keeper = session.Session(
            worker, self._client, self._member, self._token, self._reports
        )
        try:
            await keeper.run()
        except journals.DeposedError as error:
            await self._depose(f'worker {error} has seen a newer leader')

    async def _acknowledge(
        self,
        worker: fleet_worker.Worker,
        number: int,
    ) -> None:
        """Store what the ends changed, then acknowledge them."""
        done = await curio.spawn(
            self._store_then_acknowledge, worker, number, daemon=True
        )
        await curio.ignore_after(ACKNOWLEDGE_SECONDS, done.wait)

    async def _store_then_acknowledge(
        self,
        worker: fleet_worker.Worker,
        number: int,
    ) -> None:
        born = worker.born
        await self._persist_changes()
        if worker.born == born:
            worker.acknowledged = max(worker.acknowledged, number)

    async def _store_changes(self) -> None:
        while True:
            await self.state.store_wake.wait()
            self.state.store_wake.clear()
            await self._persist_changes()

    async def _persist_changes(self) -> None:
        changed = set(self.state.changed_ids)
        self.state.changed_ids -= changed
        stored = {
            job_id: self.state.jobs_by_id[job_id].progress.state
            for job_id in changed
            if job_id in self.state.jobs_by_id
        }
        # Also without changes of its own a caller waits for the batch that
        # is being written.
        await self._journal.persist(changed)
        for job_id, state in stored.items():
            job = self.state.jobs_by_id.get(job_id)
            if job is not None and not records.FINAL[job.stored_state]:
                job.stored_state = state
                if records.FINAL[state]:
                    await job.settled.set()

    async def _release_lost_runs(self, started_at: float) -> None:
        """Start anew what ran on workers that left with the old leader."""
        left = fleet_worker.adopted_until(started_at
                                          ) - (membership.steady_clock())
        await curio.sleep(max(0.0, left))
        while True:
            self.state.lose_runs_of_unknown_workers()
            await self.state.notify()
            await curio.sleep(CLEANUP_SECONDS)

    async def _clean_up(self) -> None:
        """Remove final jobs that nobody may ask for any more."""
        while True:
            await curio.sleep(CLEANUP_SECONDS)
            limit = time.time() - self._keep_seconds - KEEP_MARGIN_SECONDS
            old = [
                job_id for job_id, job in self.state.jobs_by_id.items()
                if records.FINAL[job.stored_state]
                and job.progress.ended_at < limit
            ]
            for job_id in old:
                del self.state.jobs_by_id[job_id]
            self.state.removed_ids.update(old)
            if old:
                await self._journal.persist(old)
            for worker_id, worker in list(self.state.workers_by_id.items()):
                if not worker.registered and not worker.runs_by_key:
                    del self.state.workers_by_id[worker_id]
                    self._sessions.pop(worker_id, None)


class Candidate:
    """Leads whenever this daemon holds the leader key."""

    def __init__(
        self,
        member: membership.Membership,
        make_term: typing.Callable[[membership.Leadership], Term],
    ) -> None:
        self._member = member
        self._make_term = make_term
        self.term: Term | None = None

    async def run(self) -> None:
        """Run a term each time that this daemon becomes the leader."""
        while True:
            leadership = self._member.leader
            if not self._member.leads or leadership is None:
                await self._wait_for_change()
                continue
            self.term = self._make_term(leadership)
            task = await curio.spawn(self.term.run, daemon=True)
            while self._member.leader == leadership and not task.terminated:
                await curio.ignore_after(
                    RETRY_SECONDS, self._member.changed.wait
                )
                self._member.changed.clear()
                await curio.sleep(0)
            self.term = None
            await task.cancel()
            if self._member.leader == leadership:
                # The key may be gone already: read it again before the next
                # term.
                await self._member.read_leader()
                await curio.sleep(RETRY_SECONDS)

    async def _wait_for_change(self) -> None:
        await self._member.changed.wait()
        self._member.changed.clear()


__all__ = ('Candidate', 'Term')
