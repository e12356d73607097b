"""Commands for jobs."""
from __future__ import annotations

import base64
import secrets
import time
import typing

import msgspec
import typer

from nutmegworks.cli import client
from nutmegworks.cli import output
from nutmegworks.cli import session
from nutmegworks.settings import values

# Below the longest wait that a daemon accepts, jobs.service.MAX_WAIT_SECONDS.
MAX_POLL_SECONDS: typing.Final = 25
# Must equal claims.key.EPOCH_SECONDS.
EPOCH_SECONDS: typing.Final = 10

app = typer.Typer(no_args_is_help=True, help='Jobs of a team.')

JobId = typing.Annotated[str, typer.Argument(help='Id of the job.')]


class _Job(msgspec.Struct):
    job_id: str
    state: str
    final: bool
    verdict: str
    detail: str
    attempts: int
    accepted_at: float
    ended_at: float
    result: str


@app.command()
def submit(
    context: typer.Context,
    class_name: typing.Annotated[
        str, typer.Option('--class', help='Class of work.')],
    shape: typing.Annotated[
        str, typer.Option(help='Accelerators, for example 2x8.')],
    run_time: typing.Annotated[
        str,
        typer.Option(help='Expected run time, for example "10 min".')],
    payload: typing.Annotated[
        str, typer.Option(help='JSON given to each task.')] = 'null',
    key: typing.Annotated[
        str,
        typer.Option(help='Idempotency key; a new one if not given.')] = '',
) -> None:
    """Submit a job and print its id."""
    current = session.from_context(context)
    try:
        body = {
            'class': class_name,
            'shape': shape,
            'run_time': values.parse_seconds(run_time),
            'payload': msgspec.json.decode(payload.encode()),
        }
    except ValueError as error:
        client.fail(client.ExitCode.USAGE, str(error))
    headers = {'idempotency-key': key or new_key()}
    if not key:
        headers['nutmeg-attempt'] = '1'
    typer.echo(f'key {headers["idempotency-key"]}', err=True)
    response = current.daemon.call('POST', '/v1/jobs', body, headers=headers)
    value = msgspec.json.decode(response.body)
    output.show(current.output_format, value, ['job'], [[value['job_id']]])


def new_key() -> str:
    """Return a new idempotency key: its epoch and a random part."""
    epoch = int(time.time()) // EPOCH_SECONDS
    return f'{epoch}-{secrets.token_hex(8)}'


@app.command()
def show(context: typer.Context, job_id: JobId) -> None:
    """Show a job as it is now."""
    _show(context, _fetch(context, job_id, 0))


@app.command()
def wait(
    context: typer.Context,
    job_id: JobId,
    seconds: typing.Annotated[
        float, typer.Option(help='Longest time to wait.')] = 3600.0,
) -> None:
    """Wait until a job has ended; resumes when a daemon stops."""
    deadline = time.monotonic() + seconds
    while True:
        remaining = deadline - time.monotonic()
        job = _fetch(
            context, job_id, max(0.0, min(remaining, MAX_POLL_SECONDS))
        )
        if job.final or remaining <= 0:
            break
    _show(context, job)
    if not job.final:
        raise typer.Exit(int(client.ExitCode.UNAVAILABLE))


def _fetch(context: typer.Context, job_id: str, seconds: float) -> _Job:
    response = session.from_context(context).daemon.call(
        'GET',
        f'/v1/jobs/{job_id}?wait={seconds:.1f}',
        timeout=seconds + client.CALL_TIMEOUT_SECONDS,
    )
    return msgspec.json.decode(response.body, type=_Job)


def _show(context: typer.Context, job: _Job) -> None:
    text = base64.b64decode(job.result).decode('utf-8', 'replace')
    output.show(
        session.from_context(context).output_format, job,
        ['job', 'state', 'verdict', 'starts', 'detail', 'result'], [
            [
                job.job_id, job.state, job.verdict, job.attempts, job.detail,
                text[:60]
            ]
        ]
    )


@app.command()
def cancel(context: typer.Context, job_id: JobId) -> None:
    """Cancel a job; cancelling again changes nothing."""
    response = session.from_context(context).daemon.call(
        'DELETE', f'/v1/jobs/{job_id}'
    )
    _show(context, msgspec.json.decode(response.body, type=_Job))


def explain(context: typer.Context, job_id: JobId) -> None:
    """Say why a job waits, or where it ran."""
    response = session.from_context(context).daemon.call(
        'GET', f'/v1/jobs/{job_id}/explain'
    )
    typer.echo(msgspec.json.decode(response.body)['lines'])


__all__ = ('app', 'explain', 'new_key')
