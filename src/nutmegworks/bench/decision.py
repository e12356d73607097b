"""Measures the computing time of nutmegd's gang scheduler per decision.

One scheduler handles clusters of several sizes. They are fractions of the size
expected in two years: 27,000 workers, 56,000 accelerators, 1,100 teams and
310,000 tasks. Accelerators are not shared, so the tasks are the running jobs
and the waiting ones together.
"""
from __future__ import annotations

import math
import random
import resource
import statistics
import time
import typing

import typer

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.model import work
from nutmegworks.policy import events
from nutmegworks.policy import gang_scheduler

WORKERS: typing.Final = 27_000
# 4,142 workers with 8 accelerators, 6 with 2 and 22,852 with 1 have 56,000.
WORKERS_OF_8: typing.Final = 4_142
WORKERS_OF_2: typing.Final = 6
TASKS: typing.Final = 310_000
TEAMS: typing.Final = 1_100
WORKERS_PER_RACK: typing.Final = 16
FRACTIONS: typing.Final = (0.01, 0.03, 0.1, 0.3, 1.0)
# Timed arrivals and finishes of each size.
SAMPLES: typing.Final = 200
DOMAIN: typing.Final = ids.DomainId('domain')
# Time that workers take to checkpoint and to stop, as in bench.simulation.
CHECKPOINT_SECONDS: typing.Final = 1.0
STOP_SECONDS: typing.Final = 0.3


def _worker_sizes(fraction: float) -> list[int]:
    large = round(WORKERS_OF_8 * fraction)
    small = round((WORKERS - WORKERS_OF_8 - WORKERS_OF_2) * fraction)
    middle = math.ceil(WORKERS_OF_2 * fraction)
    return [8] * large + [2] * middle + [1] * small


