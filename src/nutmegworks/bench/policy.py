"""Compares gang placement policies of nutmegd on equal job streams."""
from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import functools
import random
import statistics
import typing

from hdrh import histogram
import typer

from nutmegworks.bench import simulation
from nutmegworks.bench import streams
from nutmegworks.model import ids
from nutmegworks.policy import bitmask
from nutmegworks.policy import gang_placement
from nutmegworks.policy import gang_scheduler

# 'chosen' is the policy that nutmegd uses.
POLICY_NAMES: typing.Final = ('random', 'first-fit', 'best-fit', 'chosen')
SEEDS: typing.Final = tuple(range(1, 13))
# Seeds that were not used while the policy was developed.
HELD_OUT_SEEDS: typing.Final = (1003, 1004)
# The smallest large job of both deployments takes two whole workers of a rack.
LARGE_JOB_WORKERS: typing.Final = 2
# A simulation ends when every job has ended, at the latest at this time.
END_SECONDS: typing.Final = 6 * streams.STREAM_SECONDS


def _new_policy(name: str, seed: int) -> gang_placement.PlacementPolicy:
    if name == 'random':
        return gang_placement.RandomPlacement(random.Random(seed))
    return {
        'first-fit': gang_placement.FirstFit,
        'best-fit': gang_placement.BestFit,
        'chosen': gang_placement.LeastFragmentation,
    }[name]()


class Fragmentation(simulation.Observer):
    """Measures idle accelerators that a large job cannot use.

    The idle accelerators suffice for a number of large jobs, of which only
    those fit that find enough idle workers. The accelerators for the other
    jobs are scattered. Both times are in accelerator-seconds.
    """

    def __init__(self) -> None:
        self.idle_time = 0.0
        self.scattered_time = 0.0

    def before_event(self, sim: simulation.Simulation, elapsed: float) -> None:
        if sim.now >= streams.STREAM_SECONDS:
            return
        idle_accelerators = idle_workers = 0
        for worker in sim.scheduler.cluster.worker_by_id.values():
            mask = worker.available & ~worker.busy
            idle_accelerators += mask.bit_count()
            idle_workers += mask == bitmask.full_mask(worker.accelerators)
        size = LARGE_JOB_WORKERS * streams.ACCELERATORS_PER_WORKER
        unplaceable_jobs = (
            idle_accelerators // size - idle_workers // LARGE_JOB_WORKERS
        )
        self.idle_time += idle_accelerators * elapsed
        self.scattered_time += unplaceable_jobs * size * elapsed


@dataclasses.dataclass(slots=True)
class Result:
    """The result of one seed of one deployment with one policy.

    :ivar seconds_by_class: completion times; None for a job that should
        have finished and did not.
    :ivar idle_time: accelerator-seconds, as is ``scattered_time``.
    """

    seconds_by_class: dict[str, list[float | None]]
    idle_time: float = 0.0
    scattered_time: float = 0.0
    restarts: int = 0

    def quantile(self, class_id: str, percentile: float) -> float:
        """Return a percentile in seconds, with three digits.

        Jobs that did not finish count with END_SECONDS.
        """
        recorded = histogram.HdrHistogram(1, 10**9, 3)
        for seconds in self.seconds_by_class[class_id]:
            recorded.record_value(int((seconds or END_SECONDS) * 1000))
        return recorded.get_value_at_percentile(percentile) / 1000

    def share_within(self, class_id: str, target: float) -> float:
        times = self.seconds_by_class[class_id]
        within = sum(t is not None and t <= target for t in times)
        return within / len(times)

    @property
    def fragmentation(self) -> float:
        return self.scattered_time / self.idle_time


def _run_domain(
    deployment: streams.Deployment,
    domain: str,
    policy_name: str,
    seed: int,
    result: Result,
) -> None:
    stream = streams.stream(deployment, domain, seed)
    observer = Fragmentation()
    scheduler = gang_scheduler.Scheduler(
        ids.DomainId(domain),
        random_source=random.Random(seed),
        policy=_new_policy(policy_name, seed),
    )
    sim = simulation.Simulation(scheduler, observer=observer)
    for worker in stream.workers:
        sim.send(worker)
    sim.configure(stream.configuration)
    for job in stream.jobs:
        sim.add_job(job)
    for when, event in stream.faults:
        sim.send(event, when)
    sim.run_until(END_SECONDS, until_idle=True)
    for job in stream.jobs:
        reason = sim.ended.get(job.job_id)
        if job.fails or reason in ('cancelled', 'may-have-run'):
            continue
        finished_at = sim.finished_at.get(job.job_id)
        seconds = None if finished_at is None else finished_at - job.arrive_at
        result.seconds_by_class[job.spec.class_id].append(seconds)
    result.idle_time += observer.idle_time
    result.scattered_time += observer.scattered_time
    result.restarts += sim.restarts


