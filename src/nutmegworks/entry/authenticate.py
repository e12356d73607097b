"""Maps a bearer token to a team."""
from __future__ import annotations

import hashlib
import hmac
import typing

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.model import published
from nutmegworks.model import verdict
from nutmegworks.model import work
from nutmegworks.net import message

_SCHEME: typing.Final = 'bearer '
MAX_TOKEN_CHARACTERS: typing.Final = 256


def token_digest(token: str) -> str:
    """Return the form in which a token is kept in the configuration.

    Tokens are random and long, so a fast hash suffices.
    """
    return hashlib.sha256(token.encode('utf-8')).hexdigest()


def bearer_token(request: message.Request) -> str:
    """Return the token of a request; empty if it has none."""
    header = request.headers.get('authorization', '')
    token = header[len(_SCHEME):].strip()
    if not header.lower().startswith(_SCHEME):
        return ''
    return token if len(token) <= MAX_TOKEN_CHARACTERS else ''


class TokenIndex:
    """Teams by token digest, rebuilt when the configuration changes."""

    def __init__(
        self,
        configuration: published.Published[work.Configuration],
    ) -> None:
        self._configuration = configuration
        self._indexed: work.Configuration | None = None
        self._team_by_prefix: dict[str, list[tuple[str, work.Team]]] = {}

    def team(self, token: str) -> work.Team | None:
        """Return the team of a token.

        Only a short prefix of the digest selects the candidates; the whole
        digest is compared in constant time.
        """
        self._refresh()
        digest = token_digest(token)
        found = None
        for known, team in self._team_by_prefix.get(digest[:4], ()):
            if hmac.compare_digest(known, digest):
                found = team
        return found

    def _refresh(self) -> None:
        current = self._configuration.value
        if current is None or current is self._indexed:
            return
        teams: dict[str, list[tuple[str, work.Team]]] = {}
        for team in current.team_by_id.values():
            for digest in team.token_digests:
                teams.setdefault(digest[:4], []).append((digest, team))
        self._team_by_prefix = teams
        self._indexed = current


class AuthenticateFilter(entry_filter.Filter):

    def __init__(self, tokens: TokenIndex) -> None:
        self._tokens = tokens

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        token = bearer_token(context.request)
        if not token:
            return _unauthenticated('a bearer token is required')
        context.team = self._tokens.team(token)
        if context.team is None:
            return _unauthenticated('the token belongs to no team')
        return await proceed(context)


def _unauthenticated(detail: str) -> entry_filter.Outcome:
    return entry_filter.refuse(
        verdict.did_not_run(verdict.Reason.UNAUTHENTICATED, detail)
    )


__all__ = ('AuthenticateFilter', 'TokenIndex', 'bearer_token', 'token_digest')
