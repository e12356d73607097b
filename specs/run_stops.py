"""Model of a run that must end, across changes of leader.

The first leader has stored and sent the start of a run that does not end by
itself, and the job's cancellation is stored at any time. Leaders end between
any two steps, the worker may start anew, and the start request may be late.
An action that models a function of ``nutmegworks.fleet`` is named after it;
the decisions are those of ``nutmegworks.policy.run_stops``.

Assumed: each leader renews the worker's lease, so the run ends only if it is
stopped. The end of a lease is the subject of ``worker_lease``.
"""
from __future__ import annotations

import enum
import typing

import minicheck

from nutmegworks.fleet import table
from nutmegworks.policy import run_stops

MAX_TERM: typing.Final = 2
MAX_INCARNATION: typing.Final = 1
# No report has been received in this term.
UNKNOWN_INCARNATION: typing.Final = -1


class Broken(enum.Enum):
    """Faults that may be injected; the first three are former code.

    ADOPT_ALL: a new leader stops nothing that it adopts.
    LEAVE_UNKNOWN: runs of jobs that are not known are left alone.
    STOP_ONCE: an answered stop request is never repeated.
    STOP_ADOPTED: a new leader stops all that it adopts.
    """

    ADOPT_ALL = 'adopt-all'
    LEAVE_UNKNOWN = 'leave-unknown'
    STOP_ONCE = 'stop-once'
    STOP_ADOPTED = 'stop-adopted'


class State(typing.NamedTuple):
    """The state of store, leader, worker and messages.

    :param term: of the leader; its fencing token.
    :param cancelled: the job's cancellation is stored.
    :param final_stored: the job's progress is stored as final.
    :param assigned_stored: the progress names the run as not ended.
    :param removed: the job's records are removed.
    :param final: whether the leader knows that the job has ended.
    :param phase: of the run in the leader's tables; None if it has no record.
    :param recorded: the run was assigned, or adopted, by the present leader.
    :param sending: the leader sends stop requests until one is answered.
    :param confirmed: the worker has answered a start or stop request.
    :param reported: a report has listed the run in this term.
    :param known_incarnation: the last one that the leader knows of.
    :param start_in_flight: whether the start request may still arrive.
    :param incarnation: of the worker.
    :param token: the highest one that the worker's incarnation has seen.
    :param runs: whether the run runs on the worker.
    :param refused: the worker's incarnation starts the run no more.
    """

    term: int = 0
    cancelled: bool = False
    final_stored: bool = False
    assigned_stored: bool = True
    removed: bool = False
    final: bool = False
    phase: table.RunPhase | None = table.RunPhase.ORDERED
    recorded: bool = True
    sending: bool = False
    confirmed: bool = False
    reported: bool = False
    known_incarnation: int = 0
    start_in_flight: bool = True
    incarnation: int = 0
    token: int = 0
    runs: bool = False
    refused: bool = False


Steps = list[tuple[str, tuple[typing.Any, ...]]]


