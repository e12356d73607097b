"""The promises as rules over a history; each returns what breaks it."""
from __future__ import annotations

import collections
import dataclasses
import typing

from nutmegworks.history import events

History = typing.Sequence[events.Event]

# A leaving upstream receives no work after this.
LEAVING_SECONDS: typing.Final = 3.0
# The lease of a running task, renewed only for a whole gang, and the time in
# which the members of a gang are started. Beyond it a task without the rest
# of its gang breaks the promise.
PARTIAL_GANG_SECONDS: typing.Final = 15.0
CONFIGURATION_SECONDS: typing.Final = 5.0

DID_NOT_RUN: typing.Final = 'did-not-run'
RAN: typing.Final = 'ran'
FINAL_STATES: typing.Final = frozenset(
    {'done', 'failed', 'cancelled', 'may-have-run'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise.

    :param subject: the key, job, upstream or daemon concerned.
    """

    rule: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f'{self.rule}: {self.subject}: {self.detail}'


_T = typing.TypeVar('_T')


def _of(history: History, kind: type[_T]) -> list[_T]:
    return [event for event in history if isinstance(event, kind)]


def at_most_once(history: History) -> typing.Iterator[Violation]:
    """A non-idempotent request executes at most once."""
    keys = {
        event.key
        for event in _of(history, events.RequestSent)
        if not event.idempotent
    }
    counts = collections.Counter(
        event.key for event in _of(history, events.RequestExecuted)
    )
    for key in sorted(keys):
        if counts[key] > 1:
            yield Violation(
                'at most once', key, f'executed {counts[key]} times'
            )


def whole_own_answer(history: History) -> typing.Iterator[Violation]:
    """A response is whole, belongs to its request, and its request ran."""
    executed = {event.key for event in _of(history, events.RequestExecuted)}
    for event in _of(history, events.RequestAnswered):
        if event.verdict != RAN or not event.body:
            continue
        if event.body != event.key or not event.whole:
            yield Violation(
                'whole own answer', event.key,
                f'got {event.body!r}, whole: {event.whole}'
            )
        elif event.key not in executed:
            yield Violation(
                'whole own answer', event.key, 'answered without executing'
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


def did_not_run_is_true(history: History) -> typing.Iterator[Violation]:
    """A key that is said not to have run has not run under any attempt.

    A later execution belongs to an attempt that the caller sent after the
    refused one and that did not itself end in DID_NOT_RUN.
    """
    executions: dict[str, list[float]] = collections.defaultdict(list)
    for event in _of(history, events.RequestExecuted):
        executions[event.key].append(event.at)
    for key, attempts in _attempts_by_key(history).items():
        refused = [item for item in attempts if item.verdict == DID_NOT_RUN]
        others = [item for item in attempts if item.verdict != DID_NOT_RUN]
        for at in executions[key]:
            if any((item.answered or at) > at for item in refused):
                yield Violation(
                    'did not run', key, f'executed at {at:.3f}, then refused'
                )
            elif refused and not _sent_after(refused, others, at):
                yield Violation(
                    'did not run', key, f'executed at {at:.3f} after refusal'
                )


def _sent_after(
    refused: typing.Sequence[_Attempt],
    others: typing.Sequence[_Attempt],
    at: float,
) -> bool:
    """Return whether an attempt later than all refused ones may have run."""
    last = max(item.sent for item in refused if (item.answered or at) <= at)
    return any(last < item.sent <= at for item in others)


def no_work_when_leaving(history: History) -> typing.Iterator[Violation]:
    """A leaving upstream receives no work after the bound."""
    leaving_since: dict[str, float] = {}
    for event in history:
        if isinstance(event, events.UpstreamLeaving):
            leaving_since[event.upstream] = event.at
        elif isinstance(event, events.UpstreamReturned):
            leaving_since.pop(event.upstream, None)
        elif isinstance(event, events.RequestExecuted):
            since = leaving_since.get(event.upstream, event.at)
            if event.at - since > LEAVING_SECONDS:
                yield Violation(
                    'no work when leaving', event.upstream,
                    f'work {event.at - since:.2f} s after leaving'
                )


def jobs_end_once_and_whole(history: History) -> typing.Iterator[Violation]:
    """Each accepted job ends once; a done one has its whole result."""
    ended: dict[str, set[tuple[str, str]]] = collections.defaultdict(set)
    for event in _of(history, events.JobEnded):
        ended[event.job].add((event.state, event.result))
    for job in _of(history, events.JobAccepted):
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
                    'job ends once', job.job, 'idempotent, yet given up'
                )
            if state == 'done' and result != job.result:
                yield Violation(
                    'job ends once', job.job, 'the result is not whole'
                )


def jobs_run_at_most_once(history: History) -> typing.Iterator[Violation]:
    """A non-idempotent job starts once; later starts resume a checkpoint."""
    fresh: dict[str, set[str]] = collections.defaultdict(set)
    starts: collections.Counter[tuple[str, str]] = collections.Counter()
    for event in _of(history, events.TaskExecuted):
        if not event.resumed:
            fresh[event.job].add(event.run)
            starts[(event.job, event.worker)] += 1
    for job in _of(history, events.JobAccepted):
        if job.idempotent:
            continue
        again = [
            worker for (name, worker), count in starts.items()
            if name == job.job and count > 1
        ]
        if len(fresh[job.job]) > 1 or again:
            yield Violation(
                'job at most once', job.job, 'started again from nothing'
            )


def no_partial_gang(history: History) -> typing.Iterator[Violation]:
    """No task executes longer than the bound without its whole gang."""
    size_by_job = {
        job.job: job.members
        for job in _of(history, events.JobAccepted)
    }
    tasks: dict[tuple[str, str],
                list[events.TaskExecuted]] = (collections.defaultdict(list))
    for task in _of(history, events.TaskExecuted):
        tasks[(task.job, task.run)].append(task)
    for (job, run), members in tasks.items():
        longest = _longest_partial(members, size_by_job.get(job, 0))
        if longest > PARTIAL_GANG_SECONDS:
            yield Violation(
                'no partial gang', f'{job} run {run}',
                f'part of the gang executed for {longest:.2f} s'
            )


def _longest_partial(
    tasks: typing.Sequence[events.TaskExecuted],
    size: int,
) -> float:
    """Return the longest time with some but not all members executing.

    A member that has completed counts as present from then on.
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
    """The sequence that one life of a daemon reports never falls."""
    highest: dict[tuple[str, str], int] = {}
    for event in _of(history, events.ConfigurationObserved):
        life = (event.daemon, event.incarnation)
        before = highest.get(life, 0)
        if event.sequence < before:
            yield Violation(
                'configuration never reverts', event.daemon,
                f'went from {before} to {event.sequence}'
            )
        highest[life] = max(before, event.sequence)


class _Impairments:
    """Which causes keep a daemon from working, as the history goes on."""

    def __init__(self) -> None:
        self._causes: dict[str, set[str]] = collections.defaultdict(set)
        self._whole_since: dict[str, float] = {}

    def follow(self, event: events.Event) -> None:
        if isinstance(event, events.DaemonImpaired):
            self._causes[event.daemon].add(event.cause)
        elif isinstance(event, events.DaemonRestored):
            self._causes[event.daemon].discard(event.cause)
            self._whole_since[event.daemon] = event.at

    def unimpaired_for(self, daemon: str, seconds: float, at: float) -> bool:
        if self._causes[daemon]:
            return False
        return at - self._whole_since.get(daemon, 0.0) >= seconds


def configuration_in_force_in_time(
    history: History,
) -> typing.Iterator[Violation]:
    """An accepted configuration is in force on each unimpaired daemon.

    The time counts from the acceptance or, if that is later, from the moment
    at which the daemon's last impairment ended.
    """
    impairments = _Impairments()
    accepted: list[tuple[float, int]] = []
    for event in history:
        impairments.follow(event)
        if isinstance(event, events.ConfigurationAccepted):
            accepted.append((event.at, event.sequence))
        if not isinstance(event, events.ConfigurationObserved):
            continue
        if not impairments.unimpaired_for(event.daemon, CONFIGURATION_SECONDS,
                                          event.at):
            continue
        due = event.at - CONFIGURATION_SECONDS
        wanted = max((item for at, item in accepted if at <= due), default=0)
        if event.sequence < wanted:
            yield Violation(
                'configuration in force', event.daemon,
                f'{event.sequence} instead of {wanted} at {event.at:.3f}'
            )


def accepted_changes_are_kept(
    history: History,
) -> typing.Iterator[Violation]:
    """The stored history has each accepted change once, at its sequence."""
    kept = _of(history, events.ConfigurationKept)
    sequences: dict[str, list[int]] = collections.defaultdict(list)
    for item in kept:
        sequences[item.change].append(item.sequence)
    for event in _of(history, events.ConfigurationAccepted):
        if kept and event.change:
            if sequences[event.change] != [event.sequence]:
                yield Violation(
                    'accepted change kept', event.change,
                    f'accepted as {event.sequence}, '
                    f'stored as {sequences[event.change]}'
                )


def planned_stop_exits_cleanly(
    history: History,
) -> typing.Iterator[Violation]:
    """A planned stop ends with exit code 0."""
    for event in _of(history, events.DaemonStopped):
        if event.exit_code != 0:
            yield Violation(
                'planned stop', event.daemon, f'exit code {event.exit_code}'
            )


# What may leave a request unanswered. A planned stop and trouble with the
# store may not.
_FATAL_CAUSES: typing.Final = frozenset({'killed', 'paused'})


def every_request_is_answered(history: History) -> typing.Iterator[Violation]:
    """A request gets a response unless its daemon is killed or paused.

    Requests that the caller abandoned are not counted.
    """
    down: dict[str, set[str]] = collections.defaultdict(set)
    open_at: dict[str, set[tuple[str, str]]] = collections.defaultdict(set)
    daemon_of: dict[tuple[str, str], str] = {}
    excused: set[tuple[str, str]] = set()
    for event in history:
        if isinstance(event, events.DaemonImpaired):
            if event.cause in _FATAL_CAUSES:
                down[event.daemon].add(event.cause)
                excused |= open_at[event.daemon]
        elif isinstance(event, events.DaemonRestored):
            down[event.daemon].discard(event.cause)
        elif isinstance(event, events.RequestSent) and event.daemon:
            attempt = (event.key, event.attempt)
            daemon_of[attempt] = event.daemon
            open_at[event.daemon].add(attempt)
            if down[event.daemon]:
                excused.add(attempt)
        elif isinstance(event, events.RequestAnswered):
            attempt = (event.key, event.attempt)
            daemon = daemon_of.get(attempt, '')
            open_at[daemon].discard(attempt)
            lost = not event.verdict and not event.gave_up
            if daemon and lost and attempt not in excused:
                yield Violation(
                    'request answered', event.key,
                    f'{daemon} sent no response: {event.reason}'
                )


RULES: typing.Final = (
    at_most_once,
    whole_own_answer,
    did_not_run_is_true,
    no_work_when_leaving,
    jobs_end_once_and_whole,
    jobs_run_at_most_once,
    no_partial_gang,
    configuration_never_reverts,
    configuration_in_force_in_time,
    accepted_changes_are_kept,
    planned_stop_exits_cleanly,
    every_request_is_answered,
)


def check(history: History) -> list[Violation]:
    """Return every violation of every rule.

    :param history: in the order of its times.
    """
    return [violation for rule in RULES for violation in rule(history)]


__all__ = (
    'CONFIGURATION_SECONDS',
    'LEAVING_SECONDS',
    'PARTIAL_GANG_SECONDS',
    'RULES',
    'Violation',
    'check',
)
