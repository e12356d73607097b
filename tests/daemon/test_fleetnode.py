"""Parts of the platform's daemon as they are wired."""
from __future__ import annotations

import msgspec
import pytest

from nutmegworks.daemon import fleetnode
from nutmegworks.fleet import configuration_holder
from nutmegworks.platform import settings
from tests.ingress import fleet
from tests.platform import test_wire


def test_configuration_ages_during_suspension(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 404 and 401 by a host that has just been resumed."""
    clock = fleet.Clock(monkeypatch)
    node = fleetnode.FleetNode(
        settings.decode(msgspec.json.encode(test_wire.settings_document()))
    )
    assert not node._configuration_holder.may_be_outdated()
    clock.skipped = configuration_holder.MAX_AGE_SECONDS + 0.1
    assert node._configuration_holder.may_be_outdated()
