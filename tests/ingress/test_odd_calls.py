"""Calls with bodies and names as no correct client sends them."""
from __future__ import annotations

import msgspec
import pytest

from nutmegworks.daemon import fleetnode
from nutmegworks.net import message
from nutmegworks.platform import settings
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from tests import helpers
from tests.ingress import builders
from tests import odd_documents
from tests.platform import test_odd_submissions
from tests.platform import test_wire


@pytest.mark.parametrize('name', test_odd_submissions.ODD_BODIES)
def test_an_odd_submission_is_answered_400(name: str) -> None:
    """Guards against a broken connection, after which the client repeats.

    Nothing may be stored of it.
    """

    async def case(ingress: builders.Ingress) -> None:
        response = await ingress.call(
            'POST', body=test_odd_submissions.ODD_BODIES[name]
        )
        assert response.status == 400
        assert len(response.body) < 500
        assert not ingress.store.item_by_key

    builders.run(case)


@pytest.mark.parametrize(
    'data', [b'\xff', b'{"state":"melted"}',
             odd_documents.nested({})]
)
def test_an_odd_stored_state_is_answered_503(data: bytes) -> None:
    """Guards against a broken connection, and a state without evidence."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.store.put(records.progress_key(builders.JOB), data)
        response = await ingress.call('GET')
        assert response.status == 503

    builders.run(case)


@pytest.mark.parametrize(
    'text',
    ['', 'x', '-1', '1.5', '\u00b2', '\u00b9\u00b2', '9' * 400, '9' * 5000],
)
def test_an_odd_deadline_is_none(text: str) -> None:
    """Guards against a broken connection because of one header."""
    node = fleetnode.FleetNode(
        settings.decode(msgspec.json.encode(test_wire.settings_document()))
    )

    async def main() -> None:
        request = message.Request('GET', '/', {wire.DEADLINE_HEADER: text})
        response = await node._handle_client(request)
        assert b'no configuration yet' in response.body

    helpers.run(main)
