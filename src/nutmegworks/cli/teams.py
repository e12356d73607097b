"""Commands for teams, their tokens and their guarantees."""
from __future__ import annotations

import secrets
import typing

import msgspec
import typer

from nutmegworks.cli import output
from nutmegworks.cli import session
from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.entry import authenticate

TOKEN_BYTES: typing.Final = 32

app = typer.Typer(no_args_is_help=True, help='Teams and their tokens.')
guarantees = typer.Typer(
    no_args_is_help=True, help='Shapes that a team can always reclaim.'
)

Name = typing.Annotated[str, typer.Argument(help='Name of the team.')]
Domain = typing.Annotated[str, typer.Argument(help='Failure domain.')]


@app.command('list')
def list_teams(context: typer.Context) -> None:
    """List all teams."""
    current = session.from_context(context)
    teams = current.configuration().document.teams
    rows = [
        [name, len(entry.token_digests),
         _guarantees_text(entry)] for name, entry in sorted(teams.items())
    ]
    output.show(
        current.output_format, teams, ['team', 'tokens', 'guarantees'], rows
    )


def _guarantees_text(entry: documents.TeamEntry) -> str:
    return '; '.join(
        f'{domain}: {" ".join(shapes)}'
        for domain, shapes in sorted(entry.guarantees.items())
    )


@app.command()
def add(context: typer.Context, name: Name) -> None:
    """Create a team without tokens and guarantees."""
    session.from_context(context).change(
        changes.PutTeam(name, documents.TeamEntry())
    )


@app.command()
def remove(context: typer.Context, name: Name) -> None:
    """Remove a team."""
    session.from_context(context).change(changes.RemoveTeam(name))


@app.command('token-add')
def token_add(
    context: typer.Context,
    name: Name,
    token: typing.Annotated[
        str,
        typer.Option(
            help='Token to add; a random one if not given.',
            envvar='NUTMEG_NEW_TOKEN',
        )] = '',
) -> None:
    """Add a token and print it; only its digest is kept."""
    secret = token or secrets.token_urlsafe(TOKEN_BYTES)
    digest = authenticate.token_digest(secret)
    session.from_context(context).change(changes.AddToken(name, digest))
    if not token:
        typer.echo(f'token {secret}')


@app.command('token-remove')
def token_remove(
    context: typer.Context,
    name: Name,
    digest: typing.Annotated[
        str, typer.Argument(help='SHA-256 digest of the token.')],
) -> None:
    """Remove a token by its digest."""
    session.from_context(context).change(changes.RemoveToken(name, digest))


@guarantees.command('set')
def set_guarantee(
    context: typer.Context,
    team: Name,
    domain: Domain,
    shapes: typing.Annotated[list[str],
                             typer.Argument(help='Shapes, for example 2x8.')],
) -> None:
    """Replace a team's guaranteed shapes in one failure domain."""
    session.from_context(context).change(
        changes.SetGuarantee(team, domain, tuple(shapes))
    )


@guarantees.command('remove')
def remove_guarantee(
    context: typer.Context,
    team: Name,
    domain: Domain,
) -> None:
    """Remove a team's guarantee in one failure domain."""
    session.from_context(context).change(
        changes.SetGuarantee(team, domain, ())
    )


@guarantees.command('list')
def list_guarantees(context: typer.Context) -> None:
    """List all guarantees."""
    current = session.from_context(context)
    teams = current.configuration().document.teams
    rows = [
        [name, domain, ' '.join(shapes)]
        for name, entry in sorted(teams.items())
        for domain, shapes in sorted(entry.guarantees.items())
    ]
    value = {
        name: msgspec.to_builtins(entry.guarantees)
        for name, entry in teams.items()
    }
    output.show(
        current.output_format, value, ['team', 'domain', 'shapes'], rows
    )


__all__ = ('app', 'guarantees')
