"""Queries the leader's in-memory state of jobs."""
from __future__ import annotations

import abc
import dataclasses
import typing
import urllib.parse

import logbook
import msgspec
import result

from nutmegworks.fleet import leader as leaders
from nutmegworks.fleet import membership
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('inquiry')

# The leader answers from memory; after this time the caller reads the store
# instead.
QUERY_TIMEOUT_SECONDS: typing.Final = 0.4
# Queries fail at once for this time after one without an answer, because each
# of them would run into the time-out.
UNREACHABLE_SECONDS: typing.Final = 1.0

STATE_PATH: typing.Final = '/state'
PENDING_PATH: typing.Final = '/pending'


class StateAnswer(msgspec.Struct):
    """The response to a query for a job's state.

    :param state: None if the leader does not know the job.
    """

    state: records.JobState | None = None


class PendingAnswer(msgspec.Struct):
    """The response to a query for the pending jobs of a queue.

    :param age: seconds before the response from which on accepted jobs may be
        missing in the number.
    """

    pending: documents.Count
    age: documents.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCount:
    """The number of a queue's jobs of which no task has started.

    :param as_of: seconds of ``membership.steady_clock``; jobs accepted later
        may be missing.
    """

    pending: int
    as_of: float


class NoLeaderError(msgspec.Struct):
    """Why the leader gave no answer."""

    detail: str


class LeaderClient(abc.ABC):
    """Queries the leader about jobs."""

    @abc.abstractmethod
    async def state(
        self,
        job_id: ids.JobId,
    ) -> result.Result[records.JobState | None, NoLeaderError]:
        """Return a job's state, None if the leader does not know the job."""

    @abc.abstractmethod
    async def pending(
        self,
        queue: str,
    ) -> result.Result[PendingCount, NoLeaderError]:
        """Return how many jobs of a queue have not started."""


def serving_term(candidate: leaders.Candidate) -> leaders.Term | None:
    """Return this daemon's term of leadership if its state is loaded."""
    term = candidate.term
    return term if term is not None and term.loaded else None


async def serve(
    term: leaders.Term,
    request: message.Request,
) -> message.Response:
    """Answer a query of a peer from the state of a term.

    :return: 400 if a parameter is missing, 404 for an unknown path, 503 if the
        term can not count yet.
    """
    path, _, query = request.target.partition('?')
    parameters = dict(urllib.parse.parse_qsl(query))
    if path == STATE_PATH:
        job_id = parameters.get('job')
        if job_id is None:
            return message.Response(400)
        state = await term.public_job_state(ids.JobId(job_id))
        return message.json_response(200, StateAnswer(state))
    if path == PENDING_PATH:
        queue = parameters.get('queue')
        if queue is None:
            return message.Response(400)
        answer = _count_pending(term, queue)
        if answer is None:
            return message.Response(503)
        return message.json_response(200, answer)
    return message.Response(404)


class HttpLeaderClient(LeaderClient):
    """Queries the leader over HTTP, or locally if this daemon leads."""

    def __init__(
        self,
        member: membership.Membership,
        candidate: leaders.Candidate,
        connections: pool.Pool,
        *,
        clock: typing.Callable[[], float] = membership.steady_clock,
    ) -> None:
        self._member = member
        self._candidate = candidate
        self._pool = connections
        self._clock = clock
        self._retry_at = 0.0
        self._unreachable: membership.Leadership | None = None

    async def state(
        self,
        job_id: ids.JobId,
    ) -> result.Result[records.JobState | None, NoLeaderError]:
        term = self._own_term()
        if term is not None:
            return result.Ok(await term.public_job_state(job_id))
        answer = await self._query(STATE_PATH, {'job': job_id}, StateAnswer)
        return answer.map(lambda response: response.state)

    async def pending(
        self,
        queue: str,
    ) -> result.Result[PendingCount, NoLeaderError]:
        asked_at = self._clock()
        term = self._own_term()
        if term is not None:
            answer = _count_pending(term, queue)
            if answer is None:
                return result.Err(NoLeaderError('workers have yet to report'))
            return result.Ok(_dated(answer, asked_at))
        queried = await self._query(
            PENDING_PATH, {'queue': queue}, PendingAnswer
        )
        return queried.map(lambda answer: _dated(answer, asked_at))

    def _own_term(self) -> leaders.Term | None:
        """Return the term of this daemon unless a later leader may act."""
        if not self._member.may_act_as_leader():
            return None
        return serving_term(self._candidate)

    async def _query(
        self,
        path: str,
        fields: typing.Mapping[str, str],
        answer_type: type,
    ) -> result.Result[typing.Any, NoLeaderError]:
        leader = self._member.leader
        if leader is None or leader.record.member == self._member.member_id:
            return result.Err(NoLeaderError('no leader is known'))
        if leader == self._unreachable and self._clock() < self._retry_at:
            return result.Err(NoLeaderError('the leader did not answer'))
        query = urllib.parse.urlencode(fields)
        answer = await self._pool.exchange(
            (leader.record.host, leader.record.port),
            message.Request('GET', f'{path}?{query}'),
            timeout=QUERY_TIMEOUT_SECONDS,
        )
        if answer.is_err():
            self._unreachable = leader
            self._retry_at = self._clock() + UNREACHABLE_SECONDS
            return result.Err(NoLeaderError(answer.err_value.detail))
        response = answer.ok_value
        if response.status != 200:
            return result.Err(NoLeaderError(f'status {response.status}'))
        try:
            return result.Ok(documents.decode(response.body, answer_type))
        except documents.DocumentError as error:
            return result.Err(NoLeaderError(f'unreadable answer: {error}'))


def _count_pending(term: leaders.Term, queue: str) -> PendingAnswer | None:
    """Return a term's answer, None if it can not count yet."""
    pending = term.count_pending(queue)
    return None if pending is None else PendingAnswer(pending, term.view_age())


def _dated(answer: PendingAnswer, asked_at: float) -> PendingCount:
    """Return a count that is dated from the time of the query.

    The response itself may have been on its way for long, and the clocks of
    hosts differ.
    """
    return PendingCount(answer.pending, asked_at - answer.age)


__all__ = (
    'HttpLeaderClient',
    'LeaderClient',
    'NoLeaderError',
    'PENDING_PATH',
    'PendingAnswer',
    'PendingCount',
    'STATE_PATH',
    'StateAnswer',
    'serve',
    'serving_term',
)
