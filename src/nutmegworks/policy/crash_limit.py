"""Decides when a task is given up because workers crash under it.

Used by the platform daemon (nutmegworks.daemon.fleet).

A run that is lost with its worker has no end that tells whose fault it was. A
worker that ends before its first report of a run most likely crashed at the
start of the run. One that ends later, or only falls silent, may have other
reasons, so such losses count less.
"""
from __future__ import annotations

import dataclasses
import enum
import typing

# Workers that may crash at the start of a task's runs.
MAX_CRASHES_AT_START: typing.Final = 3
# Runs of a task that may be lost for any reason. The platform allows two
# further starts after three workers have crashed under a task.
MAX_LOSSES: typing.Final = 5
# A task without an end, whose run has lasted for this time, did not crash its
# worker. Its count begins anew, or it would be given up after some months.
ENDLESS_STABLE_SECONDS: typing.Final = 60.0


class Loss(enum.Enum):
    """What is known of a run that was lost with its worker.

    CRASH_AT_START: the worker had confirmed the start and ended before it
        reported the run.
    CRASH_AT_WORK: the worker ended after it had reported the run.
    UNEXPLAINED: it is not known that the run had started, or that the worker
        ended.
    """

    CRASH_AT_START = 'crash-at-start'
    CRASH_AT_WORK = 'crash-at-work'
    UNEXPLAINED = 'unexplained'


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost with its worker.

    :param sent: the start request may have reached the worker.
    :param started: the worker had confirmed the start.
    :param reported: a report of the worker had listed the run.
    :param worker_ended: the worker's incarnation is known to have ended.
    :param worker_leaving: the worker had announced that it leaves.
    :param worker_answers: a report that should list the run does not.
    """

    sent: bool
    started: bool
    reported: bool
    worker_ended: bool
    worker_leaving: bool
    worker_answers: bool


def classify(run: LostRun) -> Loss | None:
    """Return what a lost run says of its task, None if nothing."""
    alive = run.worker_answers and not run.worker_ended
    if not run.sent or run.worker_leaving or alive:
        return None
    if not (run.started and run.worker_ended):
        return Loss.UNEXPLAINED
    return Loss.CRASH_AT_WORK if run.reported else Loss.CRASH_AT_START


def counts_for_lasting(loss: Loss, same_worker: bool) -> bool:
    """Return whether a loss counts against a task that lasts.

    Such a task is restarted however it ends, so only crashes of different
    workers tell that it is the cause: a worker that goes down and up by turns
    would end it otherwise.

    :param same_worker: a crash of the worker has counted before.
    """
    return loss is not Loss.UNEXPLAINED and not same_worker


def is_exhausted(crashes_at_start: int, losses: int) -> bool:
    """Return whether a task must not be started again.

    :param crashes_at_start: workers that crashed at the start of its runs.
    :param losses: all lost runs, these included.
    """
    return (crashes_at_start >= MAX_CRASHES_AT_START or losses >= MAX_LOSSES)


__all__ = (
    'ENDLESS_STABLE_SECONDS',
    'Loss',
    'LostRun',
    'MAX_CRASHES_AT_START',
    'MAX_LOSSES',
    'classify',
    'counts_for_lasting',
    'is_exhausted',
)
