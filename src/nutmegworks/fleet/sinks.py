"""Apply the store's jobs and workers to the leader's state."""
from __future__ import annotations

import typing

import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import membership
from nutmegworks.fleet import prefix_watcher
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('leader')


class JobSink(prefix_watcher.Sink):
    """Adds accepted jobs and cancellations to the leader's state."""

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

    async def apply(self, changes: interfaces.Changes) -> None:
        await self.replace(changes.items)

    def _put(self, item: interfaces.Item) -> None:
        name = item.key.removeprefix(records.JOBS_PREFIX)
        if name.endswith(records.CANCEL_SUFFIX):
            self._state.cancel(
                ids.JobId(name.removesuffix(records.CANCEL_SUFFIX))
            )
            return
        job_id = ids.JobId(name)
        if (job_id in self._state.jobs_by_id
                or job_id in self._state.removed_ids
                or job_id in self._state.unreadable_ids):
            return
        try:
            accepted = documents.decode(item.value, records.AcceptedJob)
            submission = self._decoder.submission(accepted.body)
        except ValueError as error:
            _LOG.error(
                'job record could not be decoded',
                key=item.key,
                error=str(error)
            )
            return
        self._state.add_job(
            job_id,
            accepted,
            submission,
            self._progress_by_id.pop(job_id, None),
            item.revision,
        )


class WorkerSink(prefix_watcher.Sink):
    """Applies workers' entries to the leader's state.

    :param started_at: start of the term, in seconds of
        ``membership.steady_clock``.
    :param open_session: starts to renew a worker's lease.
    """

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
        self._prior_leases_expire_at = fleet_worker.prior_leases_expire_at(
            started_at
        )
        self._open_session = open_session

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        listed_ids = set()
        for item in items:
            listed_ids.add(await self._put(item))
        for worker_id, worker in self._state.workers_by_id.items():
            if worker_id not in listed_ids:
                worker.registered = False
        await self._state.notify()

    async def apply(self, changes: interfaces.Changes) -> None:
        for key, _ in changes.removed:
            self._unregister(key, 'worker entry removed')
        for item in changes.items:
            if await self._put(item) is None:
                # As if it were missing from a listing.
                self._unregister(item.key, 'worker entry became unusable')
        await self._state.notify()

    def _unregister(self, key: str, reason: str) -> None:
        """Give a worker no more work; its runs go on."""
        worker_id = key.removeprefix(self._decoder.workers_prefix)
        worker = self._state.workers_by_id.get(ids.WorkerId(worker_id))
        if worker is not None:
            worker.registered = False
            _LOG.info(reason, worker=worker_id, runs=len(worker.runs_by_key))

    async def _put(self, item: interfaces.Item) -> ids.WorkerId | None:
        """Return the entry's worker, None if the entry names none to use."""
        try:
            entry = self._decoder.worker(item.key, item.value)
        except ValueError as error:
            _LOG.warning(
                'worker entry could not be decoded',
                key=item.key,
                error=str(error)
            )
            return None
        now = membership.steady_clock()
        worker = self._state.workers_by_id.get(entry.worker_id)
        if worker is None:
            worker = fleet_worker.Worker(entry, self._prior_leases_expire_at)
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
        reregistered = not worker.registered
        worker.registered = True
        worker.entry = entry
        self._handle_restart(worker)
        if reregistered and not worker.runs_by_key:
            await self._open_session(worker)
        return entry.worker_id

    def _handle_restart(self, worker: fleet_worker.Worker) -> None:
        """Lose the runs of an incarnation that ended before the entry's.

        A worker that starts again under its id runs nothing of before.
        """
        started = worker.entry.incarnation
        if worker.incarnation is None or worker.incarnation >= started:
            return
        _LOG.info(
            'worker entry of a later start',
            worker=worker.worker_id,
            runs=len(worker.runs_by_key),
        )
        self._state.lose_reported_runs(worker, 'worker restarted', started)
        worker.forget_clock(
            fleet_worker.prior_leases_expire_at(membership.steady_clock())
        )


__all__ = ('JobSink', 'WorkerSink')
