"""Rules that the history of a test run must satisfy.

Each rule yields a violation for each place at which the history breaks it.
"""
from __future__ import annotations

import collections
import dataclasses
import typing

from nutmegworks.history import events

History = typing.Sequence[events.Event]

# A leaving upstream must not receive requests after this time.
LEAVING_GRACE_SECONDS: typing.Final = 3.0
# The lease of a running task, which is renewed only for a complete gang; the
# members of a gang are started within this time too. No task may execute for
# longer without the other members of its gang.
MAX_PARTIAL_GANG_SECONDS: typing.Final = 15.0
# An accepted configuration must be in force on each daemon after this time.
MAX_CONFIGURATION_DELAY_SECONDS: typing.Final = 5.0

DID_NOT_RUN: typing.Final = 'did-not-run'
RAN: typing.Final = 'ran'
FINAL_STATES: typing.Final = frozenset(
    {'done', 'failed', 'cancelled', 'may-have-run'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule.

    :param subject: the key, job, upstream or daemon concerned.
    """

    rule: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f'{self.rule}: {self.subject}: {self.detail}'


_T = typing.TypeVar('_T')


def _events_of_type(history: History, event_type: type[_T]) -> list[_T]:
    return [event for event in history if isinstance(event, event_type)]


def at_most_once(history: History) -> typing.Iterator[Violation]:
    """A non-idempotent request executes at most once."""
    keys = {
        event.key
        for event in _events_of_type(history, events.RequestSent)
        if not event.idempotent
    }
    counts = collections.Counter(
        event.key
        for event in _events_of_type(history, events.RequestExecuted)
    )
    for key in sorted(keys):
        if counts[key] > 1:
            yield Violation(
                'at most once', key, f'executed {counts[key]} times'
            )


def responses_are_complete_and_matched(
    history: History
) -> typing.Iterator[Violation]:
    """A response is complete and belongs to its request, which executed."""
    executed = {
        event.key
        for event in _events_of_type(history, events.RequestExecuted)
    }
    for event in _events_of_type(history, events.RequestAnswered):
        if event.verdict != RAN or not event.body:
            continue
        if event.body != event.key or not event.whole:
            yield Violation(
                'complete matching response', event.key,
                f'got {event.body!r}, whole: {event.whole}'
            )
        elif event.key not in executed:
            yield Violation(
                'complete matching response', event.key,
                'answered without executing'
            )


@dataclasses.dataclass(slots=True)
class _Attempt:
    sent: float
    answered: float | None = None
    verdict: str = ''


def _attempts_by_key(history: History) -> dict[str, list[_Attempt]]:
    by_attempt: dict[tuple[str, str], _Attempt] = {}
    by_key: dict[str, list[_Attempt]] = collections.defaultdict(list)
    for event in history:
        if isinstance(event, events.RequestSent):
            attempt = _Attempt(event.at)
            by_attempt[(event.key, event.attempt)] = attempt
            by_key[event.key].append(attempt)
        elif isinstance(event, events.RequestAnswered):
            attempt = by_attempt[(event.key, event.attempt)]
            attempt.answered = event.at
            attempt.verdict = event.verdict
    return by_key


def did_not_run_is_correct(history: History) -> typing.Iterator[Violation]:
    """A key reported as DID_NOT_RUN has not executed under any attempt.

    A later execution belongs to an attempt that the caller sent after the
    refused one and that did not itself end in DID_NOT_RUN.
    """
    executions: dict[str, list[float]] = collections.defaultdict(list)
    for event in _events_of_type(history, events.RequestExecuted):
        executions[event.key].append(event.at)
    for key, attempts in _attempts_by_key(history).items():
        refused = [item for item in attempts if item.verdict == DID_NOT_RUN]
        others = [item for item in attempts if item.verdict != DID_NOT_RUN]
        for executed_at in executions[key]:
            if any((item.answered or executed_at) > executed_at
                   for item in refused):
                yield Violation(
                    'did-not-run is correct', key,
                    f'executed at {executed_at:.3f}, then refused'
                )
            elif refused and not _sent_after(refused, others, executed_at):
                yield Violation(
                    'did-not-run is correct', key,
                    f'executed at {executed_at:.3f} after refusal'
                )


def _sent_after(
    refused: typing.Sequence[_Attempt],
    others: typing.Sequence[_Attempt],
    executed_at: float,
) -> bool:
    """Return whether an attempt sent after all refused ones may have run."""
    last_refused = max(
        item.sent
        for item in refused
        if (item.answered or executed_at) <= executed_at
    )
    return any(last_refused < item.sent <= executed_at for item in others)


def no_requests_to_leaving_upstreams(
    history: History
) -> typing.Iterator[Violation]:
    """A leaving upstream receives no requests after the grace period."""
    leaving_since: dict[str, float] = {}
    for event in history:
        if isinstance(event, events.UpstreamLeaving):
            leaving_since[event.upstream] = event.at
        elif isinstance(event, events.UpstreamReturned):
            leaving_since.pop(event.upstream, None)
        elif isinstance(event, events.RequestExecuted):
            since = leaving_since.get(event.upstream, event.at)
            if event.at - since > LEAVING_GRACE_SECONDS:
                yield Violation(
                    'no requests to leaving upstreams', event.upstream,
                    f'request {event.at - since:.2f} s after leaving'
                )


def jobs_end_once_with_complete_result(
    history: History
) -> typing.Iterator[Violation]:
    """Each accepted job ends once; a done one has its complete result."""
    ended: dict[str, set[tuple[str, str]]] = collections.defaultdict(set)
    for event in _events_of_type(history, events.JobEnded):
        ended[event.job].add((event.state, event.result))
    for job in _events_of_type(history, events.JobAccepted):
        outcomes = ended[job.job]
        if len(outcomes) != 1:
            yield Violation(
                'job ends once', job.job, f'{len(outcomes)} outcomes'
            )
        for state, result in outcomes:
            if state not in FINAL_STATES:
                yield Violation('job ends once', job.job, f'state {state}')
            if state == 'may-have-run' and job.idempotent:
                yield Violation(
                    'job ends once', job.job,
                    'idempotent job ended as may-have-run'
                )
            if state == 'done' and result != job.result:
                yield Violation(
                    'job ends once', job.job, 'the result is incomplete'
                )


def jobs_run_at_most_once(history: History) -> typing.Iterator[Violation]:
    """A non-idempotent job starts once; later runs resume a checkpoint."""
    runs_from_start: dict[str, set[str]] = collections.defaultdict(set)
    starts: collections.Counter[tuple[str, str]] = collections.Counter()
    for event in _events_of_type(history, events.TaskExecuted):
        if not event.resumed:
            runs_from_start[event.job].add(event.run)
            starts[(event.job, event.worker)] += 1
    for job in _events_of_type(history, events.JobAccepted):
        if job.idempotent:
            continue
        restarted_workers = [
            worker for (name, worker), count in starts.items()
            if name == job.job and count > 1
        ]
        if len(runs_from_start[job.job]) > 1 or restarted_workers:
            yield Violation(
                'job at most once', job.job,
                'started again without a checkpoint'
            )


def no_partial_gang(history: History) -> typing.Iterator[Violation]:
    """No task executes for too long without its complete gang."""
    size_by_job = {
        job.job: job.members
        for job in _events_of_type(history, events.JobAccepted)
    }
    tasks: dict[tuple[str, str],
                list[events.TaskExecuted]] = (collections.defaultdict(list))
    for task in _events_of_type(history, events.TaskExecuted):
        tasks[(task.job, task.run)].append(task)
    for (job, run), members in tasks.items():
        longest = _longest_partial_seconds(members, size_by_job.get(job, 0))
        if longest > MAX_PARTIAL_GANG_SECONDS:
            yield Violation(
                'no partial gang', f'{job} run {run}',
                f'part of the gang executed for {longest:.2f} s'
            )


def _longest_partial_seconds(
    tasks: typing.Sequence[events.TaskExecuted],
    size: int,
) -> float:
    """Return the longest time during which only some members execute.

    A completed member counts as present from then on.
    """
    moments = sorted(
        {task.at
         for task in tasks} | {task.ended
                               for task in tasks}
    )
    longest = current = 0.0
    for start, end in zip(moments, moments[1:]):
        running = {
            task.worker
            for task in tasks
            if task.at <= start < task.ended
        }
        present = running | {
            task.worker
            for task in tasks
            if task.completed and task.ended <= start
        }
        partial = bool(running) and len(present) < size
        current = current + end - start if partial else 0.0
        longest = max(longest, current)
    return longest


def configuration_never_reverts(
    history: History,
) -> typing.Iterator[Violation]:
    """The sequence that one incarnation of a daemon reports never falls."""
    highest: dict[tuple[str, str], int] = {}
    for event in _events_of_type(history, events.ConfigurationObserved):
        process = (event.daemon, event.incarnation)
        before = highest.get(process, 0)
        if event.sequence < before:
            yield Violation(
                'configuration never reverts', event.daemon,
                f'went from {before} to {event.sequence}'
            )
        highest[process] = max(before, event.sequence)


class _Impairments:
    """Causes that impair each daemon, up to the current event."""

    def __init__(self) -> None:
        self._causes: dict[str, set[str]] = collections.defaultdict(set)
        self._restored_at: dict[str, float] = {}

    def update(self, event: events.Event) -> None:
        if isinstance(event, events.DaemonImpaired):
            self._causes[event.daemon].add(event.cause)
        elif isinstance(event, events.DaemonRestored):
            self._causes[event.daemon].discard(event.cause)
            self._restored_at[event.daemon] = event.at

    def unimpaired_for(self, daemon: str, seconds: float, at: float) -> bool:
        """Return whether nothing impaired a daemon in the last ``seconds``."""
        if self._causes[daemon]:
            return False
        return at - self._restored_at.get(daemon, 0.0) >= seconds


def configuration_in_force_in_time(
    history: History,
) -> typing.Iterator[Violation]:
    """An accepted configuration is in force on each unimpaired daemon.

    The delay is measured from the acceptance or from the end of the daemon's
    last impairment, whichever is later.
    """
    impairments = _Impairments()
    accepted: list[tuple[float, int]] = []
    for event in history:
        impairments.update(event)
        if isinstance(event, events.ConfigurationAccepted):
            accepted.append((event.at, event.sequence))
        if not isinstance(event, events.ConfigurationObserved):
            continue
        if not impairments.unimpaired_for(
                event.daemon, MAX_CONFIGURATION_DELAY_SECONDS, event.at):
            continue
        accepted_until = event.at - MAX_CONFIGURATION_DELAY_SECONDS
        expected = max(
            (item for at, item in accepted if at <= accepted_until), default=0
        )
        if event.sequence < expected:
            yield Violation(
                'configuration in force', event.daemon,
                f'{event.sequence} instead of {expected} at {event.at:.3f}'
            )


def accepted_changes_are_stored(
    history: History,
) -> typing.Iterator[Violation]:
    """Each accepted change is stored once, with the accepted sequence."""
    stored = _events_of_type(history, events.ConfigurationStored)
    sequences: dict[str, list[int]] = collections.defaultdict(list)
    for item in stored:
        sequences[item.change].append(item.sequence)
    for event in _events_of_type(history, events.ConfigurationAccepted):
        if stored and event.change:
            if sequences[event.change] != [event.sequence]:
                yield Violation(
                    'accepted change stored', event.change,
                    f'accepted as {event.sequence}, '
                    f'stored as {sequences[event.change]}'
                )


def planned_stop_exits_cleanly(
    history: History,
) -> typing.Iterator[Violation]:
    """A planned stop ends with exit code 0."""
    for event in _events_of_type(history, events.DaemonStopped):
        if event.exit_code != 0:
            yield Violation(
                'planned stop', event.daemon, f'exit code {event.exit_code}'
            )


# Causes that may leave a request unanswered. A planned stop or a failure of
# the store must not.
_FATAL_CAUSES: typing.Final = frozenset({'killed', 'paused'})


def every_request_is_answered(history: History) -> typing.Iterator[Violation]:
    """A request gets a response unless its daemon is killed or paused.

    Requests that the caller abandoned are ignored.
    """
    fatal_causes_by_daemon: dict[str, set[str]] = collections.defaultdict(set)
    pending: dict[str, set[tuple[str, str]]] = collections.defaultdict(set)
    daemon_by_attempt: dict[tuple[str, str], str] = {}
    excused: set[tuple[str, str]] = set()
    for event in history:
        if isinstance(event, events.DaemonImpaired):
            if event.cause in _FATAL_CAUSES:
                fatal_causes_by_daemon[event.daemon].add(event.cause)
                excused |= pending[event.daemon]
        elif isinstance(event, events.DaemonRestored):
            fatal_causes_by_daemon[event.daemon].discard(event.cause)
        elif isinstance(event, events.RequestSent) and event.daemon:
            attempt = (event.key, event.attempt)
            daemon_by_attempt[attempt] = event.daemon
            pending[event.daemon].add(attempt)
            if fatal_causes_by_daemon[event.daemon]:
                excused.add(attempt)
        elif isinstance(event, events.RequestAnswered):
            attempt = (event.key, event.attempt)
            daemon = daemon_by_attempt.get(attempt, '')
            pending[daemon].discard(attempt)
            no_response = not event.verdict and not event.gave_up
            if daemon and no_response and attempt not in excused:
                yield Violation(
                    'request answered', event.key,
                    f'{daemon} sent no response: {event.reason}'
                )


RULES: typing.Final = (
    at_most_once,
    responses_are_complete_and_matched,
    did_not_run_is_correct,
    no_requests_to_leaving_upstreams,
    jobs_end_once_with_complete_result,
    jobs_run_at_most_once,
    no_partial_gang,
    configuration_never_reverts,
    configuration_in_force_in_time,
    accepted_changes_are_stored,
    planned_stop_exits_cleanly,
    every_request_is_answered,
)


def check(history: History) -> list[Violation]:
    """Return every violation of every rule.

    :param history: events ordered by time.
    """
    return [violation for rule in RULES for violation in rule(history)]


__all__ = (
    'LEAVING_GRACE_SECONDS',
    'MAX_CONFIGURATION_DELAY_SECONDS',
    'MAX_PARTIAL_GANG_SECONDS',
    'RULES',
    'Violation',
    'check',
)
