from __future__ import annotations

import pathlib

import pytest

from nutmegworks.history import events
from nutmegworks.history import recorder
from nutmegworks.history import rules


def _sent(at: float, attempt: str = '1', key: str = 'k') -> events.Event:
    return events.RequestSent(
        at=at, key=key, attempt=attempt, idempotent=False
    )


def _answered(at: float, verdict: str, **extra: object) -> events.Event:
    fields = {'key': 'k', 'attempt': '1', **extra}
    return events.RequestAnswered(at=at, verdict=verdict, **fields)


def _executed(at: float, upstream: str = 'u') -> events.Event:
    return events.RequestExecuted(at=at, key='k', upstream=upstream)


def _accepted(members: int = 2, idempotent: bool = False) -> events.Event:
    return events.JobAccepted(
        at=0, job='j', members=members, idempotent=idempotent, result='r'
    )


def _ended(state: str = 'done', result: str = 'r') -> events.Event:
    return events.JobEnded(at=90, job='j', state=state, result=result)


def _task(
    worker: str,
    at: float,
    ended: float,
    *,
    run: str = 'r1',
    completed: bool = True,
    resumed: bool = False,
) -> events.Event:
    return events.TaskExecuted(
        at=at,
        job='j',
        run=run,
        worker=worker,
        ended=ended,
        completed=completed,
        resumed=resumed,
    )


def _observed(
    at: float, sequence: int, incarnation: str = 'a'
) -> events.Event:
    return events.ConfigurationObserved(
        at=at, daemon='n1', incarnation=incarnation, sequence=sequence
    )


def _accepted_change(at: float, sequence: int) -> events.Event:
    return events.ConfigurationAccepted(
        at=at, sequence=sequence, change=f'c{sequence}'
    )


def _stored(sequence: int, change: str) -> events.Event:
    return events.ConfigurationStored(at=99, sequence=sequence, change=change)


def _sent_to(at: float) -> events.Event:
    return events.RequestSent(
        at=at, key='k', attempt='1', idempotent=False, daemon='n1'
    )


def _impaired(at: float, cause: str) -> events.Event:
    return events.DaemonImpaired(at=at, daemon='n1', cause=cause)


def _restored(at: float, cause: str) -> events.Event:
    return events.DaemonRestored(at=at, daemon='n1', cause=cause)


VALID = {
    'answered': [
        _sent(0),
        _executed(1),
        _answered(2, 'ran', body='k'),
    ],
    'refused, then retried': [
        _sent(0),
        _answered(1, 'did-not-run'),
        _sent(2, '2'),
        _executed(3),
        _answered(4, 'ran', attempt='2', body='k'),
    ],
    'gang': [
        _accepted(),
        _task('w1', 1, 50),
        _task('w2', 2, 60),
        _ended(),
    ],
    'gang resumed': [
        _accepted(),
        _task('w1', 1, 5, completed=False),
        _task('w2', 1, 9, completed=False),
        _task('w1', 20, 50, resumed=True),
        _task('w3', 20, 50, resumed=True),
        _ended(),
    ],
    'job ended as may-have-run': [_accepted(),
                                  _ended('may-have-run', '')],
    'leaving in time': [
        events.UpstreamLeaving(at=0, upstream='u'),
        _executed(2.9),
    ],
    'configuration late while the store is cut': [
        _impaired(0, 'cut'),
        _accepted_change(1, 4),
        _observed(8, 3),
        _restored(9, 'cut'),
        _observed(13, 3),
        _observed(14, 4),
        _stored(4, 'c4'),
    ],
    'killed with a request': [
        _sent_to(0),
        _impaired(1, 'killed'),
        _answered(2, ''),
        _restored(3, 'killed'),
    ],
    'sent to a paused daemon': [
        _impaired(0, 'paused'),
        _sent_to(1),
        _restored(2, 'paused'),
        _answered(9, ''),
    ],
    'abandoned': [_sent_to(0), _answered(1, '', gave_up=True)],
    'planned stop': [
        events.DaemonStopped(at=1, daemon='n1', exit_code=0),
    ],
    'restarted daemon': [
        _observed(0, 5),
        _observed(1, 3, 'b'),
    ],
}

