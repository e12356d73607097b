from __future__ import annotations

import pathlib
from xml.etree import ElementTree

import curio
import msgspec

from nutmegworks.bench import arrivals
from nutmegworks.bench import load
from nutmegworks.bench import report
from nutmegworks.net import client
from nutmegworks.net import message
from tests import helpers

SERVICE_SECONDS = 0.05


async def _handle(request: message.Request) -> message.Response:
    await curio.sleep(SERVICE_SECONDS)
    if request.target == '/v1/jobs':
        return message.json_response(202, {'job_id': 'j'})
    return message.json_response(200, {})


def _run(planned: list[arrivals.Arrival]) -> load.LoadGenerator:
    runs = []

    async def main() -> None:
        async with helpers.serving(_handle) as address:
            runs.append(_load(address, planned))
            await runs[0].run()

    helpers.run(main)
    return runs[0]


def _load(
    address: client.Address,
    planned: list[arrivals.Arrival],
) -> load.LoadGenerator:
    target = load.Target(address, 't', 's', 'c', 'o', 'j')
    return load.LoadGenerator(target, planned, seed=1)


def test_latency_counts_from_the_planned_arrival() -> None:
    """A late sender must not hide the time that a caller would wait."""
    late = arrivals.Arrival(-0.3, arrivals.Kind.REQUEST, 10)
    summary = _run([late]).series_by_kind[arrivals.Kind.REQUEST].summary()
    assert summary.outcomes == {'200': 1}
    assert summary.latency['p50'] >= 300 + 1000 * SERVICE_SECONDS
    assert summary.late >= 300


def test_slow_responses_do_not_delay_arrivals() -> None:
    """A closed loop would send fewer requests while the daemon is slow."""
    planned = [
        arrivals.Arrival(0.001 * number, arrivals.Kind.REQUEST, 10)
        for number in range(100)
    ]
    summary = _run(planned).series_by_kind[arrivals.Kind.REQUEST].summary()
    assert summary.latency['max'] < 20 * 1000 * SERVICE_SECONDS
    assert summary.late < 10 * 1000 * SERVICE_SECONDS


def test_plan_has_all_kinds_sizes_and_wrong_declarations() -> None:
    """A kind that is missing from the plan would look like a good result."""
    rates = {kind: 5.0 for kind in arrivals.Kind}
    workload = arrivals.Plan(rates, burst_rate=1.0, cancellation_rate=1.0)
    planned = arrivals.plan(workload, seconds=30.0, seed=4)
    assert {item.kind for item in planned} == set(arrivals.Kind)
    jobs = [item for item in planned if item.kind is arrivals.Kind.JOB]
    assert any(item.declared > 4 * item.actual for item in jobs)
    assert any(item.declared < item.actual / 4 for item in jobs)
    assert {item.size for item in jobs} & set(arrivals.LARGE_JOB_ACCELERATORS)


def test_results_are_written_as_json_and_svg(tmp_path: pathlib.Path) -> None:
    planned = [
        arrivals.Arrival(0.0, arrivals.Kind.JOB, 8, 1.0, 1.0),
        arrivals.Arrival(0.2, arrivals.Kind.CANCEL),
    ]
    report.write(tmp_path, _run(planned), {'seed': 1})
    kinds = msgspec.json.decode((tmp_path / 'load.json').read_bytes())['kinds']
    assert kinds['job']['outcomes'] == {'202': 1}
    plot = ElementTree.parse(tmp_path / 'load.svg').getroot()
    assert 'job' in [item.text for item in plot.iter()]
