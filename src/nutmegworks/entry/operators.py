"""Operator interface: tokens, and access to the configuration."""
from __future__ import annotations

import hmac
import typing

import msgspec
import result

from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import rejection
from nutmegworks.configuration import repository as repositories
from nutmegworks.entry import authenticate
from nutmegworks.model import decoding
from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.net import server

Parameters = typing.Mapping[str, str]
_Handler = typing.Callable[
    [message.Request, Parameters],
    typing.Awaitable[message.Response],
]

# Applies accepted changes in this daemon at once; otherwise it would read them
# from the store a little later.
OnAccepted = typing.Callable[
    [tuple[changes.AcceptedChange, ...]],
    typing.Awaitable[object],
]

_STATUS_BY_KIND: typing.Final = {
    rejection.RejectionKind.INVALID: 422,
    rejection.RejectionKind.CONFLICT: 409,
    rejection.RejectionKind.UNAVAILABLE: 503,
    rejection.RejectionKind.UNKNOWN: 504,
}


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change and the configuration sequence on which it is based."""

    base: int
    change: changes.Change


class ConfigurationView(msgspec.Struct):
    sequence: int
    document: documents.Document


class OperatorTokens:
    """Checks operator tokens against the digests in the settings."""

    def __init__(self, digests: typing.Iterable[str]) -> None:
        self._digests = tuple(digests)

    def accepts(self, request: message.Request) -> bool:
        """Return whether the request has a valid operator token."""
        token = authenticate.bearer_token(request)
        digest = authenticate.token_digest(token)
        is_valid = False
        for operator_digest in self._digests:
            is_valid |= hmac.compare_digest(operator_digest, digest)
        return is_valid

    def guard(self, handler: _Handler) -> _Handler:
        """Return a handler that refuses requests without an operator token."""

        async def guarded(
            request: message.Request,
            parameters: Parameters,
        ) -> message.Response:
            if not self.accepts(request):
                return server.refusal_response(
                    verdict.did_not_run(
                        verdict.Reason.UNAUTHENTICATED,
                        "an operator's token is required",
                    )
                )
            return await handler(request, parameters)

        return guarded


class ConfigurationEndpoint:
    """Reads and changes the stored configuration."""

    def __init__(
        self,
        repository: repositories.Repository,
        on_accepted: OnAccepted,
    ) -> None:
        self._repository = repository
        self._on_accepted = on_accepted

    async def show(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``GET /v1/config``."""
        loaded = await self._repository.load()
        if isinstance(loaded, result.Err):
            return _store_unavailable(loaded.err_value.detail)
        state = loaded.ok_value
        view = ConfigurationView(state.sequence, state.document)
        return message.json_response(200, view)

    async def history(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``GET /v1/config/history?after=<sequence>``."""
        after = parameters.get('after', '0')
        if not after.isascii() or not after.isdigit():
            return _bad_request(f'after: {after!r} is no sequence')
        read = await self._repository.history(after=int(after))
        if isinstance(read, result.Err):
            return _store_unavailable(read.err_value.detail)
        return message.json_response(200, read.ok_value)

    async def change(
        self,
        request: message.Request,
        parameters: Parameters,
    ) -> message.Response:
        """Handle ``POST /v1/config/changes``."""
        try:
            with decoding.nesting_limit():
                change_request = msgspec.json.decode(
                    request.body, type=ChangeRequest
                )
        except msgspec.DecodeError as error:
            return _bad_request(str(error))
        outcome = await self._repository.accept(
            change_request.change, base=change_request.base
        )
        if isinstance(outcome, result.Err):
            return _rejected(outcome.err_value)
        # All recent changes are passed on: this daemon may lack earlier ones
        # too, and its peers get them from it.
        await self._on_accepted(self._repository.recent_changes)
        return message.json_response(
            200, {'sequence': outcome.ok_value.sequence}
        )


def _rejected(rejected: rejection.Rejection) -> message.Response:
    value = {'kind': rejected.kind.value, 'faults': rejected.faults}
    return message.json_response(_STATUS_BY_KIND[rejected.kind], value)


def _store_unavailable(detail: str) -> message.Response:
    return server.refusal_response(
        verdict.did_not_run(
            verdict.Reason.STORE_UNAVAILABLE, detail, retry_after=1.0
        )
    )


def _bad_request(detail: str) -> message.Response:
    return server.refusal_response(
        verdict.did_not_run(verdict.Reason.BAD_REQUEST, detail)
    )


__all__ = (
    'ChangeRequest',
    'ConfigurationEndpoint',
    'ConfigurationView',
    'OperatorTokens',
)
