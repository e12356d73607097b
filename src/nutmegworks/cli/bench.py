"""The command that puts load on a running daemon and measures it."""
from __future__ import annotations

import pathlib
import typing

import typer

from nutmegworks.cli import client
from nutmegworks.cli import session
from nutmegworks.settings import values


def bench(
    context: typer.Context,
    out: typing.Annotated[pathlib.Path,
                          typer.Option(help='Directory of the results.')],
    service: typing.Annotated[str, typer.Option(help='Service to call.')],
    class_name: typing.Annotated[
        str, typer.Option('--class', help='Idempotent class.')] = '',
    once_class: typing.Annotated[
        str, typer.Option(help='Non-idempotent class.')] = '',
    job_class: typing.Annotated[str, typer.Option(help='Class of jobs.')] = '',
    upstream: typing.Annotated[
        str,
        typer.Option(help='Upstream to call directly too, ip:port.')] = '',
    rate: typing.Annotated[
        float, typer.Option(help='Arrivals per second of each kind.')] = 20.0,
    job_rate: typing.Annotated[float,
                               typer.Option(help='Jobs per second.')] = 1.0,
    bursts: typing.Annotated[float,
                             typer.Option(help='Bursts per second.')] = 0.2,
    waves: typing.Annotated[
        float, typer.Option(help='Cancellation waves per second.')] = 0.1,
    seconds: typing.Annotated[float, typer.Option()] = 10.0,
    seed: typing.Annotated[int, typer.Option()] = 1,
) -> None:
    """Load a daemon with planned arrivals and measure the answers."""
    # Imported here, as only this command needs the bench and histograms.
    import curio

    from nutmegworks.bench import arrivals
    from nutmegworks.bench import load
    from nutmegworks.bench import report

    daemon = session.from_context(context).daemon
    try:
        direct_address = values.parse_address(upstream) if upstream else None
    except ValueError as error:
        client.fail(client.ExitCode.USAGE, str(error))
    rates = {
        arrivals.Kind.REQUEST: rate if class_name else 0.0,
        arrivals.Kind.NON_IDEMPOTENT: rate if once_class else 0.0,
        arrivals.Kind.DIRECT: rate if direct_address else 0.0,
        arrivals.Kind.JOB: job_rate if job_class else 0.0,
    }
    planned = arrivals.plan(
        arrivals.Plan(rates, bursts, waves if job_class else 0.0),
        seconds=seconds,
        seed=seed,
    )
    target = load.Target(
        daemon.address, daemon.token, service, class_name, once_class,
        job_class, direct_address
    )
    generator = load.LoadGenerator(target, planned, seed=seed)
    curio.run(generator.run)
    parameters = {
        'rate': rate,
        'job_rate': job_rate,
        'bursts': bursts,
        'waves': waves,
        'seconds': seconds,
        'seed': seed,
    }
    report.write(out, generator, parameters)
    for kind, series in generator.series_by_kind.items():
        summary = series.summary()
        latency = ', '.join(
            f'{name} {value:.2f}' for name, value in summary.latency.items()
        )
        typer.echo(f'{kind.value}: {summary.outcomes}; ms: {latency}')


__all__ = ('bench', )
