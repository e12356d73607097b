"""Model of the acknowledgement of ends to a worker that may restart unseen.

The leader has stored end 1 of incarnation 0 and starts a further task. The
task's end has number 2 in incarnation 0 and number 1 in a later one. A renewal
that acknowledges end 1 must not reach a later incarnation that has ended the
task before the leader has processed that. An action that models a function of
``nutmegworks.fleet`` is named after it.

Assumed: a renewal that was not answered arrives before ``expire_renewal``, or
not at all.
"""
from __future__ import annotations

import typing

import minicheck

MAX_INCARNATION: typing.Final = 2


class State(typing.NamedTuple):
    """The state of leader, worker and messages.

    :param incarnation: of the worker.
    :param known_incarnation: the last one that the leader knows of.
    :param sent: whether the start request was sent.
    :param start_in_flight: whether it may still arrive.
    :param runs: whether the task runs on the worker.
    :param ended: whether the worker lists the task's end.
    :param reported: whether a report listed the run or its end.
    :param processed: whether the leader has processed the task's end.
    :param stored: number of the last stored end of the known incarnation.
    :param confirmed: number of the last end whose acknowledgement was
        answered.
    :param renewal: end that a renewal in flight acknowledges, 0 for none.
    :param acknowledging: whether the leader waits for its answer.
    :param lost: whether an end was forgotten that nobody had processed.
    """

    incarnation: int = 0
    known_incarnation: int = 0
    sent: bool = False
    start_in_flight: bool = False
    runs: bool = False
    ended: bool = False
    reported: bool = False
    processed: bool = False
    stored: int = 1
    confirmed: int = 0
    renewal: int = 0
    acknowledging: bool = False
    lost: bool = False


Steps = list[tuple[str, tuple[typing.Any, ...]]]


class _AcknowledgementModel:

    def __init__(self, broken: str = '') -> None:
        self._broken = broken

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        for action in (
                self.start,
                self.deliver_start,
                self.end_run,
                self.restart,
                self.handle_report,
                self.begin_acknowledgement,
                self.deliver_renewal,
                self.time_out,
                self.expire_renewal,
        ):
            for changed in action(state):
                steps.append((action.__name__, changed))
        return steps

    def start(self, state: State) -> typing.Iterator[State]:
        blocked = state.acknowledging or state.renewal
        if not state.sent and (self._broken or not blocked):
            yield state._replace(sent=True, start_in_flight=True)

    def deliver_start(self, state: State) -> typing.Iterator[State]:
        if state.start_in_flight:
            yield state._replace(start_in_flight=False, runs=True)
            yield state._replace(start_in_flight=False)

    def end_run(self, state: State) -> typing.Iterator[State]:
        if state.runs:
            yield state._replace(runs=False, ended=True)

    def restart(self, state: State) -> typing.Iterator[State]:
        if state.incarnation < MAX_INCARNATION:
            yield state._replace(
                incarnation=state.incarnation + 1, runs=False, ended=False
            )

    def handle_report(self, state: State) -> typing.Iterator[State]:
        if state.incarnation != state.known_incarnation:
            state = state._replace(
                known_incarnation=state.incarnation,
                stored=0,
                confirmed=0,
                reported=False,
            )
        if state.ended:
            state = state._replace(processed=True, stored=_number(state))
        yield state._replace(
            reported=state.reported or state.runs or state.ended
        )

    def begin_acknowledgement(self, state: State) -> typing.Iterator[State]:
        unreported = state.sent and not (state.reported or state.processed)
        due = state.stored > state.confirmed and not (
            state.renewal or state.acknowledging
        )
        if due and (self._broken == 'carry-always' or not unreported):
            yield state._replace(renewal=state.stored, acknowledging=True)

    def deliver_renewal(self, state: State) -> typing.Iterator[State]:
        if not state.renewal:
            return
        number = state.renewal
        arrived = state._replace(renewal=0)
        if state.ended and _number(state) <= number:
            arrived = arrived._replace(
                ended=False, lost=state.lost or not state.processed
            )
        # Its answer is lost.
        yield arrived
        if not state.acknowledging:
            return
        yield from self.handle_report(
            arrived._replace(acknowledging=False, confirmed=number)
        )

    def time_out(self, state: State) -> typing.Iterator[State]:
        if state.acknowledging:
            yield state._replace(acknowledging=False)

    def expire_renewal(self, state: State) -> typing.Iterator[State]:
        if state.renewal and not state.acknowledging:
            yield state._replace(renewal=0)


def _number(state: State) -> int:
    """Return the number of the task's end in the worker's incarnation."""
    return 1 if state.incarnation else 2


def acknowledgement_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of the acknowledgement of ends.

    :param broken: the fault to inject: ``carry-always`` (renewals acknowledge
        ends whatever was started), ``start-beside`` (starts do not wait for
        the answer to an acknowledgement), or empty.
    """

    def acknowledged_ends_are_processed(
        state: dict[str, typing.Any],
    ) -> bool:
        return not state['lost']

    return minicheck.Protocol(
        name='acknowledgement of ends',
        candidate=bool(broken),
        fields=State._fields,
        initial=tuple(State()),
        transitions=_AcknowledgementModel(broken).transitions,
        invariants={
            'acknowledged_ends_are_processed': acknowledged_ends_are_processed,
        },
    )


__all__ = ('acknowledgement_model', )
