"""Model of claims: one key, two daemons, three attempts, a faulty store.

Each action is named after the function that it models. Pauses need no action
of their own: between two actions of an attempt, any number of others may
happen. A compare-and-swap is one action, as it uses a copy of the record that
may be outdated and fails if the revision has changed. A write whose
response the daemon no longer awaits may reach the store at any later time.

The key has epoch 1. A claim of a later key of the same ring slot moves the
record to epoch 2 at any time.
"""
from __future__ import annotations

import enum
import typing

import minicheck

MAX_STATES: typing.Final = 1_000_000
DAEMONS: typing.Final = (0, 1)
UNCLAIMED: typing.Final = ('unclaimed', -1)


class Phase(enum.IntEnum):
    NEW = 0
    LOAD = 1
    UNKNOWN = 2
    GRANTED = 3
    # The attempt has ended and its outcome is not yet recorded.
    NOT_RUN = 4
    RAN = 5
    ENDED = 6


class Variant(enum.Enum):
    """The correct protocol, or a variant that breaks one of its rules."""

    CORRECT = 'correct'
    # Also correct: the caller does not number its attempts.
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
    :param current: whether the store still has the revision of this copy.
        Only equality of revisions matters, so they are not numbered, which
        keeps the number of states small.
    """

    epoch: int
    claim: tuple[str, int]
    current: bool = True


class Attempt(typing.NamedTuple):
    """One attempt of the caller.

    :param may_have_written: whether a write of its claim may take effect.
    :param delayed_claim: the claim of a write that may still reach the store.
        It is dropped once the store no longer has the expected revision.
    :param releasing: whether the release of an abandoned claim is pending.
    """

    phase: Phase = Phase.NEW
    daemon: int = 0
    may_have_written: bool = False
    delayed_claim: tuple[str, int] | None = None
    releasing: bool = False


class State(typing.NamedTuple):
    """The state of the whole system.

    :param previous: the record that a stale read returns.
    :param copies: each daemon's cached record.
    :param forwarded: whether the first claim was forwarded to another daemon
        that has not handled it yet.
    :param runs: how often the request has run.
    :param refused: whether the caller's last attempt was refused as
        DID_NOT_RUN.
    """

    record: Record
    previous: Record | None
    copies: tuple[Record | None, ...]
    attempts: tuple[Attempt, ...]
    forwarded: bool
    runs: int
    refused: bool


Step = tuple[str, State]


def protocol(
    variant: Variant = Variant.CORRECT,
    *,
    attempts: int = 3,
) -> minicheck.Protocol:
    """Return the model for minicheck."""
    initial = State(
        Record(1, UNCLAIMED),
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
            lambda state: state['runs'] <= 1,
            'did_not_run_is_correct':
            lambda state: not (state['refused'] and state['runs']),
        },
    )


def _steps(state: State, variant: Variant) -> list[Step]:
    if state.runs > 1:
        return []
    steps = list(_environment(state, variant))
    for number, attempt in enumerate(state.attempts):
        steps.extend(_ACTIONS[attempt.phase](state, number, variant))
        steps.extend(_release(state, number, variant))
        steps.extend(_delayed_write(state, number, variant))
    return steps


def _environment(state: State, variant: Variant) -> typing.Iterator[Step]:
    if state.record.epoch == 1:
        yield 'record.expire', _with_record(
            state, Record(2, UNCLAIMED), variant
        )
    if state.forwarded:
        yield from _forwarded(state._replace(forwarded=False), variant)


def _forwarded(state: State, variant: Variant) -> typing.Iterator[Step]:
    """Let the preferred daemon handle a forwarded claim; its reply is lost."""
    yield 'ClaimService.serve dropped', state
    if _claim(state.record, 0, variant) == 'unclaimed':
        yield 'ClaimService.serve', _with_claim(state, ('CLAIMED', 0), variant)


def _start(state: State, number: int, variant: Variant):
    """Let the caller send an attempt to any daemon."""
    if number and state.attempts[number - 1].phase is Phase.NEW:
        return
    # By symmetry, only the first daemon is tried for the first attempt.
    for daemon in DAEMONS if number else DAEMONS[:1]:
        attempt = Attempt(Phase.LOAD, daemon)
        started = _with_attempt(state, number, attempt)._replace(refused=False)
        yield 'ClaimService.claim', started
        if number == 0:
            in_transit = _with_attempt(
                started, 0, attempt._replace(may_have_written=True)
            )
            yield 'ClaimService._forward', in_transit._replace(forwarded=True)


def _load_and_claim(state: State, number: int, variant: Variant):
    attempt = state.attempts[number]
    copy = state.copies[attempt.daemon]
    if copy is None:
        loaded = _with_copy(state, attempt.daemon, state.record)
        yield 'Batcher._load', loaded
        if state.previous is not None:
            stale = _with_copy(state, attempt.daemon, state.previous)
            yield 'Batcher._load stale', stale
        # The store is unavailable.
        yield 'Batcher._fail', _refuse(state, number, variant)
        return
    answer = _claim(copy, number, variant)
    if answer == 'unclaimed':
        yield from _write_claim(state, number, copy, variant)
    else:
        yield 'record.claim', _reply(state, number, answer, variant)


def _claim(copy: Record, number: int, variant: Variant) -> str:
    """Apply ``record.claim``."""
    if copy.epoch > 1:
        return 'unclaimed' if variant is Variant.LOWER_EPOCH else 'expired'
    status, holder = copy.claim
    if status == 'CLAIMED' and holder == number:
        return 'granted'
    if status == 'CLAIMED':
        return 'unclaimed' if variant is Variant.TAKE_OVER else 'in-progress'
    if status == 'DID_NOT_RUN' and variant is Variant.UNCOUNTED:
        return 'attempt-over'
    if status == 'DID_NOT_RUN' and holder >= number:
        accepts_older = variant is Variant.LATE_ATTEMPT and holder != number
        return 'unclaimed' if accepts_older else 'attempt-over'
    if status in ('unclaimed', 'DID_NOT_RUN'):
        return 'unclaimed'
    if variant is Variant.CLAIM_AFTER_FINISH:
        return 'unclaimed'
    return 'finished'


# Answers, with the variant in which they are refused as DID_NOT_RUN.
_REFUSED_ANSWERS: typing.Final = (
    ('attempt-over', Variant.UNCOUNTED),
    ('in-progress', Variant.IN_PROGRESS_IS_NOT_RUN),
)


def _reply(state: State, number: int, answer: str, variant: Variant) -> State:
    attempt = state.attempts[number]
    if answer == 'granted':
        return _with_attempt(
            state, number, attempt._replace(phase=Phase.GRANTED)
        )
    if answer == 'expired':
        return _refuse(state, number, variant)
    refused = (answer, variant) in _REFUSED_ANSWERS
    return _end(state, number, refused=refused)


def _write_claim(state: State, number: int, copy: Record, variant: Variant):
    """Enumerate the outcomes of ``Batcher._write``, a compare-and-swap."""
    attempt = state.attempts[number]
    claim = ('CLAIMED', number)
    dropped = _with_copy(state, attempt.daemon, None)
    yield 'Batcher._fail', _refuse(dropped, number, variant)
    unknown = attempt._replace(phase=Phase.UNKNOWN, may_have_written=True)
    unconditional = variant is Variant.WRITE_WITHOUT_REVISION
    delayed = unknown._replace(
        delayed_claim=claim if copy.current or unconditional else None
    )
    yield 'Batcher._write delayed', _with_attempt(dropped, number, delayed)
    if not copy.current and not unconditional:
        yield 'Batcher._write conflict', dropped
        return
    stored = _with_claim(state, claim, variant)
    granted = stored.attempts[number]._replace(phase=Phase.GRANTED)
    yield 'Batcher._write', _with_copy(
        _with_attempt(stored, number, granted), attempt.daemon, stored.record
    )
    yield 'Batcher._write lost', _with_copy(
        _with_attempt(stored, number, unknown), attempt.daemon, None
    )


def _resolve(state: State, number: int, variant: Variant):
    """Handle a write whose response was lost."""
    attempt = state.attempts[number]
    again = attempt._replace(phase=Phase.LOAD)
    yield 'Batcher._process_batch', _with_attempt(state, number, again)
    if variant is Variant.SEND_UNCONFIRMED:
        granted = attempt._replace(phase=Phase.GRANTED)
        yield 'Batcher._process_batch', _with_attempt(state, number, granted)
    if variant is Variant.ATTEMPT_ID_REUSED:
        reused = again._replace(releasing=True)
        yield 'ClaimService._release_unless_granted', _with_attempt(
            state, number, reused
        )
    yield 'Batcher._fail', _refuse(state, number, variant)


def _send(state: State, number: int, variant: Variant):
    """Send the claimed request, or finish it if its caller disconnected."""
    attempt = state.attempts[number]
    ran = attempt._replace(phase=Phase.RAN)
    yield 'UpstreamClient.run', _with_attempt(state, number, ran)._replace(
        runs=state.runs + 1
    )
    refused = attempt._replace(phase=Phase.NOT_RUN)
    yield 'UpstreamClient.run refused', _refuse_as_not_run(
        _with_attempt(state, number, refused), number
    )
    yield 'ClaimService.finish first', _with_attempt(state, number, refused)


def _finish_not_run(state: State, number: int, variant: Variant):
    yield from _finish(state, number, 'DID_NOT_RUN', variant)


def _finish_ran(state: State, number: int, variant: Variant):
    outcome = 'RAN'
    if variant is Variant.FAILURE_IS_NOT_RUN:
        outcome = 'DID_NOT_RUN'
    yield from _finish(state, number, outcome, variant)


def _finish(state: State, number: int, outcome: str, variant: Variant):
    """Apply ``record.finish`` to the latest record; the write may be late."""
    attempt = state.attempts[number]
    ended = attempt._replace(phase=Phase.ENDED, releasing=False)
    finished = _with_attempt(state, number, ended)
    yield 'ClaimService.finish lost', finished
    if _may_finish(state.record, number, variant):
        claim = (outcome, number)
        yield 'ClaimService.finish', _with_claim(finished, claim, variant)
        delayed = ended._replace(delayed_claim=claim)
        yield 'ClaimService.finish delayed', _with_attempt(
            state, number, delayed
        )


def _may_finish(record: Record, number: int, variant: Variant) -> bool:
    status, holder = record.claim
    if record.epoch != 1 or status != 'CLAIMED':
        return False
    return holder == number or variant is Variant.FINISH_OF_OTHERS


def _release(state: State, number: int, variant: Variant):
    attempt = state.attempts[number]
    if not attempt.releasing:
        return
    released = _with_attempt(state, number, attempt._replace(releasing=False))
    if _may_finish(state.record, number, variant):
        claim = ('DID_NOT_RUN', number)
        yield 'ClaimService._release_unless_granted', _with_claim(
            released, claim, variant
        )


def _delayed_write(state: State, number: int, variant: Variant):
    """Let a write that its daemon no longer awaits reach the store."""
    attempt = state.attempts[number]
    if attempt.delayed_claim is None:
        return
    arrived = _with_attempt(
        state, number, attempt._replace(delayed_claim=None)
    )
    yield 'Store.put', _with_claim(arrived, attempt.delayed_claim, variant)


def _no_actions(state: State, number: int, variant: Variant):
    return ()


_ACTIONS: typing.Final = {
    Phase.NEW: _start,
    Phase.LOAD: _load_and_claim,
    Phase.UNKNOWN: _resolve,
    Phase.GRANTED: _send,
    Phase.NOT_RUN: _finish_not_run,
    Phase.RAN: _finish_ran,
    Phase.ENDED: _no_actions,
}


def _refuse(state: State, number: int, variant: Variant) -> State:
    """Apply ``replies.refusal`` where the state of the key is unknown."""
    attempt = state.attempts[number]
    is_first = number == 0 and variant is not Variant.UNCOUNTED
    is_first = is_first or variant is Variant.RETRY_IS_FIRST
    return _end(
        state, number, refused=is_first and not attempt.may_have_written
    )


def _end(state: State, number: int, *, refused: bool) -> State:
    attempt = state.attempts[number]
    ended = attempt._replace(
        phase=Phase.ENDED, releasing=attempt.may_have_written
    )
    updated = _with_attempt(state, number, ended)
    return _refuse_as_not_run(updated, number) if refused else updated


def _refuse_as_not_run(state: State, number: int) -> State:
    """Answer DID_NOT_RUN unless the caller has sent a later attempt."""
    later = state.attempts[number + 1:]
    if any(attempt.phase is not Phase.NEW for attempt in later):
        return state
    return state._replace(refused=True)


def _with_claim(
    state: State,
    claim: tuple[str, int],
    variant: Variant,
) -> State:
    return _with_record(state, Record(1, claim), variant)


def _with_record(state: State, record: Record, variant: Variant) -> State:
    """Apply a write, which outdates every other copy and pending write."""
    copies = tuple(
        copy and copy._replace(current=False) for copy in state.copies
    )
    attempts = state.attempts
    if variant is not Variant.WRITE_WITHOUT_REVISION:
        attempts = tuple(
            item._replace(delayed_claim=None) for item in attempts
        )
    return state._replace(
        record=record,
        previous=state.record._replace(current=False),
        copies=copies,
        attempts=attempts,
    )


def _with_copy(state: State, daemon: int, copy: Record | None) -> State:
    copies = list(state.copies)
    copies[daemon] = copy
    return state._replace(copies=tuple(copies))


def _with_attempt(state: State, number: int, attempt: Attempt) -> State:
    if attempt.phase is Phase.ENDED:
        # Fields that no longer matter must not make states differ.
        attempt = attempt._replace(daemon=0, may_have_written=False)
    attempts = list(state.attempts)
    attempts[number] = attempt
    return state._replace(attempts=tuple(attempts))


__all__ = ('MAX_STATES', 'Variant', 'protocol')
