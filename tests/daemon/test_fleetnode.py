"""Parts of the platform's daemon as they are wired."""
from __future__ import annotations

import dataclasses

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


def test_limits_of_the_configuration_are_in_force_at_once() -> None:
    """Guards against clients' limits that change only with a restart."""
    node = fleetnode.FleetNode(
        settings.decode(msgspec.json.encode(test_wire.settings_document()))
    )
    assert node._client_limits().max_body == 1024 * 1024
    for size in (1000, 2000):
        node._configuration_holder.value = dataclasses.replace(
            test_wire._configuration(), max_body_bytes=size, idle_timeout=7.0
        )
        limits = node._client_limits()
        assert (limits.max_body, limits.idle_timeout) == (size, 7.0)
        assert limits.max_connections == 1024
