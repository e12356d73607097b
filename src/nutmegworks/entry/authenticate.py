"""Authentication: maps bearer tokens to teams."""
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
    """Return the hexadecimal digest that the configuration stores for a token.

    Tokens are long and random, so a fast hash is sufficient.
    """
    return hashlib.sha256(token.encode('utf-8')).hexdigest()


def bearer_token(request: message.Request) -> str:
    """Return the bearer token of a request; empty if it has none."""
    header = request.headers.get('authorization', '')
    token = header[len(_SCHEME):].strip()
    if not header.lower().startswith(_SCHEME):
        return ''
    return token if len(token) <= MAX_TOKEN_CHARACTERS else ''


class TokenIndex:
    """Teams by token digest; the index follows the configuration."""

    def __init__(
        self,
        configuration: published.Published[work.Configuration],
    ) -> None:
        self._configuration = configuration
        self._indexed_configuration: work.Configuration | None = None
        self._teams_by_prefix: dict[str, list[tuple[str, work.Team]]] = {}

    def find_team(self, token: str) -> work.Team | None:
        """Return the team of a token; None if it belongs to no team.

        A short prefix of the digest selects the candidates, whose complete
        digests are then compared in constant time.
        """
        self._refresh()
        digest = token_digest(token)
        matching_team = None
        for team_digest, team in self._teams_by_prefix.get(digest[:4], ()):
            if hmac.compare_digest(team_digest, digest):
                matching_team = team
        return matching_team

    def _refresh(self) -> None:
        current = self._configuration.value
        if current is None or current is self._indexed_configuration:
            return
        teams_by_prefix: dict[str, list[tuple[str, work.Team]]] = {}
        for team in current.team_by_id.values():
            for digest in team.token_digests:
                teams_by_prefix.setdefault(
                    digest[:4],
                    [],
                ).append((digest, team))
        self._teams_by_prefix = teams_by_prefix
        self._indexed_configuration = current


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
        context.team = self._tokens.find_team(token)
        if context.team is None:
            return _unauthenticated('the token belongs to no team')
        return await proceed(context)


def _unauthenticated(detail: str) -> entry_filter.Outcome:
    return entry_filter.refuse(
        verdict.did_not_run(verdict.Reason.UNAUTHENTICATED, detail)
    )


__all__ = ('AuthenticateFilter', 'TokenIndex', 'bearer_token', 'token_digest')
