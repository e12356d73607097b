from __future__ import annotations

import curio
import msgspec

from nutmegworks.configuration import change
from nutmegworks.configuration import holder
from nutmegworks.entry import operators
from nutmegworks.net import message
from tests.configuration import memorystore
from tests.configuration import test_repository


def _proposal(item: change.Change) -> message.Request:
    body = msgspec.json.encode(operators.ChangeRequest(0, item))
    return message.Request('POST', '/v1/config/changes', {}, body)


def test_accepting_daemon_adopts_what_it_missed() -> None:
    """A change after one that the daemon lacks must not wait for readers."""

    async def main() -> None:
        backend = memorystore.MemoryStore()
        other = test_repository.make(backend, seed=2)
        assert (await other.accept(test_repository.put_team('a'),
                                   base=0)).is_ok()
        holding = holder.Holder()
        endpoint = operators.ConfigurationEndpoint(
            test_repository.make(backend), holding.take_changes
        )
        proposal = _proposal(test_repository.put_team('b'))
        assert (await endpoint.change(proposal, {})).status == 200
        assert holding.sequence == 2

    curio.run(main)
