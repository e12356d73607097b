"""Model of a worker's lease and of the leader that gives its run up.

The leader starts run 1 on the worker and starts run 2 elsewhere once it counts
run 1 as lost. An action that models a function of ``nutmegworks.fleet`` is
named after it. Times are ticks; the worker's clock may miss one of them.

Assumed: a request that arrives later than TRANSIT gives a later incarnation,
whose clock has started anew, no lease.
"""
from __future__ import annotations

import typing

import minicheck

LEASE: typing.Final = 2
MAX_TIME: typing.Final = 5
# Ticks that the worker's clock may miss, and that the leader waits longer.
MISSED_TICKS: typing.Final = 1
TRANSIT: typing.Final = 1


class State(typing.NamedTuple):
    """The state of leader, worker and messages.

    :param now: the leader's clock.
    :param worker_clock: the worker's clock, which starts anew with it.
    :param missed: ticks that the worker's clock has missed.
    :param incarnation: of the worker.
    :param worker_lease: end of the worker's lease on its clock.
    :param runs: whether run 1 runs on the worker.
    :param start_in_flight: whether the start request may still arrive.
    :param renewal: lease end of a renewal that may still arrive, 0 for one
        without a lease; -1 for none.
    :param awaits_answer: whether the leader waits for an answer.
    :param answer: the worker's clock, incarnation and whether it listed the
        run, as sent in an answer; empty for none.
    :param clock_offset: the worker's clock in its last answer less the time
        at which that arrived.
    :param lease_sent: latest lease end that a request carried.
    :param lease_sent_at: when the last request with a lease was sent.
    :param lease_answered: the same of requests that were answered.
    :param silent_lease: ``lease_sent`` when a request was first not answered;
        -1 while the worker answers.
    :param known_incarnation: the last one that the leader knows of.
    :param reported: whether an answer listed run 1.
    :param second_runs: whether run 2 was started.
    """

    now: int = 0
    worker_clock: int = 0
    missed: int = 0
    incarnation: int = 0
    worker_lease: int = 0
    runs: bool = False
    start_in_flight: bool = True
    renewal: int = -1
    awaits_answer: bool = False
    answer: tuple[int, ...] = ()
    clock_offset: int = 0
    lease_sent: int = LEASE
    lease_sent_at: int = 0
    lease_answered: int = LEASE
    silent_lease: int = -1
    known_incarnation: int = 0
    reported: bool = False
    second_runs: bool = False


Steps = list[tuple[str, tuple[typing.Any, ...]]]


