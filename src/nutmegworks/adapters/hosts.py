"""The platform's list of live and leaving hosts."""
from __future__ import annotations

import abc
import dataclasses
import enum
import ipaddress
import typing

import logbook
import msgspec
import result

from nutmegworks.model import decoding
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.model import shape
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool

LIST_TIMEOUT_SECONDS = 1.0

_log = logbook.Logger(__name__)


class HostRole(enum.Enum):
    DAEMON = 'daemon'
    UPSTREAM = 'upstream'
    WORKER = 'worker'


class HostState(enum.Enum):
    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host of the list, which may be out of date.

    :param service_id: the service of an upstream; empty for other roles.
    :param rack_id: the rack of a worker; empty for other roles.
    :param accelerators: number of accelerators of a worker; 0 for other
        roles.
    """

    host_id: str
    role: HostRole
    address: client.Address
    domain_id: ids.DomainId
    state: HostState
    service_id: ids.ServiceId = ids.ServiceId('')
    rack_id: ids.RackId = ids.RackId('')
    accelerators: int = 0


class HostList(abc.ABC):

    @abc.abstractmethod
    async def fetch(self) -> result.Result[tuple[Host, ...], str]:
        """Return all listed hosts, or an error message."""


class _Host(msgspec.Struct):
    host_id: str
    role: str
    address: str
    domain: str
    state: str
    service: str = ''
    rack: str = ''
    accelerators: shape.WorkerAccelerators = 0


class _Hosts(msgspec.Struct):
    hosts: list[msgspec.Raw]


class HttpHostList(HostList):
    """A host list that is served over HTTP."""

    def __init__(
        self,
        address: client.Address,
        *,
        connections: pool.Pool | None = None,
    ) -> None:
        self._address = address
        self._pool = connections or pool.Pool()

    async def fetch(self) -> result.Result[tuple[Host, ...], str]:
        answer = await self._pool.exchange(
            self._address,
            message.Request('GET', '/v1/hosts'),
            timeout=LIST_TIMEOUT_SECONDS,
            max_body=16 * message.MAX_BODY_BYTES,
        )
        if isinstance(answer, result.Err):
            return result.Err(answer.err_value.detail)
        if answer.ok_value.status != 200:
            return result.Err(f'status {answer.ok_value.status}')
        try:
            with decoding.nesting_limit():
                hosts = msgspec.json.decode(answer.ok_value.body, type=_Hosts)
        except msgspec.DecodeError as error:
            return result.Err(str(error))
        return result.Ok(tuple(_usable_hosts(hosts.hosts)))


def _usable_hosts(
    items: typing.Iterable[msgspec.Raw],
) -> typing.Iterator[Host]:
    for item in items:
        try:
            yield _host(item)
        except ValueError as error:
            # One odd entry must not hide the other hosts.
            _log.warning(
                'skipping a host list entry: {}: {!r}', error,
                bytes(item)[:100]
            )


def _host(raw: msgspec.Raw) -> Host:
    with decoding.nesting_limit():
        item = msgspec.json.decode(raw, type=_Host)
    return Host(
        item.host_id,
        HostRole(item.role),
        parse_address(item.address),
        ids.DomainId(item.domain),
        HostState(item.state),
        ids.ServiceId(item.service),
        ids.RackId(item.rack),
        item.accelerators,
    )


def parse_address(text: str) -> client.Address:
    """Parse ``ip:port``.

    :raises ValueError: if no connection can be opened to such an address.

    >>> parse_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, port = documents.parse_address(text)
    return str(ipaddress.ip_address(host)), port


__all__ = (
    'Host',
    'HostList',
    'HostRole',
    'HostState',
    'HttpHostList',
    'parse_address',
)
