"""Accepts, follows and cancels jobs; any daemon can do it."""
from __future__ import annotations

import dataclasses
import time
import typing

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.model import work

MAX_WAIT_SECONDS: typing.Final = 30.0
# After a failed read a waiting caller costs the store one call per second.
RETRY_SECONDS: typing.Final = 1.0
CANCEL_ATTEMPTS: typing.Final = 5
# One entry is about 200 bytes; the oldest are dropped.
MAX_KNOWN_SHARDS: typing.Final = 4096

ChooseShard = typing.Callable[[work.JobSpec], ids.ShardId | None]
Explain = typing.Callable[[ids.JobId], str]

_STATE: typing.Final = record.JobState

_Error = verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job as its caller sees it.

    :param result: present when the job is done.
    :param accepted_at: seconds since 1970.
    :param ended_at: seconds since 1970; 0 until the job has ended.
    """

    job_id: ids.JobId
    state: record.JobState
    verdict: verdict.Verdict
    detail: str
    attempts: int
    accepted_at: float
    ended_at: float
    result: bytes | None = None

    @property
    def final(self) -> bool:
        return self.state in record.FINAL_STATES


class JobService:
    """Needs the store only.

    :param choose_shard: returns where a new job goes, or None if its shape
        fits nowhere.
    :param explain: what the owner of a shard knows; empty elsewhere.
    :param clock: seconds since 1970.
    """

    def __init__(
        self,
        jobs: repository.JobRepository,
        *,
        choose_shard: ChooseShard,
        explain: Explain = lambda job_id: '',
        clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self._jobs = jobs
        self._choose_shard = choose_shard
        self._explain = explain
        self._clock = clock
        self._shard_by_job: dict[ids.JobId, ids.ShardId] = {}
        self._stopping = curio.Event()

    async def accept(
        self,
        team_id: ids.TeamId,
        work_class: work.WorkClass,
        spec: work.JobSpec,
        key: ids.IdempotencyKey,
        body_digest: str,
        *,
        first_attempt: bool = False,
    ) -> result.Result[ids.JobId, _Error]:
        """Accept a job durably; the same key always gives the same job.

        :param first_attempt: whether the caller says that it has not sent
            this key before.
        """
        job_id = record.job_id(team_id, key)
        shard_id = self._choose_shard(spec)
        if shard_id is None:
            return result.Err(_never_fits(spec))
        wanted = record.KeyRecord(team_id, key, shard_id, body_digest, '')
        bound = await self._jobs.bind_key(job_id, wanted)
        if isinstance(bound, result.Err):
            return result.Err(_refusal(bound.err_value, first_attempt))
        if not _same_request(bound.ok_value, wanted):
            return result.Err(_key_reused())
        job = self._new_record(job_id, bound.ok_value, work_class, spec)
        stored = await self._jobs.create(job)
        if isinstance(stored, result.Err):
            return result.Err(_refusal(stored.err_value, first_attempt))
        return result.Ok(job_id)

    def _new_record(
        self,
        job_id: ids.JobId,
        bound: record.KeyRecord,
        work_class: work.WorkClass,
        spec: work.JobSpec,
    ) -> record.JobRecord:
        return record.JobRecord(
            job_id=job_id,
            shard_id=bound.shard_id,
            team_id=bound.team_id,
            class_id=work_class.class_id,
            idempotency_key=bound.idempotency_key,
            body_digest=bound.body_digest,
            shape=str(spec.shape),
            run_time=spec.run_time,
            payload=spec.payload,
            idempotent=work_class.idempotent,
            accepted_at=self._clock(),
        )

    async def team(
        self,
        job_id: ids.JobId,
    ) -> result.Result[ids.TeamId, _Error]:
        """Return the team that a job belongs to."""
        found = await self._read(job_id)
        return found.map(lambda stored: stored.record.team_id)

    async def wait(
        self,
        job_id: ids.JobId,
        seconds: float,
    ) -> result.Result[JobView, _Error]:
        """Return a job once it has ended, or as it is after some time.

        :param seconds: at most; a watch is pending meanwhile, so the store
            sees one call per change of the job.
        """
        deadline = time.monotonic() + min(seconds, MAX_WAIT_SECONDS)
        while True:
            found = await self._read(job_id)
            left = deadline - time.monotonic()
            ended = found.is_ok() and found.ok_value.record.final
            if ended or left <= 0 or self._stopping.is_set():
                break
            if found.is_ok():
                await self._watch(found.ok_value, left)
            elif found.err_value.reason is verdict.Reason.NOT_FOUND:
                break
            else:
                await curio.sleep(min(left, RETRY_SECONDS))
        if isinstance(found, result.Err):
            return found
        return await self._view(found.ok_value.record)

    async def cancel(
        self,
        job_id: ids.JobId,
    ) -> result.Result[JobView, _Error]:
        """Cancel a job; one that has ended stays as it is."""
        found = await self._read(job_id)
        for _ in range(CANCEL_ATTEMPTS):
            if isinstance(found, result.Err):
                return found
            changes = self._cancel_changes(found.ok_value.record)
            if not changes:
                return await self._view(found.ok_value.record)
            answer = await self._jobs.update(found.ok_value, **changes)
            if isinstance(answer, result.Ok):
                return await self._view(answer.ok_value.record)
            if answer.err_value.fault is not store.StoreFault.CONFLICT:
                return result.Err(_refusal(answer.err_value, False))
            found = await self._read(job_id)
        return result.Err(
            verdict.may_have_run(
                verdict.Reason.CONFLICT,
                'the job keeps changing',
                retry_after=RETRY_SECONDS,
            )
        )

    async def explain(
        self,
        job_id: ids.JobId,
    ) -> result.Result[str, _Error]:
        """Return lines for a person that say where a job stands and why."""
        found = await self._read(job_id)
        return found.map(lambda stored: self._describe(stored.record))

    async def stop_waiting(self) -> None:
        """Answer all waiting callers now, and later ones at once."""
        await self._stopping.set()

    def _cancel_changes(
        self,
        job: record.JobRecord,
    ) -> dict[str, typing.Any]:
        if job.final or job.cancel_requested:
            return {}
        if job.state is _STATE.COMMITTED:
            # The owner stops the gang first.
            return {'cancel_requested': True}
        return {
            'state': _STATE.CANCELLED,
            'cancel_requested': True,
            'ended_at': self._clock(),
        }

    async def _read(
        self,
        job_id: ids.JobId,
    ) -> result.Result[repository.Stored, _Error]:
        shard = await self._find_shard(job_id)
        if isinstance(shard, result.Err):
            return shard
        answer = await self._jobs.get(shard.ok_value, job_id)
        if isinstance(answer, result.Err):
            return result.Err(_refusal(answer.err_value, False))
        if answer.ok_value is None:
            return result.Err(_not_found())
        return result.Ok(answer.ok_value)

    async def _find_shard(
        self,
        job_id: ids.JobId,
    ) -> result.Result[ids.ShardId, _Error]:
        known = self._shard_by_job.get(job_id)
        if known is not None:
            return result.Ok(known)
        answer = await self._jobs.get_key(job_id)
        if isinstance(answer, result.Err):
            return result.Err(_refusal(answer.err_value, False))
        if answer.ok_value is None:
            return result.Err(_not_found())
        if len(self._shard_by_job) >= MAX_KNOWN_SHARDS:
            self._shard_by_job.pop(next(iter(self._shard_by_job)))
        shard_id = answer.ok_value.shard_id
        self._shard_by_job[job_id] = shard_id
        return result.Ok(shard_id)

    async def _watch(self, stored: repository.Stored, left: float) -> None:
        """Return when the job changed, time is up or the daemon stops."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._stopping.wait)
            await group.spawn(self._watch_job, stored, left)

    async def _watch_job(
        self,
        stored: repository.Stored,
        left: float,
    ) -> None:
        answer = await self._jobs.watch_job(stored, wait=left)
        if answer.is_err():
            await curio.sleep(min(left, RETRY_SECONDS))

    async def _view(
        self,
        job: record.JobRecord,
    ) -> result.Result[JobView, _Error]:
        value: bytes | None = None
        if job.state is _STATE.DONE:
            answer = await self._jobs.get_result(job)
            if isinstance(answer, result.Err):
                return result.Err(_refusal(answer.err_value, False))
            value = answer.ok_value
        return result.Ok(
            JobView(
                job_id=job.job_id,
                state=job.state,
                verdict=_verdict(job),
                detail=job.detail,
                attempts=job.attempts,
                accepted_at=job.accepted_at,
                ended_at=job.ended_at,
                result=value,
            )
        )

    def _describe(self, job: record.JobRecord) -> str:
        lines = [
            f'job {job.job_id} of team {job.team_id}, class {job.class_id}',
            f'shape {job.shape}, declared {job.run_time:g} s',
            f'state {job.state.value} after {job.attempts} starts',
        ]
        if job.run is not None:
            names = ' '.join(item.worker_id for item in job.run.members)
            lines.append(f'last run {job.run.run_id} on {names}')
        if job.cancel_requested:
            lines.append('cancellation was asked for')
        reason = self._explain(job.job_id)
        lines += [line for line in (job.detail, reason) if line]
        return '\n'.join(lines)


