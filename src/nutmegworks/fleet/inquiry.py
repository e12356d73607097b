"""Asks the leader about jobs, or answers for it."""
from __future__ import annotations

import abc
import time
import typing
import urllib.parse

import logbook
import msgspec
import result

from nutmegworks.fleet import leader as leaders
from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('inquiry')

# The leader answers from memory; beyond this time the store is asked.
ASK_SECONDS: typing.Final = 0.4
# A leader that gave no answer is not asked again for this time: each call
# would wait in vain.
UNREACHABLE_SECONDS: typing.Final = 1.0

STATE_PATH: typing.Final = '/state'
PENDING_PATH: typing.Final = '/pending'


class StateAnswer(msgspec.Struct):
    """:param state: None if the leader does not know the job."""

    state: records.JobState | None = None


class PendingAnswer(msgspec.Struct):
    pending: int


class NoLeaderError(msgspec.Struct):
    """Why the leader gave no answer."""

    detail: str


class Inquiry(abc.ABC):

    @abc.abstractmethod
    async def state(
        self,
        job_id: ids.JobId,
    ) -> result.Result[records.JobState | None, NoLeaderError]:
        """Return a job's state as the leader knows it."""

    @abc.abstractmethod
    async def pending(
        self,
        queue: str,
    ) -> result.Result[int, NoLeaderError]:
        """Return how many jobs of a queue have not started."""


def local_term(candidate: leaders.Candidate) -> leaders.Term | None:
    """Return this daemon's term if it may answer for the fleet."""
    term = candidate.term
    return term if term is not None and term.loaded else None


class LeaderInquiry(Inquiry):
    """Asks this daemon's own term or the leader over the network."""

    def __init__(
        self,
        member: membership.Membership,
        candidate: leaders.Candidate,
        connections: pool.Pool,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._member = member
        self._candidate = candidate
        self._pool = connections
        self._clock = clock
        self._ask_again = 0.0
        self._unreachable: membership.Leadership | None = None

    async def state(
        self,
        job_id: ids.JobId,
    ) -> result.Result[records.JobState | None, NoLeaderError]:
        term = self._own_term()
        if term is not None:
            return result.Ok(await term.shown_state(job_id))
        answer = await self._ask(STATE_PATH, {'job': job_id}, StateAnswer)
        return answer.map(lambda found: found.state)

    async def pending(
        self,
        queue: str,
    ) -> result.Result[int, NoLeaderError]:
        term = self._own_term()
        if term is not None:
            return result.Ok(term.state.pending(queue))
        answer = await self._ask(PENDING_PATH, {'queue': queue}, PendingAnswer)
        return answer.map(lambda found: found.pending)

    def _own_term(self) -> leaders.Term | None:
        return local_term(self._candidate) if self._member.leads else None

    async def _ask(
        self,
        path: str,
        fields: typing.Mapping[str, str],
        answer_type: type,
    ) -> result.Result[typing.Any, NoLeaderError]:
        leader = self._member.leader
        if leader is None or leader.record.member == self._member.member_id:
            return result.Err(NoLeaderError('no leader is known'))
        if leader == self._unreachable and self._clock() < self._ask_again:
            return result.Err(NoLeaderError('the leader did not answer'))
        query = urllib.parse.urlencode(fields)
        answer = await self._pool.exchange(
            (leader.record.host, leader.record.port),
            message.Request('GET', f'{path}?{query}'),
            timeout=ASK_SECONDS,
        )
        if answer.is_err():
            self._unreachable = leader
            self._ask_again = self._clock() + UNREACHABLE_SECONDS
            return result.Err(NoLeaderError(answer.err_value.detail))
        response = answer.ok_value
        if response.status != 200:
            return result.Err(NoLeaderError(f'status {response.status}'))
        return result.Ok(msgspec.json.decode(response.body, type=answer_type))


__all__ = (
    'Inquiry',
    'LeaderInquiry',
    'NoLeaderError',
    'PENDING_PATH',
    'PendingAnswer',
    'STATE_PATH',
    'StateAnswer',
    'local_term',
)
