"""The operators' interface: configuration, history and status."""
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
from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.net import server

Parameters = typing.Mapping[str, str]
_Handler = typing.Callable[
    [message.Request, Parameters],
    typing.Awaitable[message.Response],
]

# Puts a change in force here at once; readers would meet it soon after.
OnAccepted = typing.Callable[
    [tuple[changes.Accepted, ...]],
    typing.Awaitable[object],
]

_STATUS_BY_KIND: typing.Final = {
    rejection.RejectionKind.INVALID: 422,
    rejection.RejectionKind.CONFLICT: 409,
    rejection.RejectionKind.UNAVAILABLE: 503,
    rejection.RejectionKind.UNKNOWN: 504,
}


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change with the sequence that its author saw."""

    base: int
    change: changes.Change


class ConfigurationView(msgspec.Struct):
    sequence: int
    document: documents.Document


class OperatorTokens:
    """Compares operators' tokens with the digests from the settings."""

    def __init__(self, digests: typing.Iterable[str]) -> None:
        self._digests = tuple(digests)

    def accepts(self, request: message.Request) -> bool:
        """Return whether the request carries an operator's token."""
        token = authenticate.bearer_token(request)
        digest = authenticate.token_digest(token)
        found = False
        for known in self._digests:
            found |= hmac.compare_digest(known, digest)
        return found

    def guard(self, handler: _Handler) -> _Handler:
        """Return a handler that refuses requests of others."""

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
            wanted = msgspec.json.decode(request.body, type=ChangeRequest)
        except msgspec.DecodeError as error:
            return _bad_request(str(error))
        outcome = await self._repository.accept(
            wanted.change, base=wanted.base
        )
        if isinstance(outcome, result.Err):
            return _rejected(outcome.err_value)
        # This daemon may lack earlier changes too; peers learn all from it.
        await self._on_accepted(self._repository.recent_changes)
        return message.json_response(
            200, {'sequence': outcome.ok_value.sequence}
        )


def _rejected(refused: rejection.Rejection) -> message.Response:
    value = {'kind': refused.kind.value, 'faults': refused.faults}
    return message.json_response(_STATUS_BY_KIND[refused.kind], value)


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
