"""Job endpoint: accepts jobs durably; callers wait by long polling."""
from __future__ import annotations

import base64
import math
import typing

import msgspec
import result
import xxhash

from nutmegworks.entry import authenticate
from nutmegworks.entry import classify
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.entry import keyverdict
from nutmegworks.entry import operators
from nutmegworks.entry import requests
from nutmegworks.jobs import service as job_service
from nutmegworks.model import decoding
from nutmegworks.model import ids
from nutmegworks.model import published
from nutmegworks.model import shape as shapes
from nutmegworks.model import verdict
from nutmegworks.model import work
from nutmegworks.net import message

Parameters = typing.Mapping[str, str]

MAX_RUN_SECONDS: typing.Final = 30 * 24 * 3600.0
MAX_PAYLOAD_BYTES: typing.Final = 64 * 1024
MAX_KEY_CHARACTERS: typing.Final = 128
ACCEPTED_STATUS: typing.Final = 202


class JobRequest(
        msgspec.Struct,
        forbid_unknown_fields=True,
        rename={'class_id': 'class'},
):
    """The body of ``POST /v1/jobs``.

    :param shape: for example ``2x8``.
    :param run_time: declared run time in seconds.
    :param payload: any JSON value, passed to each task unchanged.
    """

    class_id: str
    shape: str
    run_time: float
    payload: msgspec.Raw = msgspec.Raw(b'null')


class JobAnswer(msgspec.Struct):
    """The state of a job as callers receive it.

    :param result: base64; empty until the job is done.
    """

    job_id: str
    state: str
    final: bool
    verdict: str
    detail: str
    attempts: int
    accepted_at: float
    ended_at: float
    result: str


