"""Runs a term of leadership: loads the stored state, then schedules."""
from __future__ import annotations

import functools
import math
import time
import typing

import curio
import logbook

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal as journals
from nutmegworks.fleet import membership
from nutmegworks.fleet import orders as fleet_orders
from nutmegworks.fleet import prefix_watcher
from nutmegworks.fleet import reports as fleet_reports
from nutmegworks.fleet import scheduler
from nutmegworks.fleet import sinks
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import supervision
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.fleet import worker_session
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.policy import run_stops
from nutmegworks.policy import task_planning
from nutmegworks.tasks import records
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('leader')

# Pauses between watches; on average a new job waits for half of the pause.
JOBS_PAUSE_SECONDS: typing.Final = 0.05
# Two watches without changes, each answered late by a slow store, take less
# than the 2 s that a count of pending jobs may be old.
JOBS_WATCH_SECONDS: typing.Final = 0.7
# Workers that can be reached report within this time of a new term.
FIRST_REPORTS_SECONDS: typing.Final = 1.0
WORKERS_PAUSE_SECONDS: typing.Final = 0.3
RETRY_SECONDS: typing.Final = 0.2
# The end of a run is acknowledged after it is stored. If that takes longer
# than this, the worker's lease is renewed without the acknowledgement.
ACKNOWLEDGE_WAIT_SECONDS: typing.Final = 0.4
# Longest time that a query waits for a final state to be stored. Clients often
# query within milliseconds of their job's end and again only 0.25 s later; a
# write to the store takes 4 ms.
FINAL_STATE_WAIT_SECONDS: typing.Final = 0.15
# Added to the platform's retention time of final jobs, because the clocks of
# hosts differ.
RETENTION_MARGIN_SECONDS: typing.Final = 30.0
CLEANUP_INTERVAL_SECONDS: typing.Final = 5.0


