"""Large answers of the store on hosts with a slow link."""
from __future__ import annotations

import time
import typing

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import transport
from nutmegworks.platform import metastore
from tests.fleet import builders
from tests import helpers
from tests import slow_link

VALUE: typing.Final = bytes(100_000)


async def _list(store: slow_link.SlowStore) -> typing.Any:
    """List a prefix over a link to a stand-in; no peer can relay."""
    async with slow_link.serving(store) as address:
        reader = metastore.MetadataStore(builders.store_transport(address))
        return await reader.list('op/')


def test_answer_that_arrives_steadily_is_read_to_its_end() -> None:
    """Guards against a configuration that a slow host never adopts.

    A limit on the whole transfer gives up each try before its end.
    """

    async def main() -> None:
        listed = await _list(
            slow_link.SlowStore(
                slow_link.listing('op/config', VALUE),
                seconds=2 * transport.CALL_TIMEOUT_SECONDS,
            )
        )
        assert [item.value for item in listed.unwrap().items] == [VALUE]

    helpers.run(main)


def test_answer_that_stalls_is_given_up() -> None:
    """Guards against a read that waits for a silent connection."""

    async def main() -> None:
        started_at = time.monotonic()
        listed = await _list(
            slow_link.SlowStore(
                slow_link.listing('op/config', VALUE), stalls=True
            )
        )
        assert isinstance(listed.err_value, interfaces.StoreError)
        assert 'bytes received' in listed.err_value.detail
        limit = 2 * transport.CALL_TIMEOUT_SECONDS
        assert time.monotonic() - started_at < limit

    helpers.run(main)


def test_value_of_the_largest_size_is_read() -> None:
    """Guards against a configuration that no host can adopt.

    Answers of the store encode values in base64, which adds a third.
    """

    async def main() -> None:
        largest = bytes(transport.DEFAULT_MAX_VALUE_BYTES)
        listed = await _list(
            slow_link.SlowStore(slow_link.listing('op/config', largest))
        )
        assert [item.value for item in listed.unwrap().items] == [largest]

    helpers.run(main)
