"""The schema of the settings file."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.settings import values


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One setting.

    :param parse: returns the value of a text; raises ValueError.
    :param default: text as it would be written in the file; None if the
        setting is required.
    :param description: meaning of the setting in the reference.
    """

    section: str
    key: str
    parse: typing.Callable[[str], typing.Any]
    default: str | None
    description: str

    @property
    def attribute(self) -> str:
        return f'{self.section}_{self.key}'


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings.

    Addresses are pairs of IP address and port, times are in seconds and sizes
    in bytes.
    """

    daemon_host_id: str
    daemon_domain: str
    daemon_region: str
    daemon_callers: tuple[str, int]
    daemon_peers: tuple[str, int]
    platform_store: tuple[str, int]
    platform_hosts: tuple[str, int]
    cluster_key: bytes
    operators_digests: tuple[str, ...]
    limits_body: int
    limits_connections: int
    limits_memory: int
    limits_message_time: float
    limits_queue: int
    limits_deadline: float
    stop_grace: float
    stop_limit: float
    telemetry_level: str
    telemetry_spans: str


FIELDS: typing.Final = (
    Field(
        'daemon', 'host_id', values.parse_name, None,
        'name of this host in the host list'
    ),
    Field(
        'daemon', 'domain', values.parse_name, None,
        'failure domain of this host'
    ),
    Field('daemon', 'region', values.parse_name, None, 'region of this host'),
    Field(
        'daemon', 'callers', values.parse_address, None,
        'address for callers and operators'
    ),
    Field(
        'daemon', 'peers', values.parse_address, None,
        'address for other daemons'
    ),
    Field(
        'platform', 'store', values.parse_address, None,
        "address of the platform's key-value store"
    ),
    Field(
        'platform', 'hosts', values.parse_address, None,
        "address of the platform's host list"
    ),
    Field(
        'cluster', 'key', values.parse_key, None,
        'secret that daemons share, hexadecimal'
    ),
    Field(
        'operators', 'digests', values.parse_digests, '',
        "SHA-256 digests of the operators' tokens, separated by commas"
    ),
    Field(
        'limits', 'body', values.parse_bytes, '1 MiB', 'largest request body'
    ),
    Field(
        'limits', 'connections', values.parse_count, '1024',
        'open connections of callers'
    ),
    Field(
        'limits', 'memory', values.parse_bytes, '200 MiB',
        'memory that the process may use; a quarter is for requests'
    ),
    Field(
        'limits', 'message_time', values.parse_seconds, '10 s',
        'time for one whole request to arrive'
    ),
    Field(
        'limits', 'queue', values.parse_count, '256',
        'requests of one team that may wait'
    ),
    Field(
        'limits', 'deadline', values.parse_seconds, '60 s',
        'longest deadline of a request'
    ),
    Field(
        'stop', 'grace', values.parse_seconds, '5 s',
        'time to go on accepting after a stop signal'
    ),
    Field(
        'stop', 'limit', values.parse_seconds, '70 s',
        'longest time to finish requests after the grace'
    ),
    Field(
        'telemetry', 'level', values.parse_level, 'info',
        'least level that is logged'
    ),
    Field(
        'telemetry', 'spans', values.parse_path, 'none',
        'file for spans in OTLP JSON lines, or none'
    ),
)

__all__ = ('FIELDS', 'Field', 'Settings')