VIOLATING = {
    'at most once': [_sent(0), _executed(1),
                     _executed(2)],
    'response of another request': [
        _sent(0),
        _executed(1),
        _answered(2, 'ran', body='other'),
    ],
    'truncated': [
        _sent(0),
        _executed(1),
        _answered(2, 'ran', body='k', whole=False),
    ],
    'response without an execution': [_sent(0),
                                      _answered(2, 'ran', body='k')],
    'ran before the refusal': [
        _sent(0),
        _executed(1),
        _answered(2, 'did-not-run'),
    ],
    'ran after the refusal': [
        _sent(0),
        _answered(1, 'did-not-run'),
        _executed(2),
    ],
    'refused while another attempt runs': [
        _sent(0),
        _sent(1, '2'),
        _executed(2),
        _answered(3, 'did-not-run', attempt='2'),
        _answered(4, 'ran', body='k'),
    ],
    'late attempt runs after a later one was refused': [
        _sent(0),
        _sent(1, '2'),
        _answered(2, 'did-not-run', attempt='2'),
        _executed(3),
        _answered(4, ''),
    ],
    'work after leaving': [
        events.UpstreamLeaving(at=0, upstream='u'),
        _executed(3.1),
    ],
    'job lost': [_accepted()],
    'job ended twice': [_accepted(),
                        _ended(), _ended('failed', '')],
    'job with an incomplete result': [_accepted(),
                                      _ended(result='')],
    'idempotent job ended as may-have-run': [
        _accepted(idempotent=True),
        _ended('may-have-run', ''),
    ],
    'job ended in a non-final state': [_accepted(),
                                       _ended('accepted')],
    'job run again': [
        _accepted(1),
        _task('w1', 1, 5, completed=False),
        _task('w1', 20, 50, run='r2'),
        _ended(),
    ],
    'partial gang': [_accepted(), _task('w1', 1, 50),
                     _ended()],
    'gang continued after losing a member': [
        _accepted(),
        _task('w1', 1, 50),
        _task('w2', 1, 5, completed=False),
        _ended(),
    ],
    'configuration late': [
        _accepted_change(0, 4),
        _observed(4.9, 3),
        _observed(5.1, 3),
    ],
    'configuration late after the store returned': [
        _impaired(0, 'cut'),
        _impaired(0, 'paused'),
        _accepted_change(1, 4),
        _restored(2, 'cut'),
        _observed(8, 3),
        _restored(9, 'paused'),
        _observed(14.1, 3),
    ],
    'accepted change lost': [_accepted_change(0, 4),
                             _stored(4, 'other')],
    'accepted change applied twice': [
        _accepted_change(0, 4),
        _stored(4, 'c4'),
        _stored(5, 'c4'),
    ],
    'unclean stop': [
        events.DaemonStopped(at=1, daemon='n1', exit_code=1),
    ],
    'request cut off by a planned stop': [
        _sent_to(0),
        _impaired(1, 'stopped'),
        _answered(2, ''),
    ],
    'request cut off after the daemon returned': [
        _impaired(0, 'killed'),
        _restored(1, 'killed'),
        _sent_to(2),
        _answered(3, ''),
    ],
    'configuration reverted': [_observed(0, 5),
                               _observed(1, 4)],
}


@pytest.mark.parametrize('name', VALID)
def test_valid_history_has_no_violation(name: str) -> None:
    """A rule that is too strict would report false violations."""
    assert rules.check(VALID[name]) == []


@pytest.mark.parametrize('name', VIOLATING)
def test_violating_history_is_detected(name: str) -> None:
    """A rule that is too lax would miss its violation."""
    assert len(rules.check(VIOLATING[name])) == 1


def test_every_rule_has_a_violating_history() -> None:
    """A rule without a violating history might never report anything."""
    violated_rules = {
        violation.rule
        for history in VIOLATING.values()
        for violation in rules.check(history)
    }
    assert len(violated_rules) == len(rules.RULES)


def test_stored_history_is_read_back_unchanged(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'history'
    recorder.write(path, VALID['gang'])
    assert recorder.read(path) == VALID['gang']
