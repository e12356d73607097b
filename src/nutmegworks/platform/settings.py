"""Decodes the settings file that the platform gives each process."""
from __future__ import annotations

import dataclasses
import typing

import msgspec

from nutmegworks.model import ids

# Names the file; given by the platform.
PATH_VARIABLE: typing.Final = 'NUTMEGWORKS_BOOT'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the platform's service level, in seconds."""

    max_lease: float
    stop: float
    gang: float
    grace: float
    status: float
    early: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process knows at its start.

    :param callers: address for clients' calls.
    :param ready: address of the balancer's readiness check.
    :param peers: address for other daemons' calls.
    :param store: address of the platform's store.
    :param min_lease: seconds of the store's shortest lease.
    :param cores: what the host has for this process.
    """

    member_id: ids.MemberId
    domain_id: ids.DomainId
    callers: tuple[str, int]
    ready: tuple[str, int]
    peers: tuple[str, int]
    store: tuple[str, int]
    min_lease: float
    cores: float
    bounds: Bounds


class _Bounds(msgspec.Struct, rename='camel'):
    max_hold_ms: float = 10000
    stop_timeout_ms: float = 400
    gang_timeout_ms: float = 3000
    grace_s: float = 6
    status_s: float = msgspec.field(default=120, name='status_s')
    early_ms: float = msgspec.field(default=250, name='early_ms')


class _Limits(msgspec.Struct, rename='camel'):
    # Share of the host's processor, which is this many times as fast as one
    # core.
    cpu_share: float = 1.0
    cores: float = 1.0


class _BindAddresses(msgspec.Struct):
    front: str
    ready: str


class _Store(msgspec.Struct, rename='camel'):
    address: str
    min_ttl_ms: float = 1000


class _File(msgspec.Struct, rename='camel'):
    node_name: str
    ip: str
    zone: str
    bind_addrs: _BindAddresses
    internal_ports: tuple[int, int]
    platform: _Store
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port.

    :raise ValueError: not of the form host:port.
    """
    host, colon, port = text.rpartition(':')
    if not colon:
        raise ValueError(f'{text!r} is not host:port')
    return host, int(port)


def decode(data: bytes) -> NodeSettings:
    """Return the settings in a file.

    :raise ValueError: a field is missing or of another type.
    """
    file = msgspec.json.decode(data, type=_File)
    bounds = file.bounds
    return NodeSettings(
        member_id=ids.MemberId(file.node_name),
        domain_id=ids.DomainId(file.zone),
        callers=parse_address(file.bind_addrs.front),
        ready=parse_address(file.bind_addrs.ready),
        peers=(file.ip, file.internal_ports[0]),
        store=parse_address(file.platform.address),
        min_lease=file.platform.min_ttl_ms / 1000,
        cores=file.limits.cpu_share * file.limits.cores,
        bounds=Bounds(
            max_lease=bounds.max_hold_ms / 1000,
            stop=bounds.stop_timeout_ms / 1000,
            gang=bounds.gang_timeout_ms / 1000,
            grace=bounds.grace_s,
            status=bounds.status_s,
            early=bounds.early_ms / 1000,
        ),
    )


__all__ = (
    'Bounds',
    'NodeSettings',
    'PATH_VARIABLE',
    'decode',
    'parse_address',
)
