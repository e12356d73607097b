from __future__ import annotations

import curio
import msgspec

from nutmegworks.configuration import change
from nutmegworks.configuration import holder
from nutmegworks.entry import operators
from nutmegworks.net import message
from tests.configuration import memorystore
from tests.configuration import test_repository


def _change_request(item: change.Change) -> message.Request:
    body = msgspec.json.encode(operators.ChangeRequest(0, item))
    return message.Request('POST', '/v1/config/changes', {}, body)


def test_accepting_daemon_applies_earlier_changes_too() -> None:
    """Guards against an accepted change that is not applied at once.

    The daemon that accepts it may lack an earlier change.
    """

    async def main() -> None:
        backend = memorystore.MemoryStore()
        other = test_repository.make(backend, seed=2)
        assert (await other.accept(test_repository.put_team('a'),
                                   base=0)).is_ok()
        configuration_holder = holder.Holder()
        endpoint = operators.ConfigurationEndpoint(
            test_repository.make(backend), configuration_holder.adopt_changes
        )
        request = _change_request(test_repository.put_team('b'))
        assert (await endpoint.change(request, {})).status == 200
        assert configuration_holder.sequence == 2

    curio.run(main)
