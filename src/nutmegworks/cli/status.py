"""Commands that show the status of a daemon and the account."""
from __future__ import annotations

import enum
import pathlib
import typing

import msgspec
import typer

from nutmegworks.accounting import page
from nutmegworks.accounting import report
from nutmegworks.accounting import table
from nutmegworks.cli import output
from nutmegworks.cli import session


class Dimension(str, enum.Enum):
    """The key by which the account is grouped."""

    CATEGORY = 'category'
    TEAM = 'team'
    CLASS = 'class'
    DAY = 'day'


class _Member(msgspec.Struct):
    member: str
    domain: str
    state: str


class _Upstream(msgspec.Struct):
    upstream: str
    domain: str
    leaving: bool
    reports: bool
    busy: int
    slots: int


class _Status(msgspec.Struct):
    host_id: str
    domain: str
    stopping: bool
    shard_owner: str
    members: list[_Member]
    upstreams: list[_Upstream]


def status(context: typer.Context) -> None:
    """Show members, ownership and upstreams as one daemon sees them."""
    current = session.from_context(context)
    response = current.daemon.call('GET', '/v1/status')
    if current.output_format is output.OutputFormat.JSON:
        typer.echo(msgspec.json.format(response.body, indent=2).decode())
        return
    view = msgspec.json.decode(response.body, type=_Status)
    typer.echo(f'seen by {view.host_id} in {view.domain}')
    typer.echo(f'shard {view.domain} is owned by {view.shard_owner or "-"}')
    members = [[item.member, item.domain, item.state] for item in view.members]
    typer.echo(output.table(['daemon', 'domain', 'state'], members))
    rows = [
        [
            item.upstream, item.domain,
            _upstream_state(item), f'{item.busy}/{item.slots}'
        ] for item in view.upstreams
    ]
    typer.echo(output.table(['upstream', 'domain', 'state', 'busy'], rows))


def _upstream_state(item: _Upstream) -> str:
    if item.leaving:
        return 'leaving'
    return 'ready' if item.reports else 'silent'


def account(
    context: typer.Context,
    by: typing.Annotated[
        Dimension, typer.Option(help='What to divide by.')] = Dimension.TEAM,
    html: typing.Annotated[
        typing.Optional[pathlib.Path],
        typer.Option(help='Write a page for the parent organisation.'),
    ] = None,
) -> None:
    """Show where every accelerator-hour went, and why."""
    current = session.from_context(context)
    response = current.daemon.call('GET', '/v1/account')
    merged = report.Report.from_json(response.body)
    if html is not None:
        html.write_text(page.render(merged), encoding='utf-8')
        typer.echo(f'written to {html}')
        return
    if current.output_format is output.OutputFormat.JSON:
        typer.echo(msgspec.json.format(response.body, indent=2).decode())
        return
    typer.echo(table.render(merged, by.value), nl=False)
    typer.echo(table.render_reasons(merged), nl=False)


__all__ = ('account', 'status')