class _StopModel:

    def __init__(self, broken: Broken | None) -> None:
        self._broken = broken

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        for action in (
                self.deliver_start,
                self.store_cancel,
                self.cancel,
                self.persist_changes,
                self.stop_run,
                self.handle_report,
                self.clean_up,
                self.change_leader,
                self.restart,
        ):
            for changed in action(state):
                steps.append((action.__name__, changed))
        return steps

    def deliver_start(self, state: State) -> typing.Iterator[State]:
        """Let the start request of the first leader arrive, or be lost."""
        if not state.start_in_flight:
            return
        gone = state._replace(start_in_flight=False)
        yield gone
        if state.token == 0 and not state.refused:
            yield gone._replace(runs=True)

    def store_cancel(self, state: State) -> typing.Iterator[State]:
        """Store and acknowledge the cancellation, whoever leads."""
        if not state.cancelled:
            yield state._replace(cancelled=True)

    def cancel(self, state: State) -> typing.Iterator[State]:
        if state.cancelled and not state.final and not state.removed:
            yield _stop(state._replace(final=True))

    def persist_changes(self, state: State) -> typing.Iterator[State]:
        if not state.removed:
            yield state._replace(
                final_stored=state.final,
                assigned_stored=state.phase is not None and state.recorded,
            )

    def stop_run(self, state: State) -> typing.Iterator[State]:
        """Let a stop request arrive; its answer may be lost."""
        if not state.sending:
            return
        arrived = state._replace(token=state.term, runs=False, refused=True)
        yield arrived
        yield arrived._replace(sending=False, confirmed=True)

    def handle_report(self, state: State) -> typing.Iterator[State]:
        state = state._replace(token=state.term)
        if state.incarnation != state.known_incarnation:
            state = self._handle_restart(state)
        if state.runs:
            yield self._apply_status(state)._replace(reported=True)
        elif (state.refused or state.confirmed
              or state.phase is table.RunPhase.ADOPTED):
            yield _release(state)
        else:
            yield state

    def _handle_restart(self, state: State) -> State:
        state = state._replace(known_incarnation=state.incarnation)
        if state.reported:
            return _release(state)
        if self._broken is Broken.STOP_ONCE:
            return state
        return _repeat_stop(state)

    def _apply_status(self, state: State) -> State:
        if state.phase is None:
            if state.removed and self._broken is Broken.LEAVE_UNKNOWN:
                return state
            unrecorded = state._replace(
                phase=table.RunPhase.RUNNING, recorded=False
            )
            return _stop(unrecorded)
        if state.phase is not table.RunPhase.STOPPING:
            return state._replace(phase=table.RunPhase.RUNNING, confirmed=True)
        confirmed_at = 0.0 if state.confirmed else None
        repeats = run_stops.must_repeat_stop(
            confirmed_at, run_stops.STOP_REPEAT_SECONDS
        )
        if repeats and self._broken is not Broken.STOP_ONCE:
            return _repeat_stop(state)
        return state

    def clean_up(self, state: State) -> typing.Iterator[State]:
        runs_left = state.phase is not None
        if run_stops.may_forget(state.final_stored, 0.0, 1.0, runs_left):
            yield state._replace(removed=True, assigned_stored=False)

    def change_leader(self, state: State) -> typing.Iterator[State]:
        """Begin a term with what is stored."""
        if state.term >= MAX_TERM:
            return
        state = state._replace(
            term=state.term + 1,
            final=state.final_stored or state.cancelled,
            phase=None,
            recorded=False,
            sending=False,
            confirmed=False,
            reported=False,
            known_incarnation=UNKNOWN_INCARNATION,
        )
        if not state.assigned_stored:
            yield state
            return
        adopted = state._replace(phase=table.RunPhase.ADOPTED, recorded=True)
        yield _stop(adopted) if self._stops_adopted(state) else adopted

    def _stops_adopted(self, state: State) -> bool:
        if self._broken is Broken.STOP_ADOPTED:
            return True
        if self._broken is Broken.ADOPT_ALL:
            # add_job stopped the runs of a job that was not final yet.
            return state.cancelled and not state.final_stored
        return run_stops.must_stop(run_stops.StoredRun(state.final, False))

    def restart(self, state: State) -> typing.Iterator[State]:
        """Restart the worker, which holds and knows nothing of before."""
        if state.incarnation < MAX_INCARNATION:
            yield state._replace(
                incarnation=state.incarnation + 1,
                token=0,
                runs=False,
                refused=False,
            )


def _stop(state: State) -> State:
    if state.phase in (None, table.RunPhase.STOPPING):
        return state
    return state._replace(
        phase=table.RunPhase.STOPPING, sending=True, confirmed=False
    )


def _repeat_stop(state: State) -> State:
    if state.phase is not table.RunPhase.STOPPING or not state.confirmed:
        return state
    return state._replace(sending=True, confirmed=False)


def _release(state: State) -> State:
    return state._replace(
        phase=None, recorded=False, sending=False, confirmed=False
    )


def stop_model(broken: Broken | None = None) -> minicheck.Protocol:
    """Return the model of stops across changes of leader.

    Its goal is that a cancelled run has ended and can't begin any more.

    :param broken: the fault to inject, None for the code as it is.
    """

    def recorded_run_goes_on(state: dict[str, typing.Any]) -> bool:
        stopping = state['phase'] is table.RunPhase.STOPPING
        return state['cancelled'] or not (stopping and state['recorded'])

    def run_has_ended(state: dict[str, typing.Any]) -> bool:
        return state['cancelled'
                     ] and not (state['runs'] or state['start_in_flight'])

    return minicheck.Protocol(
        name='stops across changes of leader',
        candidate=broken is not None,
        fields=State._fields,
        initial=tuple(State()),
        transitions=_StopModel(broken).transitions,
        invariants={'recorded_run_goes_on': recorded_run_goes_on},
        goal=run_has_ended,
    )


__all__ = ('Broken', 'stop_model')
