"""Estimates the network traffic of a cluster that runs in this process."""
from __future__ import annotations

import contextlib
import dataclasses
import typing

import curio.io

# Headers of each packet: TCP with time stamps, IPv4 and Ethernet.
PACKET_BYTES: typing.Final = 32 + 20 + 18
# Each segment of a send is one packet, which is acknowledged by another.
PACKETS_PER_SEGMENT: typing.Final = 2
# Opening a connection takes three packets and closing it four.
PACKETS_PER_CONNECTION: typing.Final = 7
SEGMENT_BYTES: typing.Final = 1448


@dataclasses.dataclass(slots=True)
class Traffic:
    """Total bytes since the start of counting, with estimated headers.

    :param between_nodes: bytes sent from node to node.
    :param platform: bytes to and from the store and the host list.
    """

    between_nodes: int = 0
    platform: int = 0

    def per_host(self, hosts: int, seconds: float) -> float:
        """Return bytes per second that a host sends and receives.

        Bytes between two hosts are counted for both.
        """
        return (2 * self.between_nodes + self.platform) / hosts / seconds


def wire_bytes(payload: int) -> int:
    """Return the bytes of one send, including packet headers."""
    segments = max(1, -(-payload // SEGMENT_BYTES))
    return payload + segments * PACKETS_PER_SEGMENT * PACKET_BYTES


@contextlib.contextmanager
def count_traffic(
    platform_ports: set[int],
    ignored_ports: set[int],
) -> typing.Iterator[Traffic]:
    """Count the bytes that the sockets of this process send.

    :param platform_ports: listening ports of the stand-ins.
    :param ignored_ports: listening ports whose connections are not counted.
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
            traffic.between_nodes += size

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


__all__ = ('Traffic', 'count_traffic', 'wire_bytes')