def _configuration(fraction: float) -> work.Configuration:
    """Guarantee about half of the workers with 8 accelerators to teams."""
    teams = max(4, round(TEAMS * fraction))
    team_ids = [ids.TeamId(f'team-{i}') for i in range(teams)]
    guaranteed_workers = round(WORKERS_OF_8 * fraction / 2)
    shapes_by_team: dict[ids.TeamId, list[shapes.Shape]] = {}
    for i in range(guaranteed_workers // 2):
        guaranteed = shapes_by_team.setdefault(team_ids[i % teams], [])
        guaranteed.append(shapes.Shape(2, 8))
    classes = [
        work.WorkClass(
            ids.ClassId(name),
            ids.ServiceId('bench'),
            target,
            0.0,
            True,
            True,
            frozenset(team_ids),
        ) for name, target in (('urgent', 30.0), ('batch', 36000.0))
    ]
    return work.Configuration(
        sequence=ids.ConfigSequence(1),
        class_by_id={item.class_id: item
                     for item in classes},
        team_by_id={
            team_id:
            work.Team(
                team_id,
                (),
                (
                    work.Guarantee(
                        DOMAIN,
                        tuple(shapes_by_team.get(team_id, ())),
                    ),
                ),
            )
            for team_id in team_ids
        },
    )


class Experiment:
    """A scheduler with a fraction of the workers, teams and tasks."""

    def __init__(self, fraction: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._scheduler = gang_scheduler.Scheduler(
            DOMAIN,
            random_source=self._rng,
        )
        self._now = 0.0
        self._next_job = 0
        self._configuration = _configuration(fraction)
        self._team_ids = list(self._configuration.team_by_id)
        # Urgent jobs of teams with a guarantee may reclaim it.
        self._guaranteed_team_ids = [
            team.team_id
            for team in self._configuration.team_by_id.values()
            if any(guarantee.shapes for guarantee in team.guarantees)
        ]
        self.attempt_by_id: dict[ids.JobId, int] = {}
        for i, size in enumerate(_worker_sizes(fraction)):
            self.send(
                events.WorkerUp(
                    worker_id=ids.WorkerId(f'worker-{i}'),
                    rack_id=ids.RackId(f'rack-{i // WORKERS_PER_RACK}'),
                    accelerators=size,
                )
            )
        changed = events.ConfigurationChanged(
            configuration=self._configuration
        )
        self.send(changed)
        # The gang is timed on the empty cluster; later it would only wait.
        self.gang_seconds = _timed(lambda: self.submit(shape='32x8@domain'))
        for _ in range(round(TASKS * fraction)):
            self.submit()
        self.send(events.Tick())

    @property
    def workers(self) -> int:
        return len(self._scheduler.cluster.worker_by_id)

    @property
    def accelerators(self) -> int:
        return self._scheduler.cluster.total.accelerators

    @property
    def teams(self) -> int:
        return len(self._team_ids)

    @property
    def tasks(self) -> int:
        return len(self._scheduler.job_by_id)

    def send(self, event: events.Event) -> list[events.Action]:
        actions = self._scheduler.handle(event, self._now)
        for action in actions:
            if isinstance(action, events.StartJob):
                self.attempt_by_id[action.job_id] = action.attempt
                started = events.JobStarted(
                    job_id=action.job_id,
                    attempt=action.attempt,
                )
                self._scheduler.handle(started, self._now)
            elif isinstance(action, events.ReleaseJob):
                self.attempt_by_id.pop(action.job_id, None)
        return actions

    def submit(
        self,
        class_id: str = 'batch',
        shape: str | None = None,
        team_id: ids.TeamId | None = None,
    ) -> tuple[ids.JobId, list[events.Action]]:
        self._next_job += 1
        self._now += 0.001
        job_id = ids.JobId(f'job-{self._next_job}')
        shape_texts = ('1x1', '1x1', '1x1', '1x1', '1x2', '1x4', '1x8', '4x8')
        shape_text = shape or self._rng.choice(shape_texts)
        arrived = events.JobArrived(
            job_id=job_id,
            spec=work.JobSpec(
                team_id or self._rng.choice(self._team_ids),
                ids.ClassId(class_id),
                shapes.Shape.parse(shape_text),
                36000.0,
            ),
            accepted_at=self._now,
        )
        return job_id, self.send(arrived)

    def time_finishes(self) -> list[float]:
        """Return seconds per finished job, including the starts it allows."""
        count = min(SAMPLES, len(self.attempt_by_id))
        sample = self._rng.sample(sorted(self.attempt_by_id), count)
        seconds: list[float] = []
        for job_id in sample:
            if job_id not in self.attempt_by_id:
                continue
            event = events.JobFinished(
                job_id=job_id,
                attempt=self.attempt_by_id[job_id],
            )
            self._now += 0.001
            seconds.append(_timed(lambda: self.send(event)))
        return seconds

    def time_arrivals(self) -> list[float]:
        """Return the seconds per arrival of a job that has to wait."""
        return [_timed(self.submit) for _ in range(SAMPLES)]

    def time_ticks(self) -> list[float]:
        seconds: list[float] = []
        for _ in range(20):
            self._now += 1.0
            seconds.append(_timed(lambda: self.send(events.Tick())))
        return seconds

    def time_configuration(self) -> float:
        """Return the seconds for a configuration that changes no guarantee."""
        changed = events.ConfigurationChanged(
            configuration=self._configuration
        )
        return _timed(lambda: self.send(changed))

    def time_urgent(self) -> tuple[list[float], list[float]]:
        """Return decision times and start delays of urgent jobs in seconds.

        A delay is the simulated time that workers take to checkpoint and stop
        the victims, plus the scheduler's computing time. A job has no delay
        if it does not start: when its team uses its whole guarantee itself,
        there may be no borrower to preempt.
        """
        decisions: list[float] = []
        delays: list[float] = []
        for i in range(SAMPLES // 4):
            team_id = self._rng.choice(self._guaranteed_team_ids)
            shape = ('1x1', '1x8')[i % 2]
            simulated_start = self._now
            started = time.perf_counter()
            job_id, actions = self.submit('urgent', shape, team_id)
            decisions.append(time.perf_counter() - started)
            self._complete_preemptions(actions, job_id)
            if job_id in self.attempt_by_id:
                computing = time.perf_counter() - started
                delays.append(self._now - simulated_start + computing)
        return decisions, delays

    def _complete_preemptions(
        self,
        actions: list[events.Action],
        job_id: ids.JobId,
    ) -> None:
        """Checkpoint and stop the victims of a job."""
        # Without victims, the job has already started and no time passes.
        for action in actions:
            if isinstance(action, events.CheckpointJob):
                self._now += CHECKPOINT_SECONDS
                break
        stops: list[events.Action] = []
        for action in actions:
            if isinstance(action, events.CheckpointJob):
                checkpointed = events.JobCheckpointed(
                    job_id=action.job_id,
                    attempt=action.attempt,
                )
                stops += self.send(checkpointed)
        stops += [a for a in actions if isinstance(a, events.StopJob)]
        if stops:
            self._now += STOP_SECONDS
        for action in stops:
            stopped = events.JobStopped(
                job_id=action.job_id,
                attempt=action.attempt,
            )
            self.send(stopped)


def _timed(call: typing.Callable[[], typing.Any]) -> float:
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def _quantile(values: typing.Sequence[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def slope(sizes: typing.Sequence[float], seconds: typing.Sequence[float]):
    """Return the exponent b of the least-squares fit seconds = a * size^b."""
    logs = [math.log(size) for size in sizes]
    fit = statistics.linear_regression(logs, [math.log(s) for s in seconds])
    return fit.slope


def main(seed: int = 1, largest: float = 1.0) -> None:
    """Print a table of decision times and their growth with the size."""
    columns = (
        'workers',
        'accelerators',
        'teams',
        'tasks',
        'arrival p50 / p99 ms',
        'finish p50 / p99 ms',
        'tick p50 ms',
        'urgent decision p99 ms',
        'urgent start max s (started)',
        '32x8 gang ms',
        'configuration ms',
        'fill s',
        'RSS MB',
    )
    print('| ' + ' | '.join(columns) + ' |')
    print('|' + ' --- |' * len(columns))
    medians: dict[str, list[float]] = {'arrival': [], 'finish': []}
    sizes: list[float] = []
    for fraction in FRACTIONS:
        if fraction > largest:
            break
        started = time.perf_counter()
        experiment = Experiment(fraction, seed)
        fill = time.perf_counter() - started
        tasks = experiment.tasks
        arrivals = experiment.time_arrivals()
        finishes = experiment.time_finishes()
        ticks = experiment.time_ticks()
        decisions, delays = experiment.time_urgent()
        configuration = experiment.time_configuration()
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        sizes.append(experiment.workers)
        medians['arrival'].append(_quantile(arrivals, 0.5))
        medians['finish'].append(_quantile(finishes, 0.5))
        print(
            f'| {experiment.workers} | {experiment.accelerators} '
            f'| {experiment.teams} | {tasks} '
            f'| {_ms(arrivals, 0.5)} / {_ms(arrivals, 0.99)} '
            f'| {_ms(finishes, 0.5)} / {_ms(finishes, 0.99)} '
            f'| {_ms(ticks, 0.5)} | {_ms(decisions, 0.99)} '
            f'| {max(delays):.2f} ({len(delays)} of {len(decisions)}) '
            f'| {1000 * experiment.gang_seconds:.1f} '
            f'| {1000 * configuration:.1f} '
            f'| {fill:.0f} | {memory:.0f} |',
            flush=True,
        )
    for name, values in medians.items():
        exponent = slope(sizes, values)
        print(f'{name}: cost grows with workers to the power {exponent:.2f}')


def _ms(seconds: typing.Sequence[float], share: float) -> str:
    return f'{1000 * _quantile(seconds, share):.2f}'


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Experiment', 'main', 'slope')
