"""Model of claims: one key, two daemons, three attempts, a faulty store.

Each action is named after the function of ``nutmegworks.claims`` that does
it. Pauses need no action of their own: between two actions of an attempt, any
number of others may happen. A CAS is one action, since it acts on a copy of
the record that may be old and fails if the revision has moved; a write that
the daemon has given up on may arrive at any later time.

The key has epoch 1. A claim of a later key of the same ring slot moves the
record to epoch 2 at any time.
"""
from __future__ import annotations

import enum
import typing

import minicheck

MAX_STATES: typing.Final = 1_000_000
DAEMONS: typing.Final = (0, 1)
FREE: typing.Final = ('free', -1)


class Phase(enum.IntEnum):
    NEW = 0
    LOAD = 1
    UNKNOWN = 2
    GRANTED = 3
    # The attempt is over but for its outcome.
    NOT_RUN = 4
    RAN = 5
    OVER = 6


class Variant(enum.Enum):
    """The protocol, or one rule of it broken."""

    CORRECT = 'correct'
    # Correct too: a caller that does not count its attempts.
    UNCOUNTED = 'uncounted'
    WRITE_WITHOUT_REVISION = 'write-without-revision'
    SEND_UNCONFIRMED = 'send-unconfirmed'
    TAKE_OVER = 'take-over'
    LOWER_EPOCH = 'lower-epoch'
    FINISH_OF_OTHERS = 'finish-of-others'
    ATTEMPT_ID_REUSED = 'attempt-id-reused'
    FAILURE_IS_NOT_RUN = 'failure-is-not-run'
    RETRY_IS_FIRST = 'retry-is-first'
    IN_PROGRESS_IS_NOT_RUN = 'in-progress-is-not-run'
    CLAIM_AFTER_FINISH = 'claim-after-finish'
    LATE_ATTEMPT = 'late-attempt'


class Record(typing.NamedTuple):
    """The stored record, reduced to the key, or a daemon's copy of it.

    :param claim: state and attempt.
    :param current: whether the store's revision is still that of this copy.
        Only equality of revisions matters, so they are not numbered, which
        keeps the number of states small.
    """

    epoch: int
    claim: tuple[str, int]
    current: bool = True


class Attempt(typing.NamedTuple):
    """One attempt of the caller.

    :param late: the claim of a write that may still arrive. It is dropped when
        the revision that it expects has gone.
    :param releasing: whether the release of a given-up claim is pending.
    """

    phase: Phase = Phase.NEW
    daemon: int = 0
    wrote: bool = False
    late: tuple[str, int] | None = None
    releasing: bool = False


class State(typing.NamedTuple):
    """Everything.

    :param previous: what a read that lags returns.
    :param copies: each daemon's cached record.
    :param copied: whether another daemon holds a copy of the first claim,
        forwarded to it.
    :param told: whether the caller's last attempt was refused DID_NOT_RUN.
    """

    record: Record
    previous: Record | None
    copies: tuple[Record | None, ...]
    attempts: tuple[Attempt, ...]
    copied: bool
    runs: int
    told: bool


Step = tuple[str, State]


def protocol(
    variant: Variant = Variant.CORRECT,
    *,
    attempts: int = 3,
) -> minicheck.Protocol:
    """Return the model for minicheck."""
    initial = State(
        Record(1, FREE),
        None,
        (None, None),
        (Attempt(), ) * attempts,
        False,
        0,
        False,
    )
    return minicheck.Protocol(
        name=f'claims {variant.value}',
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: _steps(State(*state), variant),
        invariants={
            'at_most_once':
            lambda view: view['runs'] <= 1,
            'did_not_run_is_true':
            lambda view: not (view['told'] and view['runs']),
        },
    )


def _steps(state: State, variant: Variant) -> list[Step]:
    if state.runs > 1:
        return []
    steps = list(_environment(state, variant))
    for number, attempt in enumerate(state.attempts):
        steps.extend(_ACTIONS[attempt.phase](state, number, variant))
        steps.extend(_release(state, number, variant))
        steps.extend(_late_write(state, number, variant))
    return steps


def _environment(state: State, variant: Variant) -> typing.Iterator[Step]:
    if state.record.epoch == 1:
        yield 'record.expire', _store(state, Record(2, FREE), variant)
    if state.copied:
        yield from _forwarded(state._replace(copied=False), variant)


def _forwarded(state: State, variant: Variant) -> typing.Iterator[Step]:
    """The preferred daemon handles a forwarded claim; its reply is lost."""
    yield 'ClaimService.serve dropped', state
    if _claim(state.record, 0, variant) == 'free':
        yield 'ClaimService.serve', _put(state, ('CLAIMED', 0), variant)