class JobEndpoint:
    """Handles ``/v1/jobs``."""

    def __init__(
        self,
        jobs: job_service.JobService,
        configuration: published.Published[work.Configuration],
        tokens: authenticate.TokenIndex,
        operator_tokens: operators.OperatorTokens,
    ) -> None:
        self._jobs = jobs
        self._configuration = configuration
        self._tokens = tokens
        self._operator_tokens = operator_tokens

    async def submit(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``POST /v1/jobs``."""
        outcome = await self._submit(request)
        if isinstance(outcome, result.Err):
            return requests.respond(outcome)
        return message.json_response(
            ACCEPTED_STATUS, {'job_id': outcome.ok_value}
        )

    async def wait(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``GET /v1/jobs/<id>?wait=<seconds>``."""
        try:
            seconds = float(parameters.get('wait', '0'))
        except ValueError:
            return requests.respond(
                _bad_request('wait is no number of seconds')
            )
        limit = job_service.MAX_WAIT_SECONDS
        if not 0 <= seconds <= limit:
            return requests.respond(
                _bad_request(f'wait is not in 0 to {limit:g} s')
            )

        async def wait_for_job(job_id: ids.JobId) -> message.Response:
            return _respond(await self._jobs.wait(job_id, seconds))

        return await self._run_if_allowed(request, parameters, wait_for_job)

    async def cancel(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``DELETE /v1/jobs/<id>``."""

        async def cancel_job(job_id: ids.JobId) -> message.Response:
            return _respond(await self._jobs.cancel(job_id))

        return await self._run_if_allowed(request, parameters, cancel_job)

    async def explain(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``GET /v1/jobs/<id>/explain``."""

        async def explain_job(job_id: ids.JobId) -> message.Response:
            explained = await self._jobs.explain(job_id)
            if isinstance(explained, result.Err):
                return requests.respond(explained)
            return message.json_response(200, {'lines': explained.ok_value})

        return await self._run_if_allowed(request, parameters, explain_job)

    async def _run_if_allowed(
        self,
        request: message.Request,
        parameters: Parameters,
        action: typing.Callable[
            [ids.JobId],
            typing.Awaitable[message.Response],
        ],
    ) -> message.Response:
        job_id = ids.JobId(parameters['id'])
        access = await self._check_access(request, job_id)
        if isinstance(access, result.Err):
            return requests.respond(access)
        return await action(job_id)

    async def _submit(
        self,
        request: message.Request,
    ) -> result.Result[ids.JobId, verdict.Refusal]:
        prepared = self._prepare(request)
        if isinstance(prepared, result.Err):
            return result.Err(
                keyverdict.adjust_refusal(request.headers, prepared.err_value)
            )
        spec, work_class = prepared.ok_value
        digest = xxhash.xxh3_128_hexdigest(request.body)
        return await self._jobs.accept(
            spec.team_id,
            work_class,
            spec,
            ids.IdempotencyKey(request.headers[headers.KEY]),
            digest,
            first_attempt=request.headers.get(headers.ATTEMPT) == '1',
        )

    def _prepare(
        self,
        request: message.Request,
    ) -> result.Result[
            tuple[work.JobSpec, work.WorkClass],
            verdict.Refusal,
    ]:
        team = self._team(request)
        if isinstance(team, result.Err):
            return team
        if not (0 < len(request.headers.get(headers.KEY, '')) <=
                MAX_KEY_CHARACTERS):
            return _refuse(
                verdict.Reason.KEY_REQUIRED,
                f'the header {headers.KEY} needs 1 to {MAX_KEY_CHARACTERS} '
                'characters',
            )
        try:
            with decoding.nesting_limit():
                job_request = msgspec.json.decode(
                    request.body, type=JobRequest
                )
            shape = shapes.Shape.parse(job_request.shape)
        except (msgspec.DecodeError, shapes.ShapeError) as error:
            return _bad_request(str(error))
        if not (math.isfinite(job_request.run_time)
                and 0 < job_request.run_time <= MAX_RUN_SECONDS):
            return _bad_request('run_time is not a time of up to 30 days')
        payload = bytes(job_request.payload)
        if len(payload) > MAX_PAYLOAD_BYTES:
            return _refuse(
                verdict.Reason.TOO_LARGE,
                f'the payload exceeds {MAX_PAYLOAD_BYTES} bytes',
            )
        configuration = self._configuration.value
        assert configuration is not None
        work_class = classify.find_class(
            configuration, job_request.class_id, team.ok_value.team_id
        )
        if isinstance(work_class, result.Err):
            return work_class
        spec = work.JobSpec(
            team.ok_value.team_id,
            work_class.ok_value.class_id,
            shape,
            job_request.run_time,
            payload,
        )
        return result.Ok((spec, work_class.ok_value))

    def _team(
        self,
        request: message.Request,
    ) -> result.Result[work.Team, verdict.Refusal]:
        if self._configuration.value is None:
            return result.Err(
                verdict.did_not_run(
                    verdict.Reason.NOT_READY,
                    'no configuration has been received yet',
                    retry_after=1.0,
                )
            )
        team = self._tokens.find_team(authenticate.bearer_token(request))
        if team is None:
            return _refuse(
                verdict.Reason.UNAUTHENTICATED, 'the token belongs to no team'
            )
        return result.Ok(team)

    async def _check_access(
        self,
        request: message.Request,
        job_id: ids.JobId,
    ) -> result.Result[None, verdict.Refusal]:
        """Allow access only to operators and to the team of the job."""
        if self._operator_tokens.accepts(request):
            return result.Ok(None)
        team = self._team(request)
        if isinstance(team, result.Err):
            return team
        owner = await self._jobs.get_team_id(job_id)
        if isinstance(owner, result.Err):
            return owner
        if owner.ok_value != team.ok_value.team_id:
            # A team must not learn whether a job of another team exists.
            return result.Err(job_service.not_found())
        return result.Ok(None)


def _respond(
    outcome: result.Result[job_service.JobView, verdict.Refusal],
) -> message.Response:
    if isinstance(outcome, result.Err):
        return requests.respond(outcome)
    view = outcome.ok_value
    answer = JobAnswer(
        view.job_id,
        view.state.value,
        view.final,
        view.verdict.value,
        view.detail,
        view.attempts,
        view.accepted_at,
        view.ended_at,
        base64.b64encode(view.result or b'').decode('ascii'),
    )
    fields = {headers.VERDICT: view.verdict.value}
    status = 200 if view.final else ACCEPTED_STATUS
    return message.json_response(status, answer, fields)


def _refuse(
    reason: verdict.Reason,
    detail: str,
) -> result.Err[verdict.Refusal]:
    return result.Err(verdict.did_not_run(reason, detail))


def _bad_request(detail: str) -> entry_filter.Outcome:
    return entry_filter.refuse(
        verdict.did_not_run(verdict.Reason.BAD_REQUEST, detail)
    )


__all__ = (
    'JobAnswer',
    'JobEndpoint',
    'JobRequest',
    'MAX_PAYLOAD_BYTES',
)
