"""Endpoint of the accounting report for the parent organisation."""
from __future__ import annotations

import abc
import time
import typing

import result

from nutmegworks.accounting import report
from nutmegworks.adapters import store
from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.net import server

Parameters = typing.Mapping[str, str]


class Accounts(typing.Protocol):
    """Source of the accounting reports of all shards."""

    @abc.abstractmethod
    async def load_report(
        self,
        now_ms: int,
    ) -> result.Result[report.Report, store.StoreError]:
        """Return one report that covers all shards and days.

        :param now_ms: milliseconds since 1970.
        """


class AccountEndpoint:
    """Handles ``GET /v1/account``; the CLI renders the report."""

    def __init__(
        self,
        accounts: Accounts,
        *,
        clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self._accounts = accounts
        self._clock = clock

    async def show(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Return the report as JSON."""
        loaded = await self._accounts.load_report(int(self._clock() * 1000))
        if isinstance(loaded, result.Err):
            return server.refusal_response(
                verdict.did_not_run(
                    verdict.Reason.STORE_UNAVAILABLE,
                    loaded.err_value.detail,
                    retry_after=1.0,
                )
            )
        headers = {'content-type': 'application/json'}
        return message.Response(200, headers, loaded.ok_value.to_json())


__all__ = ('AccountEndpoint', 'Accounts')