def run(task: tuple[int, str, int]) -> Result:
    """Simulate all domains of a deployment.

    :param task: number of the deployment, name of the policy and seed.
    """
    number, policy_name, seed = task
    deployment = streams.DEPLOYMENTS[number]
    result = Result(collections.defaultdict(list))
    for domain in deployment.domains:
        _run_domain(deployment, domain, policy_name, seed, result)
    result.seconds_by_class = dict(result.seconds_by_class)
    return result


def _mean_and_range(values: typing.Sequence[float], digits: int) -> str:
    mean = statistics.fmean(values)
    low, high = min(values), max(values)
    return f'{mean:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})'


def _completion_rows(
    deployment: streams.Deployment,
    results: typing.Mapping[str, list[Result]],
) -> typing.Iterator[str]:
    for kind in deployment.kinds:
        for policy_name, by_seed in results.items():
            p50 = [r.quantile(kind.class_id, 50.0) for r in by_seed]
            p99 = [r.quantile(kind.class_id, 99.0) for r in by_seed]
            within = [
                100 * r.share_within(kind.class_id, kind.target)
                for r in by_seed
            ]
            yield (
                f'| {kind.class_id} ({kind.target:.0f} s) | {policy_name} '
                f'| {_mean_and_range(p50, 0)} | {_mean_and_range(p99, 0)} '
                f'| {_mean_and_range(within, 1)} |'
            )


def _fragmentation_rows(
    results: typing.Mapping[str, list[Result]],
) -> typing.Iterator[str]:
    best_fit = [r.fragmentation for r in results['best-fit']]
    for policy_name, by_seed in results.items():
        shares = [r.fragmentation for r in by_seed]
        lower = sum(a < b for a, b in zip(shares, best_fit))
        restarts = [float(r.restarts) for r in by_seed]
        percent = [100 * share for share in shares]
        yield (
            f'| {policy_name} | {_mean_and_range(percent, 1)} '
            f'| {lower} of {len(shares)} | {_mean_and_range(restarts, 0)} |'
        )


def report(
    number: int,
    seeds: typing.Sequence[int],
    map_tasks: typing.Callable[..., typing.Iterable[Result]],
) -> typing.Iterator[str]:
    """Yield the lines of two tables for one deployment.

    :param number: index of the deployment.
    :param map_tasks: works as ``map``.
    """
    deployment = streams.DEPLOYMENTS[number]
    tasks = [(number, name, seed) for name in POLICY_NAMES for seed in seeds]
    all_results = list(map_tasks(run, tasks))
    results = {
        name: all_results[i * len(seeds):(i + 1) * len(seeds)]
        for i, name in enumerate(POLICY_NAMES)
    }
    yield f'{deployment.name}, seeds {seeds[0]} to {seeds[-1]}'
    yield ''
    yield '| class (target) | policy | p50 s | p99 s | % within target |'
    yield '| --- | --- | --- | --- | --- |'
    yield from _completion_rows(deployment, results)
    yield ''
    yield '| policy | % scattered | below best-fit | restarts |'
    yield '| --- | --- | --- | --- |'
    yield from _fragmentation_rows(results)
    yield ''


def main(
    seeds: int = len(SEEDS),
    processes: int = 2,
    held_out: bool = False,
) -> None:
    """Print tables for both deployments: mean (lowest-highest) of seeds."""
    selected_seeds = HELD_OUT_SEEDS if held_out else SEEDS[:seeds]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        map_tasks = functools.partial(pool.map, chunksize=1)
        for number in range(len(streams.DEPLOYMENTS)):
            for line in report(number, selected_seeds, map_tasks):
                print(line, flush=True)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Fragmentation', 'Result', 'main', 'report', 'run')