class _LeaseModel:

    def __init__(self, broken: str = '') -> None:
        self._broken = broken
        self._margin = 0 if broken == 'no-margin' else MISSED_TICKS

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        for action in (
                self.tick,
                self.start,
                self.renew,
                self.deliver_renewal,
                self.handle_report,
                self.time_out,
                self.handle_lease_expiry,
                self.restart,
                self.handle_restart,
                self.remove_entry,
        ):
            for changed in action(state):
                steps.append((action.__name__, changed))
        return steps

    def tick(self, state: State) -> typing.Iterator[State]:
        if state.now >= MAX_TIME:
            return
        later = state._replace(now=state.now + 1)
        clock = state.worker_clock + 1
        yield later._replace(
            worker_clock=clock,
            runs=state.runs and clock <= state.worker_lease,
        )
        if state.missed < MISSED_TICKS:
            yield later._replace(missed=state.missed + 1)

    def start(self, state: State) -> typing.Iterator[State]:
        """Let the start request arrive, or be lost."""
        if not state.start_in_flight:
            return
        arrived = state._replace(start_in_flight=False)
        yield arrived
        if state.incarnation and state.now > TRANSIT:
            return
        if state.worker_clock <= LEASE:
            yield _with_lease(arrived._replace(runs=True), LEASE)

    def renew(self, state: State) -> typing.Iterator[State]:
        if state.awaits_answer or state.renewal >= 0:
            return
        asked = state._replace(awaits_answer=True, renewal=0)
        if state.silent_lease >= 0 and self._broken != 'prolong':
            yield asked
            return
        lease = state.now + state.clock_offset + LEASE
        yield asked._replace(
            renewal=lease,
            lease_sent=max(state.lease_sent, lease),
            lease_sent_at=state.now,
        )

    def deliver_renewal(self, state: State) -> typing.Iterator[State]:
        """Let the renewal arrive, at any time, or be lost."""
        if state.renewal < 0:
            return
        gone = state._replace(renewal=-1)
        yield gone
        is_late = state.now > state.lease_sent_at + TRANSIT
        arrived = gone
        if not (state.incarnation and is_late):
            arrived = _with_lease(gone, state.renewal)
        yield arrived
        if state.awaits_answer:
            yield arrived._replace(
                answer=(
                    state.worker_clock, state.incarnation, int(state.runs)
                )
            )

    def handle_report(self, state: State) -> typing.Iterator[State]:
        if not (state.awaits_answer and state.answer):
            return
        clock, incarnation, listed = state.answer
        restarted = incarnation > state.known_incarnation
        yield state._replace(
            awaits_answer=False,
            answer=(),
            silent_lease=-1,
            clock_offset=clock - state.now,
            lease_answered=(
                state.lease_sent if self._broken == 'count-answered' else LEASE
            ),
            known_incarnation=incarnation,
            second_runs=(
                state.second_runs or restarted and self._is_lost(state)
            ),
            reported=state.reported or bool(listed),
        )

    def time_out(self, state: State) -> typing.Iterator[State]:
        if not state.awaits_answer:
            return
        silent_lease = state.silent_lease
        if silent_lease < 0:
            silent_lease = state.lease_sent
        yield state._replace(
            awaits_answer=False, answer=(), silent_lease=silent_lease
        )

    def handle_lease_expiry(self, state: State) -> typing.Iterator[State]:
        lease = state.lease_sent
        if self._broken == 'count-answered':
            lease = state.lease_answered
        clock = state.now + state.clock_offset - self._margin
        # After a restart the leader waits for reports instead.
        if clock <= lease or state.known_incarnation:
            return
        # A later incarnation may have a run that was not reported.
        latest_end = state.lease_sent_at + TRANSIT + LEASE + MISSED_TICKS
        if (state.reported or state.now > latest_end
                or self._broken == 'same-incarnation'):
            yield state._replace(second_runs=True)

    def restart(self, state: State) -> typing.Iterator[State]:
        """Restart the worker, which holds and knows nothing of before."""
        if state.incarnation == 0:
            yield state._replace(
                incarnation=1, worker_clock=0, worker_lease=0, runs=False
            )

    def handle_restart(self, state: State) -> typing.Iterator[State]:
        """Let the leader learn of the restart from the worker's entry."""
        if state.incarnation > state.known_incarnation:
            yield state._replace(
                known_incarnation=state.incarnation,
                awaits_answer=False,
                answer=(),
                second_runs=state.second_runs or self._is_lost(state),
            )

    def _is_lost(self, state: State) -> bool:
        """Return whether run 1 ended with the known incarnation."""
        return state.reported or self._broken == 'restart-loses-all'

    def remove_entry(self, state: State) -> typing.Iterator[State]:
        """Let the store remove the entry of a worker that can't reach it."""
        if self._broken == 'removal-loses':
            yield state._replace(second_runs=True)


def _with_lease(state: State, lease: int) -> State:
    """Return the state after a request with a lease reached the worker."""
    shortened = min(lease, state.worker_clock + LEASE)
    return state._replace(worker_lease=max(state.worker_lease, shortened))


def lease_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of a worker's lease.

    :param broken: the fault to inject: ``prolong`` (unanswered renewals
        prolong the lease), ``count-answered`` (leases that unanswered renewals
        carried do not count), ``no-margin`` (a slow clock of the worker is
        not allowed for), ``removal-loses`` (a removed entry counts as the end
        of runs), ``restart-loses-all`` (runs that were not reported count as
        ended with an incarnation), ``same-incarnation`` (a run that was not
        reported is taken to be in the known incarnation), or empty.
    """

    def one_run(state: dict[str, typing.Any]) -> bool:
        return not (state['runs'] and state['second_runs'])

    def silent_lease_ends(state: dict[str, typing.Any]) -> bool:
        silent_lease = state['silent_lease']
        return silent_lease < 0 or state['lease_sent'] == silent_lease

    return minicheck.Protocol(
        name='worker lease',
        candidate=bool(broken),
        fields=State._fields,
        initial=tuple(State()),
        transitions=_LeaseModel(broken).transitions,
        invariants={
            'task_runs_once': one_run,
            'lease_of_a_silent_worker_ends': silent_lease_ends,
        },
    )


__all__ = ('lease_model', )