def _start(state: State, number: int, variant: Variant):
    """The caller sends an attempt to any daemon."""
    if number and state.attempts[number - 1].phase is Phase.NEW:
        return
    # The daemons are alike, so the first attempt goes to the first one.
    for daemon in DAEMONS if number else DAEMONS[:1]:
        attempt = Attempt(Phase.LOAD, daemon)
        started = _set(state, number, attempt)._replace(told=False)
        yield 'ClaimService.claim', started
        if number == 0:
            forwarded = _set(started, 0, attempt._replace(wrote=True))
            yield 'ClaimService._forward', forwarded._replace(copied=True)


def _load_and_claim(state: State, number: int, variant: Variant):
    attempt = state.attempts[number]
    copy = state.copies[attempt.daemon]
    if copy is None:
        loaded = _cache(state, attempt.daemon, state.record)
        yield 'Batcher._load', loaded
        if state.previous is not None:
            lagging = _cache(state, attempt.daemon, state.previous)
            yield 'Batcher._load lagging', lagging
        # The store is out.
        yield 'Batcher._fail', _refuse(state, number, variant)
        return
    answer = _claim(copy, number, variant)
    if answer == 'free':
        yield from _write_claim(state, number, copy, variant)
    else:
        yield 'record.claim', _reply(state, number, answer, variant)


def _claim(copy: Record, number: int, variant: Variant) -> str:
    """Apply ``record.claim``."""
    if copy.epoch > 1:
        return 'free' if variant is Variant.LOWER_EPOCH else 'expired'
    status, holder = copy.claim
    if status == 'CLAIMED' and holder == number:
        return 'granted'
    if status == 'CLAIMED':
        return 'free' if variant is Variant.TAKE_OVER else 'in-progress'
    if status == 'DID_NOT_RUN' and variant is Variant.UNCOUNTED:
        return 'over'
    if status == 'DID_NOT_RUN' and holder >= number:
        late = variant is Variant.LATE_ATTEMPT and holder != number
        return 'free' if late else 'over'
    if status in ('free', 'DID_NOT_RUN'):
        return 'free'
    if variant is Variant.CLAIM_AFTER_FINISH:
        return 'free'
    return 'finished'


# Replies of the record that are refused as DID_NOT_RUN.
_TOLD: typing.Final = (
    ('over', Variant.UNCOUNTED),
    ('in-progress', Variant.IN_PROGRESS_IS_NOT_RUN),
)


def _reply(state: State, number: int, answer: str, variant: Variant) -> State:
    attempt = state.attempts[number]
    if answer == 'granted':
        return _set(state, number, attempt._replace(phase=Phase.GRANTED))
    if answer == 'expired':
        return _refuse(state, number, variant)
    told = (answer, variant) in _TOLD
    return _over(state, number, told=told)


def _write_claim(state: State, number: int, copy: Record, variant: Variant):
    """One CAS of ``Batcher._write`` and each fate of it."""
    attempt = state.attempts[number]
    claim = ('CLAIMED', number)
    dropped = _cache(state, attempt.daemon, None)
    yield 'Batcher._fail', _refuse(dropped, number, variant)
    unknown = attempt._replace(phase=Phase.UNKNOWN, wrote=True)
    blind = variant is Variant.WRITE_WITHOUT_REVISION
    late = unknown._replace(late=claim if copy.current or blind else None)
    yield 'Batcher._write delayed', _set(dropped, number, late)
    if not copy.current and not blind:
        yield 'Batcher._write conflict', dropped
        return
    stored = _put(state, claim, variant)
    granted = stored.attempts[number]._replace(phase=Phase.GRANTED)
    yield 'Batcher._write', _cache(
        _set(stored, number, granted), attempt.daemon, stored.record
    )
    yield 'Batcher._write lost', _cache(
        _set(stored, number, unknown), attempt.daemon, None
    )


def _resolve(state: State, number: int, variant: Variant):
    """The answer of a write was lost."""
    attempt = state.attempts[number]
    again = attempt._replace(phase=Phase.LOAD)
    yield 'Batcher._process_batch', _set(state, number, again)
    if variant is Variant.SEND_UNCONFIRMED:
        granted = attempt._replace(phase=Phase.GRANTED)
        yield 'Batcher._process_batch', _set(state, number, granted)
    if variant is Variant.ATTEMPT_ID_REUSED:
        reused = again._replace(releasing=True)
        yield 'ClaimService._release', _set(state, number, reused)
    yield 'Batcher._fail', _refuse(state, number, variant)


