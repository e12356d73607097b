"""Decodes the platform's JSON documents into the types of ``tasks``."""
from __future__ import annotations

import re
import typing

import msgspec

from nutmegworks.fleet import interfaces
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.tasks import configuration
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

OPERATORS_PREFIX: typing.Final = 'op/'
CONFIGURATION_KEY: typing.Final = 'op/config'
# Header with the milliseconds that a client waits for the response.
DEADLINE_HEADER: typing.Final = 'x-deadline-ms'
WORKERS_PREFIX: typing.Final = 'servers/'

# Labels of the form r1-3 are racks; the other labels name the worker's kind.
_RACK_LABEL_PREFIX: typing.Final = 'r'

# Limits of one worker's capacity and of one task's request. No host is as
# large: by a larger number, all work would seem to fit on that worker.
MAX_CPU: typing.Final = 10_000 * 1000  # thousandths of a core
MAX_MEMORY: typing.Final = 1024 * 1024 * 1024  # MiB
MAX_ACCELERATORS: typing.Final = 10_000

_Cpu = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU)]
_Memory = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY)]
_Accelerators = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)]

# A leader visits each unfinished task in each planning round; further tasks
# would delay the rounds of all jobs.
MAX_TASKS_OF_AN_OCCURRENCE: typing.Final = spec.MAX_COPIES
# The end of each member of a gang visits the other runs of its job.
MAX_TASKS_OF_A_GANG: typing.Final = 1000
MAX_TASKS_OF_A_JOB: typing.Final = 10 * MAX_TASKS_OF_AN_OCCURRENCE
MAX_SPEC_BYTES: typing.Final = 4000
# About 30 years; arithmetic with it stays finite.
MAX_DURATION_MS: typing.Final = 1e12

_Duration = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_UnixTime = typing.Annotated[
    float,
    msgspec.Meta(ge=0, le=documents.MAX_UNIX_MS),
]

# Requests name a worker in a header, which carries visible ASCII only.
_WORKER_ID: typing.Final = re.compile('[!-~]+')


class _Step(msgspec.Struct, rename='camel', omit_defaults=True):
    count: int
    cpu: _Cpu = 0
    mem_mb: _Memory = 0
    gpu: _Accelerators = 0
    estimated_ms: _Duration = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ''
    affinity: str = ''
    anti_affinity: documents.Count = 0
    allow_duplicates: bool = False
    long_running: bool = False
    fills: bool = False
    may_miss: documents.Count = 0


class _Job(msgspec.Struct, rename='camel', omit_defaults=True):
    steps: list[_Step]
    spec: str = ''
    repeat_count: documents.Count = 0
    start_at_ms: _UnixTime = 0
    interval_ms: _Duration = 0


def decode_submission(data: bytes) -> spec.Submission:
    """Return a submission.

    :raise ValueError: unreadable, or not a job that can run.
    """
    job = documents.decode(data, _Job)
    if not job.steps:
        raise documents.DocumentError('a job needs a step')
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise documents.DocumentError(
            f'the spec is longer than {MAX_SPEC_BYTES} bytes'
        )
    _check_size(job)
    return spec.Submission(
        payload=job.spec,
        steps=tuple(
            _decode_step(spec.StepNumber(number), step)
            for number, step in enumerate(job.steps)
        ),
        occurrences=max(1, job.repeat_count),
        start_at=job.start_at_ms / 1000 if job.repeat_count else 0.0,
        interval=job.interval_ms / 1000,
    )


def compact_submission(data: bytes) -> bytes:
    """Return a submission without padding, unknown fields and defaults.

    :raise ValueError: unreadable.
    """
    return msgspec.json.encode(documents.decode(data, _Job))


def _check_size(job: _Job) -> None:
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS_OF_AN_OCCURRENCE:
        raise documents.DocumentError(
            f'more than {MAX_TASKS_OF_AN_OCCURRENCE} tasks'
        )
    if tasks * job.repeat_count > MAX_TASKS_OF_A_JOB:
        raise documents.DocumentError(
            f'more than {MAX_TASKS_OF_A_JOB} tasks in all occurrences'
        )


def _decode_step(number: spec.StepNumber, step: _Step) -> spec.Step:
    if step.count < 1 or any(not 0 <= other < number for other in step.after):
        raise documents.DocumentError(
            f'step {number} has no task or an impossible order'
        )
    if step.gang and step.count > MAX_TASKS_OF_A_GANG:
        raise documents.DocumentError(
            f'step {number} is a gang of more than {MAX_TASKS_OF_A_GANG} tasks'
        )
    return spec.Step(
        number=number,
        count=step.count,
        resources=spec.Resources(
            0 if step.fills else step.cpu, step.mem_mb, step.gpu
        ),
        estimate=step.estimated_ms / 1000,
        depends_on=tuple(spec.StepNumber(other) for other in step.after),
        checkpoints=step.checkpointing,
        gang=step.gang,
        one_rack=step.same_rack,
        required_label=step.requirements,
        data_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        allows_duplicates=step.allow_duplicates,
        endless=step.long_running,
        best_effort=step.fills,
        max_unavailable=step.may_miss,
    )


