"""Daemons as processes, and what they use while a crowd is connected."""
from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import subprocess
import sys
import threading
import time
import typing

from standins import cluster

# What a process may use is sampled at this interval; the peak of its memory is
# kept by the kernel.
SAMPLE_SECONDS: typing.Final = 0.05
# For an ordinary request to be answered; it tests that it is, not how fast.
ANSWER_SECONDS: typing.Final = 30.0
ATTEMPT_SECONDS: typing.Final = 5.0
CROWD_SECONDS: typing.Final = 80.0


class Usage:
    """What one process uses, sampled by a thread.

    Received bytes that the process has not read count, as on the platform.

    :ivar descriptors: most open descriptors so far.
    """

    def __init__(self, pid: int, port: int) -> None:
        self._proc = pathlib.Path(f'/proc/{pid}')
        self._port = f':{port:04X}'
        self.descriptors = 0
        self._memory = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def _status(self, field: str) -> int:
        """Return a size of the process in bytes."""
        for line in (self._proc / 'status').read_text().splitlines():
            if line.startswith(f'{field}:'):
                return int(line.split()[1]) * 1024
        return 0

    def _unread(self) -> int:
        """Return the bytes that wait in the sockets of the process's port."""
        total = 0
        with open('/proc/net/tcp', encoding='ascii') as table:
            for line in table:
                fields = line.split()
                if fields[1].endswith(self._port):
                    total += int(fields[4].split(':')[1], 16)
        return total

    def _sample(self) -> None:
        while not self._stop.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError):
                open_now = len(os.listdir(self._proc / 'fd'))
                self.descriptors = max(self.descriptors, open_now)
                memory = self._status('VmRSS') + self._unread()
                self._memory = max(self._memory, memory)

    def memory(self) -> int:
        """Return the most bytes of memory used so far."""
        with contextlib.suppress(OSError):
            self._memory = max(self._memory, self._status('VmHWM'))
        return self._memory

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()


@contextlib.contextmanager
def crowd(
    shape: str,
    count: int,
    target: str,
    host: str,
    key: str,
    addresses: typing.Sequence[str],
) -> typing.Iterator[typing.Callable[[], None]]:
    """Start clients of a shape; yield a function that waits for them.

    It returns when each has sent what it sends, was refused or can't send.
    They hold their connections until the end of the block.
    """
    process = subprocess.Popen(
        [
            sys.executable, '-m', 'tests.crowds.clients', shape,
            str(count), target, host, key, *addresses
        ],
        env={
            **os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)
        },
        cwd=cluster.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        yield lambda: _read_settled(process)
    finally:
        process.stdin.close()
        try:
            process.wait(CROWD_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        process.stdout.close()


def _read_settled(process: subprocess.Popen[bytes]) -> None:
    assert process.stdout is not None
    assert process.stdout.readline().startswith(b'settled')


def answered(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: typing.Mapping[str, str],
) -> bool:
    """Return whether an ordinary caller gets 200, repeating refused calls."""
    return asyncio.run(
        _ask_until_answered(address, method, path, body, headers)
    )


async def _ask_until_answered(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: typing.Mapping[str, str],
) -> bool:
    deadline = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
            status = await asyncio.wait_for(
                _ask(address, method, path, body, headers), ATTEMPT_SECONDS
            )
            if status == 200:
                return True
        await asyncio.sleep(0.5)
    return False


async def _ask(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: typing.Mapping[str, str],
) -> int:
    """Return the status of the answer to one request."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {path} HTTP/1.1', f'content-length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        writer.write(head + body)
        line = await reader.readline()
        if not line:
            raise EOFError
        return int(line.split()[1])
    finally:
        writer.transport.abort()
