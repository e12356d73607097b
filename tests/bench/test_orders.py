"""The measurement of orders to one worker."""
from __future__ import annotations

from nutmegworks.bench import orders
from nutmegworks.fleet import worker_connections
from tests import helpers


def test_all_stops_arrive_over_few_connections() -> None:
    """Guards against a figure of orders that were not sent."""
    rows = []

    async def main() -> None:
        rows.append(await orders.measure(200, 0.002))

    helpers.run(main)
    [row] = rows
    assert row.stops == 200
    assert row.resets == 0
    assert row.connections <= worker_connections.ORDERS_PER_WORKER
    # Each connection carries one request in a round trip.
    assert row.seconds > 200 / worker_connections.ORDERS_PER_WORKER * 0.002
