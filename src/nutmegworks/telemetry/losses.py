"""Reads daemons' logs and says where ended jobs spent their time.

The input is the structured log of one or more daemons, a JSON object a line;
what precedes the object in a line, such as a host's name, is ignored.
"""
from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec

JOB_ENDED: typing.Final = 'job ended'
STARTING: typing.Final = 'starting tasks'
# Time of a late job beyond its objective that it did not spend waiting:
# its runs took longer than expected, or were repeated.
RUNNING: typing.Final = 'running'


class Line(msgspec.Struct):
    """The fields of a log line that are evaluated.

    :param waited: of an ended job: seconds by cause; of a start: seconds
        since the acceptance.
    """

    message: str
    time: str = ''
    job: str = ''
    queue: str = ''
    state: str = ''
    age: float = 0.0
    objective: float = 0.0
    starts: int = 0
    run: int = 0
    workers: list[str] = []
    prospect: str = ''
    waited: typing.Union[dict[str, float], float] = 0.0


class Job(msgspec.Struct):
    """An ended job.

    :param seconds_by_cause: what it waited for.
    :param history: its starts, one text each.
    """

    job: str
    queue: str
    state: str
    age: float
    objective: float
    starts: int
    seconds_by_cause: dict[str, float]
    history: list[str]

    @property
    def excess(self) -> float:
        """Seconds by which it missed its objective, 0 if it did not."""
        return max(0.0, self.age - self.objective)

    def main_cause(self) -> str:
        """Return what took most of the time beyond the objective."""
        waited = sum(self.seconds_by_cause.values())
        causes = {**self.seconds_by_cause, RUNNING: self.excess - waited}
        return max(causes, key=lambda cause: causes[cause])


class QueueLosses(msgspec.Struct):
    """The ended jobs of a queue.

    :param late: jobs that missed their objective.
    :param late_by_cause: their number by main cause.
    :param waited_by_cause: seconds that all jobs of the queue waited.
    """

    jobs: int = 0
    late: int = 0
    late_by_cause: dict[str, int] = {}
    waited_by_cause: dict[str, float] = {}


class Losses(msgspec.Struct):
    """What the logs say.

    :param worst: late jobs, those with the largest excess first.
    :param cut: lines that end within their object.
    :param foreign: lines that are no log lines of a daemon.
    """

    by_queue: dict[str, QueueLosses]
    worst: list[Job]
    cut: int
    foreign: int


@dataclasses.dataclass(slots=True)
class _Input:
    ended: dict[str, Line] = dataclasses.field(default_factory=dict)
    starts: dict[str, list[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    cut: int = 0
    foreign: int = 0


def _read(lines: typing.Iterable[str]) -> _Input:
    read = _Input()
    for text in lines:
        text = text.strip()
        if not text:
            continue
        begin = text.find('{')
        if begin < 0:
            read.foreign += 1
            continue
        try:
            line = msgspec.json.decode(text[begin:], type=Line)
        except msgspec.ValidationError:
            read.foreign += 1
            continue
        except msgspec.DecodeError:
            read.cut += 1
            continue
        if line.message == JOB_ENDED:
            read.ended[line.job] = line
        elif line.message == STARTING:
            read.starts[line.job].append(
                f'{line.time} run {line.run} on {len(set(line.workers))} '
                f'workers after {line.waited} s, {line.prospect}'
            )
    return read


def evaluate(lines: typing.Iterable[str], worst: int = 10) -> Losses:
    """Return what the lines of logs say about ended jobs.

    A job that several leaders ended counts once.

    :param worst: number of jobs to return with their histories.
    """
    read = _read(lines)
    by_queue: dict[str, QueueLosses] = {}
    late_jobs = []
    for line in read.ended.values():
        waited = line.waited if isinstance(line.waited, dict) else {}
        job = Job(
            line.job,
            line.queue,
            line.state,
            line.age,
            line.objective,
            line.starts,
            waited,
            read.starts.get(line.job, []),
        )
        queue = by_queue.setdefault(job.queue, QueueLosses())
        queue.jobs += 1
        _add(queue.waited_by_cause, waited)
        if job.excess:
            queue.late += 1
            _add(queue.late_by_cause, {job.main_cause(): 1})
            late_jobs.append(job)
    late_jobs.sort(key=lambda job: job.excess, reverse=True)
    return Losses(by_queue, late_jobs[:worst], read.cut, read.foreign)


_Number = typing.TypeVar('_Number', int, float)


def _add(
    totals: dict[str, _Number],
    more: typing.Mapping[str, _Number],
) -> None:
    for key, number in more.items():
        totals[key] = totals.get(key, 0) + number


__all__ = ('Job', 'Losses', 'QueueLosses', 'RUNNING', 'evaluate')