class _Route(msgspec.Struct, rename='camel'):
    name: str
    hostname: str
    prefix: str
    service: str
    # Milliseconds added to a job's objective.
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    skip_auth: bool = False
    advice: dict[str, typing.Any] | None = None


class _Guaranteed(msgspec.Struct):
    gpu: int = 0


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed = msgspec.field(default_factory=_Guaranteed)


class _Service(msgspec.Struct):
    name: str


class _Limits(msgspec.Struct, rename='camel'):
    max_body_bytes: int = 0
    max_header_bytes: int = 0
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(data: bytes) -> configuration.Configuration:
    """Return a configuration.

    :raise ValueError: unreadable, or not a configuration.
    """
    document = documents.decode(data, _Configuration)
    return configuration.Configuration(
        version=document.version,
        queues_by_id={
            configuration.QueueId(route.name): _decode_queue(route)
            for route in document.routes
        },
        teams_by_id={
            ids.TeamId(tenant.name):
            configuration.Team(
                ids.TeamId(tenant.name),
                frozenset(tenant.api_keys),
                tenant.guaranteed.gpu,
            )
            for tenant in document.tenants
        },
        service_ids=frozenset(
            ids.ServiceId(service.name) for service in document.services
        ),
        **_decode_limits(document.limits),
    )


def _decode_limits(limits: _Limits) -> dict[str, typing.Any]:
    """Return the limits that are above zero; the others have defaults."""
    values = {
        'max_body_bytes': limits.max_body_bytes,
        'max_header_bytes': limits.max_header_bytes,
        'header_timeout': limits.header_timeout_ms / 1000,
        'idle_timeout': limits.idle_timeout_ms / 1000,
    }
    return {name: value for name, value in values.items() if value > 0}


def _decode_queue(route: _Route) -> configuration.Queue:
    return configuration.Queue(
        queue_id=configuration.QueueId(route.name),
        host=route.hostname,
        prefix=route.prefix,
        service_id=ids.ServiceId(route.service),
        priority=route.priority,
        attempts=route.max_attempts,
        stretch=route.stretch,
        target=route.target_latency_ms / 1000,
        allows_anonymous=route.skip_auth,
        externally_placed=route.advice is not None,
    )


class _Capacity(msgspec.Struct, rename='camel'):
    cpu: _Cpu
    mem_mb: _Memory
    gpu: _Accelerators = 0


class _Worker(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    # The platform calls a leaving worker "draining".
    state: typing.Literal['ready', 'draining']
    capacity: _Capacity
    labels: list[str]
    # The incarnation of the worker.
    born: documents.UnixMilliseconds = 0
    remaining_ms: float | None = None


_STATE_BY_NAME: typing.Final = {
    'ready': workers.WorkerState.READY,
    'draining': workers.WorkerState.LEAVING,
}


def decode_worker(key: str, data: bytes) -> workers.WorkerEntry:
    """Return a worker's registration.

    :raise ValueError: unreadable, or not a registration of a worker that can
        be used.
    """
    worker_id = key.removeprefix(WORKERS_PREFIX)
    if not _WORKER_ID.fullmatch(worker_id):
        raise documents.DocumentError('not the key of a worker')
    entry = documents.decode(data, _Worker)
    address = documents.parse_address(entry.address)
    documents.check_ip(address[0])
    racks = [
        label for label in entry.labels
        if label.startswith(_RACK_LABEL_PREFIX) and '-' in label
    ]
    remaining = entry.remaining_ms
    return workers.WorkerEntry(
        worker_id=ids.WorkerId(worker_id),
        address=address,
        service_id=ids.ServiceId(entry.service),
        domain_id=ids.DomainId(entry.zone),
        state=_STATE_BY_NAME[entry.state],
        incarnation=workers.WorkerIncarnation(entry.born),
        resources=spec.Resources(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        rack=racks[0] if racks else '',
        labels=frozenset(entry.labels),
        remaining=None if remaining is None else max(0.0, remaining / 1000),
    )


class PlatformDecoder(interfaces.Decoder):
    """Decodes documents of the platform, its operators and its clients."""

    configuration_key = CONFIGURATION_KEY
    workers_prefix = WORKERS_PREFIX

    def configuration(self, data: bytes) -> configuration.Configuration:
        return decode_configuration(data)

    def worker(self, key: str, data: bytes) -> workers.WorkerEntry:
        return decode_worker(key, data)

    def submission(self, data: bytes) -> spec.Submission:
        return decode_submission(data)

    def compact_submission(self, data: bytes) -> bytes:
        return compact_submission(data)


__all__ = (
    'CONFIGURATION_KEY',
    'DEADLINE_HEADER',
    'OPERATORS_PREFIX',
    'PlatformDecoder',
    'WORKERS_PREFIX',
    'compact_submission',
    'decode_configuration',
    'decode_submission',
    'decode_worker',
)
