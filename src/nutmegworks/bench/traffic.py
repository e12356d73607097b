"""Counts the bytes that the sockets of this process send."""
from __future__ import annotations

import contextlib
import dataclasses
import typing

import curio.io

# Headers of TCP with time stamps, of IPv4 and of Ethernet, for each packet.
PACKET_BYTES: typing.Final = 32 + 20 + 18
# Each send is one packet or more, answered by an acknowledgement.
PACKETS_PER_SEND: typing.Final = 2
# Opening takes three packets and closing four.
PACKETS_PER_CONNECTION: typing.Final = 7
SEGMENT_BYTES: typing.Final = 1448


@dataclasses.dataclass(slots=True)
class Traffic:
    """Totals since the start of counting.

    :param between: bytes between nodes, with estimated packet headers.
    :param platform: bytes to and from the platform, likewise.
    """

    between: int = 0
    platform: int = 0

    def per_host(self, hosts: int, seconds: float) -> float:
        """Return bytes per second that a host sends and receives.

        Bytes between two hosts count at both.
        """
        return (2 * self.between + self.platform) / hosts / seconds


def wire_bytes(payload: int) -> int:
    """Return the bytes of one send with its packets' headers."""
    segments = max(1, -(-payload // SEGMENT_BYTES))
    return payload + segments * PACKETS_PER_SEND * PACKET_BYTES


@contextlib.contextmanager
def counted(
    platform_ports: set[int],
    ignored_ports: set[int],
) -> typing.Iterator[Traffic]:
    """Count what the sockets of this process carry.

    :param platform_ports: listening ports of the stand-ins.
    :param ignored_ports: listening ports whose connections do not count.
    """
    traffic = Traffic()
    socket_type = curio.io.Socket
    send_all = socket_type.sendall
    connect = socket_type.connect

    def add(ports: set[int], size: int) -> None:
        if ports & ignored_ports:
            return
        if ports & platform_ports:
            traffic.platform += size
        else:
            traffic.between += size

    async def counting_send(
        self: curio.io.Socket,
        data: bytes,
        flags: int = 0,
    ) -> None:
        with contextlib.suppress(OSError):
            ports = {self.getsockname()[1], self.getpeername()[1]}
            add(ports, wire_bytes(len(data)))
        await send_all(self, data, flags)

    async def counting_connect(
        self: curio.io.Socket,
        address: tuple[str, int],
    ) -> typing.Any:
        add({address[1]}, PACKETS_PER_CONNECTION * PACKET_BYTES)
        return await connect(self, address)

    socket_type.sendall = counting_send
    socket_type.connect = counting_connect
    try:
        yield traffic
    finally:
        socket_type.sendall = send_all
        socket_type.connect = connect


__all__ = ('Traffic', 'counted', 'wire_bytes')
