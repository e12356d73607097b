"""Accepts, reports and cancels jobs; every daemon can serve these calls."""
from __future__ import annotations

import dataclasses
import time
import typing

import curio
import msgspec
import result

from nutmegworks.adapters import store
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.model import work

MAX_WAIT_SECONDS: typing.Final = 30.0
# Limits a waiting caller to one store call per second after a failed read.
RETRY_SECONDS: typing.Final = 1.0
MAX_CANCEL_ATTEMPTS: typing.Final = 5
# An entry takes about 200 bytes; the oldest entries are evicted.
MAX_CACHED_SHARDS: typing.Final = 4096

ChooseShard = typing.Callable[[work.JobSpec], ids.ShardId | None]
Explain = typing.Callable[[ids.JobId], str]

_STATE: typing.Final = record.JobState

_Error = verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job as it is reported to callers.

    :param result: present if the state is DONE.
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
    """Serves calls about jobs from the store alone.

    :param choose_shard: returns the shard for a new job, or None if its
        shape fits in no failure domain.
    :param explain: returns the owner's last decision about a job; empty if
        this daemon does not own its shard.
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
        self._shard_id_by_job: dict[ids.JobId, ids.ShardId] = {}
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
        """Accept a job durably; the same key always returns the same job.

        :param body_digest: of the request; a key is bound to one request.
        :param first_attempt: whether the caller states that it has not sent
            this key before.
        """
        job_id = record.job_id(team_id, key)
        requested = record.KeyRecord(
            team_id, key, ids.ShardId(''), body_digest, ''
        )
        bound = await self._bind(job_id, requested, spec, first_attempt)
        if isinstance(bound, result.Err):
            return bound
        binding = bound.ok_value
        if not _same_request(binding.record, requested):
            return result.Err(_key_reused())
        job = self._new_record(job_id, binding.record, work_class, spec)
        stored = await self._jobs.create(job)
        if isinstance(stored, result.Err):
            # The attempt that bound the key may have created the record.
            is_alone = first_attempt and binding.is_new
            return result.Err(_refusal(stored.err_value, is_alone))
        return result.Ok(job_id)

    async def _bind(
        self,
        job_id: ids.JobId,
        requested: record.KeyRecord,
        spec: work.JobSpec,
        first_attempt: bool,
    ) -> result.Result[repository.Binding, _Error]:
        """Bind a key to the shard for its job, or return its binding.

        :param requested: without a shard.
        """
        shard_id = self._choose_shard(spec)
        if shard_id is None:
            return await self._find_binding(job_id, spec, first_attempt)
        with_shard = msgspec.structs.replace(requested, shard_id=shard_id)
        bound = await self._jobs.bind_key(job_id, with_shard)
        return bound.map_err(lambda error: _refusal(error, first_attempt))

    async def _find_binding(
        self,
        job_id: ids.JobId,
        spec: work.JobSpec,
        first_attempt: bool,
    ) -> result.Result[repository.Binding, _Error]:
        """Return the binding of a job that fits in no failure domain now.

        It may have fitted when an earlier attempt was accepted.
        """
        if first_attempt:
            return result.Err(_never_fits(spec, verdict.did_not_run))
        found = await self._jobs.get_key(job_id)
        if isinstance(found, result.Err):
            return result.Err(_refusal(found.err_value, first_attempt))
        if found.ok_value is None:
            return result.Err(_never_fits(spec, verdict.may_have_run))
        return result.Ok(repository.Binding(found.ok_value, False))

    def _new_record(
        self,
        job_id: ids.JobId,
        binding: record.KeyRecord,
        work_class: work.WorkClass,
        spec: work.JobSpec,
    ) -> record.JobRecord:
        return record.JobRecord(
            job_id=job_id,
            shard_id=binding.shard_id,
            team_id=binding.team_id,
            class_id=work_class.class_id,
            idempotency_key=binding.idempotency_key,
            body_digest=binding.body_digest,
            shape=str(spec.shape),
            run_time=spec.run_time,
            payload=spec.payload,
            idempotent=work_class.idempotent,
            accepted_at=self._clock(),
        )

    async def get_team_id(
        self,
        job_id: ids.JobId,
    ) -> result.Result[ids.TeamId, _Error]:
        """Return the id of the team to which a job belongs."""
        read_result = await self._read(job_id)
        return read_result.map(lambda stored: stored.record.team_id)

    async def wait(
        self,
        job_id: ids.JobId,
        seconds: float,
    ) -> result.Result[JobView, _Error]:
        """Return a job when it has ended or the time has passed.

        The store is called once per change of the job: a watch is pending
        in between.

        :param seconds: at most MAX_WAIT_SECONDS.
        """
        deadline = time.monotonic() + min(seconds, MAX_WAIT_SECONDS)
        latest: repository.StoredJob | None = None
        while True:
            read_result = await self._read(job_id)
            remaining = deadline - time.monotonic()
            latest = _latest(latest, read_result)
            ended = latest is not None and latest.record.final
            if ended or remaining <= 0 or self._stopping.is_set():
                break
            if latest is not None and read_result.is_ok():
                await self._watch_until_stopping(latest, remaining)
            elif latest is None and _is_not_found(read_result.err_value):
                break
            else:
                await curio.sleep(min(remaining, RETRY_SECONDS))
        if latest is not None:
            return await self._view(latest.record)
        return result.Err(read_result.err_value)

    async def cancel(
        self,
        job_id: ids.JobId,
    ) -> result.Result[JobView, _Error]:
        """Cancel a job; a job that has ended does not change."""
        read_result = await self._read(job_id)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            if isinstance(read_result, result.Err):
                return read_result
            changes = self._cancel_changes(read_result.ok_value.record)
            if not changes:
                return await self._view(read_result.ok_value.record)
            answer = await self._jobs.update(read_result.ok_value, **changes)
            if isinstance(answer, result.Ok):
                return await self._view(answer.ok_value.record)
            if answer.err_value.fault is not store.StoreFault.CONFLICT:
                return result.Err(_refusal(answer.err_value, False))
            read_result = await self._read(job_id)
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
        """Return a readable text about the state of a job and its reason."""
        read_result = await self._read(job_id)
        return read_result.map(
            lambda stored: self._explain_record(stored.record)
        )

    async def stop_waiting(self) -> None:
        """Return from all waits at once, also from later ones."""
        await self._stopping.set()

    def _cancel_changes(
        self,
        job: record.JobRecord,
    ) -> dict[str, typing.Any]:
        if job.final or job.cancel_requested:
            return {}
        if job.state is _STATE.COMMITTED:
            # The owner writes the final state after it has stopped the gang.
            return {'cancel_requested': True}
        return {
            'state': _STATE.CANCELLED,
            'cancel_requested': True,
            'ended_at': self._clock(),
        }

    async def _read(
        self,
        job_id: ids.JobId,
    ) -> result.Result[repository.StoredJob, _Error]:
        shard = await self._get_shard_id(job_id)
        if isinstance(shard, result.Err):
            return shard
        answer = await self._jobs.get(shard.ok_value, job_id)
        if isinstance(answer, result.Err):
            return result.Err(_refusal(answer.err_value, False))
        if answer.ok_value is None:
            return result.Err(not_found())
        return result.Ok(answer.ok_value)

    async def _get_shard_id(
        self,
        job_id: ids.JobId,
    ) -> result.Result[ids.ShardId, _Error]:
        cached = self._shard_id_by_job.get(job_id)
        if cached is not None:
            return result.Ok(cached)
        answer = await self._jobs.get_key(job_id)
        if isinstance(answer, result.Err):
            return result.Err(_refusal(answer.err_value, False))
        if answer.ok_value is None:
            return result.Err(not_found())
        if len(self._shard_id_by_job) >= MAX_CACHED_SHARDS:
            self._shard_id_by_job.pop(next(iter(self._shard_id_by_job)))
        shard_id = answer.ok_value.shard_id
        self._shard_id_by_job[job_id] = shard_id
        return result.Ok(shard_id)

    async def _watch_until_stopping(
        self,
        stored: repository.StoredJob,
        remaining: float,
    ) -> None:
        """Return when the job changes, the time passes or waits are ended."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._stopping.wait)
            await group.spawn(self._watch_job, stored, remaining)

    async def _watch_job(
        self,
        stored: repository.StoredJob,
        remaining: float,
    ) -> None:
        answer = await self._jobs.watch_job(stored, wait=remaining)
        if answer.is_err():
            await curio.sleep(min(remaining, RETRY_SECONDS))

    async def _view(
        self,
        job: record.JobRecord,
    ) -> result.Result[JobView, _Error]:
        value: bytes | None = None
        if job.state is _STATE.DONE:
            answer = await self._jobs.get_result(job)
            if isinstance(answer, result.Err):
                return result.Err(_result_unreachable(answer.err_value))
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

    def _explain_record(self, job: record.JobRecord) -> str:
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