def _send(state: State, number: int, variant: Variant):
    """The attempt holds the key and meets an upstream, or its caller left."""
    attempt = state.attempts[number]
    ran = attempt._replace(phase=Phase.RAN)
    yield 'UpstreamClient.run', _set(state, number,
                                     ran)._replace(runs=state.runs + 1)
    refused = attempt._replace(phase=Phase.NOT_RUN)
    yield 'UpstreamClient.run refused', _tell(
        _set(state, number, refused), number
    )
    yield 'ClaimService.finish first', _set(state, number, refused)


def _finish_not_run(state: State, number: int, variant: Variant):
    yield from _finish(state, number, 'DID_NOT_RUN', variant)


def _finish_ran(state: State, number: int, variant: Variant):
    outcome = 'RAN'
    if variant is Variant.FAILURE_IS_NOT_RUN:
        outcome = 'DID_NOT_RUN'
    yield from _finish(state, number, outcome, variant)


def _finish(state: State, number: int, outcome: str, variant: Variant):
    """``record.finish`` on the latest record; its write may be late."""
    attempt = state.attempts[number]
    over = attempt._replace(phase=Phase.OVER, releasing=False)
    done = _set(state, number, over)
    yield 'ClaimService.finish lost', done
    if _may_finish(state.record, number, variant):
        claim = (outcome, number)
        yield 'ClaimService.finish', _put(done, claim, variant)
        late = over._replace(late=claim)
        yield 'ClaimService.finish delayed', _set(state, number, late)


def _may_finish(record: Record, number: int, variant: Variant) -> bool:
    status, holder = record.claim
    if record.epoch != 1 or status != 'CLAIMED':
        return False
    return holder == number or variant is Variant.FINISH_OF_OTHERS


def _release(state: State, number: int, variant: Variant):
    attempt = state.attempts[number]
    if not attempt.releasing:
        return
    done = _set(state, number, attempt._replace(releasing=False))
    if _may_finish(state.record, number, variant):
        claim = ('DID_NOT_RUN', number)
        yield 'ClaimService._release', _put(done, claim, variant)


def _late_write(state: State, number: int, variant: Variant):
    """A write that a daemon gave up on reaches the store."""
    attempt = state.attempts[number]
    if attempt.late is None:
        return
    arrived = _set(state, number, attempt._replace(late=None))
    yield 'Store.put', _put(arrived, attempt.late, variant)


def _nothing(state: State, number: int, variant: Variant):
    return ()


_ACTIONS: typing.Final = {
    Phase.NEW: _start,
    Phase.LOAD: _load_and_claim,
    Phase.UNKNOWN: _resolve,
    Phase.GRANTED: _send,
    Phase.NOT_RUN: _finish_not_run,
    Phase.RAN: _finish_ran,
    Phase.OVER: _nothing,
}


def _refuse(state: State, number: int, variant: Variant) -> State:
    """Apply ``replies.refusal`` where the state of the key is unknown."""
    attempt = state.attempts[number]
    first = number == 0 and variant is not Variant.UNCOUNTED
    first = first or variant is Variant.RETRY_IS_FIRST
    return _over(state, number, told=first and not attempt.wrote)


def _over(state: State, number: int, *, told: bool) -> State:
    attempt = state.attempts[number]
    over = attempt._replace(phase=Phase.OVER, releasing=attempt.wrote)
    ended = _set(state, number, over)
    return _tell(ended, number) if told else ended


def _tell(state: State, number: int) -> State:
    """The caller hears DID_NOT_RUN if it has not sent another attempt."""
    later = state.attempts[number + 1:]
    if any(attempt.phase is not Phase.NEW for attempt in later):
        return state
    return state._replace(told=True)


def _put(
    state: State,
    claim: tuple[str, int],
    variant: Variant,
) -> State:
    return _store(state, Record(1, claim), variant)


def _store(state: State, record: Record, variant: Variant) -> State:
    """Apply a write, after which every other copy and write is too old."""
    copies = tuple(
        copy and copy._replace(current=False) for copy in state.copies
    )
    attempts = state.attempts
    if variant is not Variant.WRITE_WITHOUT_REVISION:
        attempts = tuple(item._replace(late=None) for item in attempts)
    return state._replace(
        record=record,
        previous=state.record._replace(current=False),
        copies=copies,
        attempts=attempts,
    )


def _cache(state: State, daemon: int, copy: Record | None) -> State:
    copies = list(state.copies)
    copies[daemon] = copy
    return state._replace(copies=tuple(copies))


def _set(state: State, number: int, attempt: Attempt) -> State:
    if attempt.phase is Phase.OVER:
        # What no longer matters must not tell states apart.
        attempt = attempt._replace(daemon=0, wrote=False)
    attempts = list(state.attempts)
    attempts[number] = attempt
    return state._replace(attempts=tuple(attempts))


__all__ = ('MAX_STATES', 'Variant', 'protocol')
