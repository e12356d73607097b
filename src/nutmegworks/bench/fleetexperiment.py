r"""Compares values of task scheduling constants of the platform daemon.

It runs the simulation of nutmegworks.bench.fleetmodel with many seeds:

    python -m nutmegworks.bench.fleetexperiment --pattern standard --seeds 20
    python -m nutmegworks.bench.fleetexperiment --pattern standard --seeds 20 \
        --set task_planning.MAX_BACKFILL_RESERVATIONS=8

The patterns are a fleet of 24 workers with a surge of small jobs (standard)
and one of 176 workers with a surge of urgent gangs (grown). Failures of
workers are not simulated. Placement policies of nutmegd are compared by
nutmegworks.bench.policy.
"""
from __future__ import annotations

import concurrent.futures
import statistics
import typing

import typer

from nutmegworks.bench import fleetmodel
from nutmegworks.policy import task_planning
from nutmegworks.policy import task_preemption

# Accelerators of a task, drawn for each job; 8 is twice as likely as another.
ACCELERATORS: typing.Final = (1, 2, 4, 8, 8)
# As on the platform: a share of the workers takes 1.3 times as long, and run
# times of a step's tasks differ by up to UNEVENNESS.
SLOW_SHARE: typing.Final = 1 / 3
SLOW_FACTOR: typing.Final = 1.3
UNEVENNESS: typing.Final = 0.15

_MODULES: typing.Final = {
    'task_planning': task_planning,
    'task_preemption': task_preemption
}

Change = tuple[str, str, float]


def _classes(
    rates: tuple[float, float, float],
    widths: tuple[float, float, float],
) -> tuple[fleetmodel.JobClass, ...]:
    return (
        fleetmodel.JobClass(
            name='long',
            priority=1,
            rate=rates[0],
            width=widths[0],
            max_width=int(6 * widths[0]),
            work=6.8,
            max_work=11.0,
            cpu=52_000,
            memory=210_000,
            accelerators=ACCELERATORS,
            value=3.0,
            late_value=0.9,
            stretch=3.0,
            target=1.0,
            gang=1.0,
            one_rack=0.6,
            checkpoints=0.45,
            estimate_spread=0.3,
        ),
        fleetmodel.JobClass(
            name='urgent',
            priority=0,
            rate=rates[1],
            width=widths[1],
            max_width=int(6 * widths[1]),
            work=2.5,
            max_work=8.0,
            cpu=15_000,
            memory=61_000,
            accelerators=ACCELERATORS,
            value=4.0,
            late_value=0.8,
            stretch=1.5,
            target=0.25,
            gang=1.0,
            one_rack=0.8,
            work_spread=0.5,
            estimate_spread=0.7,
        ),
        fleetmodel.JobClass(
            name='small',
            priority=2,
            rate=rates[2],
            width=widths[2],
            max_width=int(6 * widths[2]),
            work=9.9,
            max_work=11.0,
            cpu=11_000,
            memory=33_000,
            accelerators=(1, ),
            value=1.0,
            late_value=0.3,
            stretch=3.0,
            target=3.0,
            checkpoints=0.45,
            estimate_spread=0.7,
        ),
    )


def patterns(factor: float = 1.0) -> dict[str, fleetmodel.Pattern]:
    """Return the patterns by name.

    :param factor: multiplies the arrival rates of all classes.
    """

    def pattern(
        workers: int,
        rates: tuple[float, float, float],
        widths: tuple[float, float, float],
        surges: typing.Mapping[str, tuple[float, float, float]],
    ) -> fleetmodel.Pattern:
        long, urgent, small = rates
        return fleetmodel.Pattern(
            workers=workers,
            rack_size=8,
            classes=_classes(
                (long * factor, urgent * factor, small * factor), widths
            ),
            slow_share=SLOW_SHARE,
            slow_factor=SLOW_FACTOR,
            unevenness=UNEVENNESS,
            surges=surges,
        )

    return {
        'standard':
        pattern(
            24, (0.39, 1.32, 0.31), (5.0, 3.4, 16.0),
            {'small': (2.6, 5.0, 9.0)}
        ),
        'grown':
        pattern(
            176, (1.29, 4.4, 1.02), (13.0, 5.4, 39.0),
            {'urgent': (1.9, 8.0, 14.0)}
        ),
    }


def parse_change(text: str) -> Change:
    """Return module, constant and value of ``module.CONSTANT=value``.

    :raise ValueError: the form is wrong or there is no such constant.
    """
    path, _, value = text.partition('=')
    module, _, name = path.partition('.')
    if module not in _MODULES or not hasattr(_MODULES[module], name):
        raise ValueError(f'{path!r} is not a constant of a policy module')
    return module, name, float(value)


def simulate(
    name: str,
    factor: float,
    seed: int,
    changes: typing.Sequence[Change] = (),
) -> fleetmodel.Outcome:
    """Run one simulation with some constants changed during it."""
    original_values = []
    for module, constant, value in changes:
        original_values.append(
            (module, constant, getattr(_MODULES[module], constant))
        )
        setattr(_MODULES[module], constant, value)
    try:
        return fleetmodel.FleetModel(patterns(factor)[name], seed).run()
    finally:
        for module, constant, value in original_values:
            setattr(_MODULES[module], constant, value)


def main(
    pattern: str = 'standard',
    seeds: int = 20,
    first_seed: int = 1,
    factor: float = 1.0,
    change: typing.Annotated[typing.Optional[list[str]],
                             typer.Option('--set')] = None,
    processes: int = 2,
) -> None:
    """Print the mean outcome of a pattern over seeds."""
    try:
        changes = [parse_change(text) for text in change or ()]
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    seed_range = range(first_seed, first_seed + seeds)
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        futures = [
            pool.submit(simulate, pattern, factor, seed, changes)
            for seed in seed_range
        ]
        outcomes = [future.result() for future in futures]
    shares = [outcome.value_share for outcome in outcomes]
    spread = statistics.stdev(shares) if seeds > 1 else 0.0
    print(
        f'{pattern}, {seeds} seeds: share {statistics.mean(shares):.3f} '
        f'(spread {spread:.3f}), wasted core-seconds '
        f'{statistics.mean(outcome.wasted for outcome in outcomes):.0f}'
    )
    for name in outcomes[0].value_share_by_class:
        mean = statistics.mean(
            outcome.value_share_by_class.get(name, 0.0) for outcome in outcomes
        )
        print(f'  {name}: {mean:.3f}')


if __name__ == '__main__':
    typer.run(main)

__all__ = ('main', 'parse_change', 'patterns', 'simulate')
