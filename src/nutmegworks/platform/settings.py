"""Decodes the settings file that the platform gives each process."""
from __future__ import annotations

import dataclasses
import typing

import logbook
import msgspec

from nutmegworks.fleet import transport
from nutmegworks.model import documents
from nutmegworks.model import ids

_LOG: typing.Final = logbook.Logger('settings')

# Environment variable, set by the platform, with the path of the file.
PATH_VARIABLE: typing.Final = 'NUTMEGWORKS_BOOT'
# Those of the smallest machines of the platform's sites.
DEFAULT_MEMORY_MB: typing.Final = 200
DEFAULT_MAX_DESCRIPTORS: typing.Final = 4100
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS: typing.Final = 200
MIN_SOCKETS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits set by the platform, in seconds.

    :param max_lease: longest lease that a worker accepts.
    :param stop_timeout: time in which a worker stops a run.
    :param gang_timeout: time for which members of a gang wait for each other.
    :param grace: time from a stop signal to the exit of the process.
    :param status_retention: time for which the state of an ended job is kept.
    :param reclaim: time in which work that a guarantee covers starts.
    """

    max_lease: float
    stop_timeout: float
    gang_timeout: float
    grace: float
    status_retention: float
    early: float
    reclaim: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one daemon process.

    :param client_address: address to listen on for clients' calls.
    :param readiness_address: address to listen on for the load balancer's
        readiness check.
    :param peer_address: address to listen on for other daemons' calls.
    :param store_address: address of the platform's store.
    :param min_lease: shortest lease of the store, in seconds.
    :param max_value: bytes of the largest value that the store keeps.
    :param cores: processor cores available to this process.
    :param link: megabits a second of the host's network link, 0 if unknown.
    :param memory: bytes that the process may use.
    :param max_sockets: sockets that the process may open.
    """

    member_id: ids.MemberId
    domain_id: ids.DomainId
    client_address: tuple[str, int]
    readiness_address: tuple[str, int]
    peer_address: tuple[str, int]
    store_address: tuple[str, int]
    min_lease: float
    max_value: int
    cores: float
    link: float
    memory: int
    max_sockets: int
    bounds: Bounds


class _Bounds(msgspec.Struct, rename='camel'):
    max_hold_ms: float = 10000
    stop_timeout_ms: float = 400
    gang_timeout_ms: float = 3000
    grace_s: float = 6
    status_s: float = msgspec.field(default=120, name='status_s')
    early_ms: float = msgspec.field(default=250, name='early_ms')
    reclaim_ms: float = 2900


class _Limits(msgspec.Struct, rename='camel'):
    # Share of the processor of a host that is ``cores`` times as fast as one
    # core.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: float = DEFAULT_MAX_DESCRIPTORS


class _BindAddresses(msgspec.Struct):
    front: str
    ready: str


class _Store(msgspec.Struct, rename='camel'):
    address: str
    min_ttl_ms: float = 1000
    value_bytes: int = transport.DEFAULT_MAX_VALUE_BYTES


class _File(msgspec.Struct, rename='camel'):
    node_name: str
    ip: str
    zone: str
    bind_addrs: _BindAddresses
    internal_ports: tuple[documents.Port, int]
    platform: _Store
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


DEFAULT_BOUNDS: typing.Final = _Bounds()


def _bound(bounds: _Bounds, field: str, key: str) -> float:
    """Return a bound in seconds, the default if it is not above zero.

    A daemon that does not start serves nobody.
    """
    value = getattr(bounds, field)
    if value > 0:
        return value / 1000
    default = getattr(DEFAULT_BOUNDS, field)
    _LOG.warning(
        'bound in the settings is not above zero',
        key=f'bounds.{key}',
        value=value,
        used=default,
    )
    return default / 1000


def _positive(key: str, value: float, default: float) -> float:
    """Return a limit of the machine, the default if it is not above zero."""
    if value > 0:
        return value
    _LOG.warning(
        'limit in the settings is not above zero',
        key=f'limits.{key}',
        value=value,
        used=default,
    )
    return default


def decode(data: bytes) -> NodeSettings:
    """Return the settings in a file.

    :raise ValueError: a field is missing, of another type or out of range.
    """
    file = documents.decode(data, _File)
    bounds = file.bounds
    return NodeSettings(
        member_id=ids.MemberId(file.node_name),
        domain_id=ids.DomainId(file.zone),
        client_address=documents.parse_address(file.bind_addrs.front),
        readiness_address=documents.parse_address(file.bind_addrs.ready),
        peer_address=(file.ip, file.internal_ports[0]),
        store_address=documents.parse_address(file.platform.address),
        min_lease=file.platform.min_ttl_ms / 1000,
        max_value=file.platform.value_bytes,
        cores=file.limits.cpu_share * file.limits.cores,
        link=file.limits.link_mbps,
        memory=int(
            1_000_000 *
            _positive('memoryMb', file.limits.memory_mb, DEFAULT_MEMORY_MB)
        ),
        max_sockets=max(
            MIN_SOCKETS,
            int(
                _positive(
                    'maxFds', file.limits.max_fds, DEFAULT_MAX_DESCRIPTORS
                )
            ) - FILE_DESCRIPTORS,
        ),
        bounds=Bounds(
            max_lease=bounds.max_hold_ms / 1000,
            stop_timeout=_bound(bounds, 'stop_timeout_ms', 'stopTimeoutMs'),
            gang_timeout=bounds.gang_timeout_ms / 1000,
            grace=bounds.grace_s,
            status_retention=bounds.status_s,
            early=bounds.early_ms / 1000,
            reclaim=_bound(bounds, 'reclaim_ms', 'reclaimMs'),
        ),
    )


__all__ = (
    'Bounds',
    'NodeSettings',
    'PATH_VARIABLE',
    'decode',
)