def _same_request(
    bound: record.KeyRecord,
    wanted: record.KeyRecord,
) -> bool:
    return (bound.team_id, bound.idempotency_key, bound.body_digest
            ) == (wanted.team_id, wanted.idempotency_key, wanted.body_digest)


def _never_fits(spec: work.JobSpec) -> _Error:
    return verdict.did_not_run(
        verdict.Reason.NEVER_FITS,
        f'{spec.shape} fits in no failure domain',
    )


def _key_reused() -> _Error:
    return verdict.may_have_run(
        verdict.Reason.KEY_REUSED,
        'the key was used for another request',
    )


def _verdict(job: record.JobRecord) -> verdict.Verdict:
    """Return whether a job may have run; a committed one may have."""
    if job.state is _STATE.DONE:
        return verdict.Verdict.RAN
    if job.attempts == 0 and job.final:
        return verdict.Verdict.DID_NOT_RUN
    return verdict.Verdict.MAY_HAVE_RUN


def _refusal(error: store.StoreError, first_attempt: bool) -> _Error:
    """Return the refusal of a call that the store did not serve.

    An earlier attempt with the same key may have been accepted, unless the
    caller says that this is the first.
    """
    certain = error.fault is not store.StoreFault.UNKNOWN and first_attempt
    refuse = verdict.did_not_run if certain else verdict.may_have_run
    return refuse(
        verdict.Reason.STORE_UNAVAILABLE,
        error.detail,
        retry_after=RETRY_SECONDS,
    )


def _not_found() -> _Error:
    return verdict.did_not_run(verdict.Reason.NOT_FOUND, 'no such job')


__all__ = (
    'CANCEL_ATTEMPTS',
    'ChooseShard',
    'Explain',
    'JobService',
    'JobView',
    'MAX_WAIT_SECONDS',
)
