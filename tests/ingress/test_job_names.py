"""Paths of calls that name no job."""
from __future__ import annotations

import pytest

from tests.ingress import builders

ODD_NAMES = (
    f'{builders.JOB}/cancel',
    f'{builders.JOB}/',
    f'{builders.JOB}x',
    'a/b',
    '..',
    '%00',
    'a' * 15,
    'a' * 17,
    'g' * 16,
    'a' * 300,
)


@pytest.mark.parametrize('name', ODD_NAMES)
def test_a_name_that_is_no_id_is_no_job(name: str) -> None:
    """Guards against a submission that is stored as a cancel of another job.

    The key of a cancel is the key of its job with a suffix.
    """

    async def case(ingress: builders.Ingress) -> None:
        await ingress.submit()
        stored = set(ingress.store.item_by_key)
        path = f'/plans/{name}'
        created = await ingress.call('POST', path, body=builders.BODY)
        assert created.status == 400
        assert (await ingress.call('GET', path)).status == 410
        assert (await ingress.call('DELETE', path)).status == 410
        assert set(ingress.store.item_by_key) == stored

    builders.run(case)


def test_an_id_may_have_capital_digits() -> None:

    async def case(ingress: builders.Ingress) -> None:
        path = '/plans/5C0E7A21D94B36F8'
        created = await ingress.call('POST', path, body=builders.BODY)
        assert created.status == 200

    builders.run(case)