def _latest(
    earlier: repository.StoredJob | None,
    read_result: result.Result[repository.StoredJob, _Error],
) -> repository.StoredJob | None:
    """Return the latest version that was read; a later read may be stale."""
    if isinstance(read_result, result.Err):
        return earlier
    current = read_result.ok_value
    if earlier is not None and earlier.revision > current.revision:
        return earlier
    return current


def _is_not_found(refusal: _Error) -> bool:
    return refusal.reason is verdict.Reason.NOT_FOUND


def _same_request(
    binding: record.KeyRecord,
    requested: record.KeyRecord,
) -> bool:
    return (binding.team_id, binding.idempotency_key, binding.body_digest) == (
        requested.team_id, requested.idempotency_key, requested.body_digest
    )


def _never_fits(
    spec: work.JobSpec,
    refuse: typing.Callable[[verdict.Reason, str], _Error],
) -> _Error:
    return refuse(
        verdict.Reason.NEVER_FITS,
        f'{spec.shape} fits in no failure domain',
    )


def _key_reused() -> _Error:
    return verdict.may_have_run(
        verdict.Reason.KEY_REUSED,
        'the key was used for another request',
    )


def _verdict(job: record.JobRecord) -> verdict.Verdict:
    """Return the verdict of a job; a committed job may have run."""
    if job.state is _STATE.DONE:
        return verdict.Verdict.RAN
    if job.attempts == 0 and job.final:
        return verdict.Verdict.DID_NOT_RUN
    return verdict.Verdict.MAY_HAVE_RUN


def _refusal(error: store.StoreError, first_attempt: bool) -> _Error:
    """Return the refusal of a call that failed in the store.

    An earlier attempt with the same key may have been accepted, unless the
    caller states that this is the first one.
    """
    is_certain = error.fault is not store.StoreFault.UNKNOWN and first_attempt
    refuse = verdict.did_not_run if is_certain else verdict.may_have_run
    return refuse(
        verdict.Reason.STORE_UNAVAILABLE,
        error.detail,
        retry_after=RETRY_SECONDS,
    )


def _result_unreachable(error: store.StoreError) -> _Error:
    return verdict.Refusal(
        verdict.Verdict.RAN,
        verdict.Reason.STORE_UNAVAILABLE,
        f'the job has run; its result cannot be read now: {error.detail}',
        RETRY_SECONDS,
    )


def not_found() -> _Error:
    """Return the refusal of a call about a job that the store lacks.

    The read may be stale, so the job may exist.
    """
    return verdict.may_have_run(verdict.Reason.NOT_FOUND, 'no such job')


__all__ = (
    'ChooseShard',
    'Explain',
    'JobService',
    'JobView',
    'MAX_CANCEL_ATTEMPTS',
    'MAX_WAIT_SECONDS',
    'not_found',
)