class Term:
    """Runs the controllers of one term of leadership.

    :param retention_seconds: time for which final jobs are kept.
    :param bounds: time limits of the platform for decisions.
    :ivar loaded: whether the stored state has been read.
    """

    def __init__(
        self,
        store: interfaces.Store,
        client: interfaces.WorkerClient,
        decoder: interfaces.Decoder,
        member: membership.Membership,
        leadership: membership.Leadership,
        metrics: fleetmetrics.FleetMetrics,
        configuration: configuration_holder.ConfigurationHolder,
        *,
        retention_seconds: float,
        bounds: task_planning.Bounds,
    ) -> None:
        self._store = store
        self._client = client
        self._decoder = decoder
        self._member = member
        self._token = ids.FencingToken(leadership.revision)
        self._retention_seconds = retention_seconds
        self._leadership_lost = curio.Event()
        self._sessions: dict[ids.WorkerId, curio.Task] = {}
        self._jobs_watcher: prefix_watcher.PrefixWatcher | None = None
        self.state = fleet_state.FleetState(metrics)
        self.loaded = False
        self._loaded_at = 0.0
        # Jobs with a progress record that were not read; their own records
        # are missing, or can't be decoded.
        self._orphan_ids: set[ids.JobId] = set()
        self._journal = journals.Journal(store, leadership, self.state.encode)
        self._orders = fleet_orders.Orders(
            self.state,
            client,
            self._journal,
            member,
            self._token,
            self._step_down,
        )
        self._scheduler = scheduler.Scheduler(
            self.state, self._orders, member, configuration, bounds
        )
        self._reports = fleet_reports.Reports(self.state, self._acknowledge)

    async def _step_down(self, reason: str) -> None:
        _LOG.info('leader stepped down', reason=reason, token=self._token)
        await self._leadership_lost.set()

    async def public_job_state(
        self,
        job_id: ids.JobId,
    ) -> records.JobState | None:
        """Return the state that clients may see, None if the job is unknown.

        If a final state is being stored, wait briefly for the store.
        """
        job = self.state.jobs_by_id.get(job_id)
        awaits_store = (
            job is not None and job.final
            and not records.IS_FINAL[job.stored_state]
        )
        if job is not None and awaits_store:
            await curio.ignore_after(
                FINAL_STATE_WAIT_SECONDS, job.final_state_stored.wait
            )
        return self.state.public_state(job_id)

    def orders_waiting(self) -> typing.Mapping[ids.WorkerId, int]:
        """Return how many orders wait, by worker, without zeros."""
        return self._orders.waiting_by_worker()

    def view_age(self) -> float:
        """Return how many seconds old this term's view of the jobs may be.

        It has all jobs accepted before then, and no other leader has started
        tasks before then. Infinite until the stored jobs have been read.
        """
        if self._jobs_watcher is None:
            return math.inf
        return max(self._jobs_watcher.age(), self._member.renewal_age())

    def count_pending(self, queue: str) -> int | None:
        """Return the number of a queue's jobs without a started task.

        :return: None while workers may be about to report tasks that an
            earlier leader started. Later, such a job is counted for as long
            as its worker does not report.
        """
        age = membership.steady_clock() - self._loaded_at
        reports_due = age < FIRST_REPORTS_SECONDS
        if reports_due and self.state.awaits_first_reports(queue):
            return None
        return self.state.pending(queue)

    async def run(self) -> None:
        """Run the controllers until leadership is lost or until cancelled."""
        started_at = membership.steady_clock()
        try:
            await supervision.run_until_first(
                self._leadership_lost.wait,
                functools.partial(self._run_controllers, started_at)
            )
        finally:
            await self._close_sessions()
            # The next leader needs the workers' connections.
            await self._client.disconnect()

    async def _close_sessions(self) -> None:
        for task in self._sessions.values():
            await task.cancel()

    async def _run_controllers(self, started_at: float) -> None:
        watchers = await self._load(started_at)
        await supervision.run_until_first(
            *(watcher.run for watcher in watchers),
            self._run_journal,
            self._persist_on_wake,
            self._orders.run,
            self._scheduler.run,
            self._clean_up,
            functools.partial(
                self._release_runs_of_unknown_workers, started_at
            ),
        )

    async def _load(
        self,
        started_at: float,
    ) -> list[prefix_watcher.PrefixWatcher]:
        progress_by_id = await self._load_progress()
        progress_ids = {*progress_by_id, *self.state.unreadable_ids}
        jobs = prefix_watcher.PrefixWatcher(
            self._store,
            records.JOBS_PREFIX,
            sinks.JobSink(self.state, self._decoder, progress_by_id),
            pause=JOBS_PAUSE_SECONDS,
            wait=JOBS_WATCH_SECONDS,
            clock=membership.steady_clock,
        )
        entries = prefix_watcher.PrefixWatcher(
            self._store,
            self._decoder.workers_prefix,
            sinks.WorkerSink(
                self.state, self._decoder, started_at, self._open_session
            ),
            pause=WORKERS_PAUSE_SECONDS,
        )
        for watcher in (jobs, entries):
            while not await watcher.load():
                await curio.sleep(RETRY_SECONDS)
        while not await self._journal.load():
            await curio.sleep(RETRY_SECONDS)
        self._orphan_ids = progress_ids - self.state.jobs_by_id.keys()
        self._jobs_watcher = jobs
        self._loaded_at = membership.steady_clock()
        self.loaded = True
        _LOG.info(
            'leader loaded stored state',
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
        progress_by_id = {}
        for item in listed.ok_value.items:
            job_id = ids.JobId(item.key.removeprefix(records.PROGRESS_PREFIX))
            try:
                progress_by_id[job_id] = documents.decode(
                    item.value, records.Progress
                )
            except ValueError as error:
                self.state.unreadable_ids.add(job_id)
                _LOG.error(
                    'progress record could not be decoded',
                    key=item.key,
                    error=str(error),
                )
        return progress_by_id

    async def _run_journal(self) -> None:
        try:
            await self._journal.run()
        except journals.LeadershipLostError as error:
            await self._step_down(f'write refused: {error}')

    async def _open_session(self, worker: fleet_worker.Worker) -> None:
        previous = self._sessions.pop(worker.worker_id, None)
        if previous is not None:
            await previous.cancel()
        self._sessions[worker.worker_id] = await curio.spawn(
            self._run_session, worker, daemon=True
        )

    async def _run_session(self, worker: fleet_worker.Worker) -> None:
        session = worker_session.Session(
            worker, self._client, self._member, self._token, self._reports
        )
        while True:
            try:
                await session.run()
                return
            except journals.LeadershipLostError as error:
                await self._step_down(
                    f'worker {error} has seen a newer leader'
                )
                return
            except Exception as error:
                # Without a session the worker's lease would neither be
                # renewed nor expire here.
                _LOG.exception(
                    'worker session failed',
                    worker=worker.worker_id,
                    error=repr(error),
                )
                await curio.sleep(RETRY_SECONDS)

    async def _acknowledge(
        self,
        worker: fleet_worker.Worker,
        number: int,
    ) -> None:
        """Store the effects of ended runs, then acknowledge these.

        :param number: of the last ended run that was processed.
        """
        stored = await curio.spawn(
            self._persist_then_acknowledge, worker, number, daemon=True
        )
        await curio.ignore_after(ACKNOWLEDGE_WAIT_SECONDS, stored.wait)

    async def _persist_then_acknowledge(
        self,
        worker: fleet_worker.Worker,
        number: int,
    ) -> None:
        incarnation = worker.incarnation
        await self._persist_changes()
        if worker.incarnation == incarnation:
            worker.acknowledged = max(worker.acknowledged, number)

    async def _persist_on_wake(self) -> None:
        while True:
            await self.state.store_needed.wait()
            self.state.store_needed.clear()
            await self._persist_changes()

    async def _persist_changes(self) -> None:
        changed_ids = set(self.state.changed_ids)
        self.state.changed_ids -= changed_ids
        state_by_id = {
            job_id: self.state.jobs_by_id[job_id].progress.state
            for job_id in changed_ids
            if job_id in self.state.jobs_by_id
        }
        # A caller without changes of its own waits too, until the batch that
        # is being written is stored.
        await self._journal.persist(changed_ids)
        for job_id, state in state_by_id.items():
            job = self.state.jobs_by_id.get(job_id)
            if job is not None and not records.IS_FINAL[job.stored_state]:
                job.stored_state = state
                if records.IS_FINAL[state]:
                    await job.final_state_stored.set()

    async def _release_runs_of_unknown_workers(
        self,
        started_at: float,
    ) -> None:
        """Release runs on workers that left during the change of leader."""
        remaining = (
            fleet_worker.prior_leases_expire_at(started_at) -
            membership.steady_clock()
        )
        await curio.sleep(max(0.0, remaining))
        while True:
            self.state.lose_runs_of_unknown_workers()
            await self.state.notify()
            await curio.sleep(CLEANUP_INTERVAL_SECONDS)

    async def _remove_orphans(self) -> None:
        """Remove progress records whose jobs are not stored any more."""
        for job_id in self._orphan_ids:
            if await self._journal.remove_orphan(job_id):
                _LOG.info('progress record without a job', job=job_id)
                self.state.unreadable_ids.discard(job_id)
                self.state.removed_ids.add(job_id)

    async def _clean_up(self) -> None:
        """Remove final jobs after their retention time, and former workers."""
        try:
            await self._remove_orphans()
        except journals.LeadershipLostError as error:
            await self._step_down(f'write refused: {error}')
            return
        while True:
            await curio.sleep(CLEANUP_INTERVAL_SECONDS)
            cutoff = (
                time.time() - self._retention_seconds -
                RETENTION_MARGIN_SECONDS
            )
            ids_with_runs = self.state.jobs_with_runs()
            expired_ids = [
                job_id for job_id, job in self.state.jobs_by_id.items()
                if run_stops.may_forget(
                    records.IS_FINAL[job.stored_state],
                    job.progress.ended_at,
                    cutoff,
                    job_id in ids_with_runs,
                )
            ]
            for job_id in expired_ids:
                del self.state.jobs_by_id[job_id]
            self.state.removed_ids.update(expired_ids)
            if expired_ids:
                await self._journal.persist(expired_ids)
            for worker_id, worker in list(self.state.workers_by_id.items()):
                if not worker.registered and not worker.runs_by_key:
                    del self.state.workers_by_id[worker_id]
                    self._sessions.pop(worker_id, None)


class Candidate:
    """Runs a term of leadership whenever this daemon holds the leader key.

    :ivar term: the current term, None while this daemon does not lead.
    """

    def __init__(
        self,
        member: membership.Membership,
        make_term: typing.Callable[[membership.Leadership], Term],
    ) -> None:
        self._member = member
        self._make_term = make_term
        self.term: Term | None = None

    async def run(self) -> None:
        """Run a term each time this daemon becomes the leader."""
        while True:
            leadership = self._member.leader
            if not self._member.leads or leadership is None:
                await self._wait_for_leader_change()
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
                # The term ended by itself. The key may have been removed
                # meanwhile: read it again before the next term.
                await self._member.read_leader()
                await curio.sleep(RETRY_SECONDS)

    async def _wait_for_leader_change(self) -> None:
        await self._member.changed.wait()
        self._member.changed.clear()


__all__ = ('Candidate', 'Term')
