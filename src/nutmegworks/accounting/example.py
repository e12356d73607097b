"""Builds the example report for docs/account.md.

``python -m nutmegworks.accounting.example`` prints the tables; with a path as
its argument, it writes the HTML page to that file.
"""
from __future__ import annotations

import pathlib
import typing

import typer

from nutmegworks.accounting import attribution
from nutmegworks.accounting import ledger
from nutmegworks.accounting import page
from nutmegworks.accounting import report
from nutmegworks.accounting import table
from nutmegworks.accounting import use
from nutmegworks.model import ids

_START_MS: typing.Final = 20_791 * report.DAY_MS
_MINUTE_MS: typing.Final = 60_000
_HOUR_MS: typing.Final = 60 * _MINUTE_MS
_NORTH: typing.Final = ids.TeamId('north')
_SOUTH: typing.Final = ids.TeamId('south')
_NO_TEAM: typing.Final = ids.TeamId('')
_PLAN: typing.Final = ids.ClassId('plan')
_CHIME: typing.Final = ids.ClassId('chime')
_GUARANTEED: typing.Final = {_NORTH: 16, _SOUTH: 16}
_UNGUARANTEED: typing.Final = 16


def build() -> report.Report:
    """Return the report on one day of 48 accelerators and two teams."""
    account = ledger.Ledger('amman-north', _START_MS)
    # From 00:00: north runs 16 within its guarantee; the others are idle.
    _set_running(account, {(_NORTH, _PLAN): 16}, hour=0)
    # From 06:00: north runs 40, of which 16 are borrowed and 8 lent by south.
    _set_running(account, {(_NORTH, _PLAN): 40}, hour=6)
    # At 10:00: south needs its 16; 8 are reclaimed, which takes 2 minutes.
    lent = use.running(_NORTH, _PLAN, _SOUTH)
    reclaimed = use.Use(use.Category.RECLAIMED, _NORTH, _PLAN, _SOUTH)
    at_ms = _START_MS + 10 * _HOUR_MS
    account.change(lent, reclaimed, 8, at_ms)
    _record(account, at_ms, 'WAITING', _SOUTH, 'guarantee is reclaimed')
    at_ms += 2 * _MINUTE_MS
    running = {(_NORTH, _PLAN): 32, (_SOUTH, _CHIME): 16}
    account.reconcile(
        attribution.attribute(running, _GUARANTEED, _UNGUARANTEED),
        at_ms,
    )
    _record(account, at_ms, 'PLACED', _SOUTH, 'fits its guarantee')
    # At 14:00: a worker with 8 accelerators fails; 30 minutes of work since
    # the last checkpoint are lost.
    at_ms = _START_MS + 14 * _HOUR_MS
    failed = use.running(_NORTH, _PLAN, _NO_TEAM)
    account.mark_lost(failed, 8 * 30 * _MINUTE_MS, at_ms)
    account.change(failed, use.Use(use.Category.LOST), 8, at_ms)
    # From 15:00: the worker is up again but quarantined, since every task
    # on it fails. From 18:00: north runs nothing, and 4 of the free
    # accelerators are too scattered.
    account.change(
        use.Use(use.Category.LOST),
        use.Use(use.Category.QUARANTINED),
        8,
        at_ms + _HOUR_MS,
    )
    at_ms = _START_MS + 18 * _HOUR_MS
    idle = use.Use(use.Category.IDLE)
    scattered = use.Use(use.Category.IDLE_SCATTERED)
    own = use.running(_NORTH, _PLAN, _NORTH)
    account.change(own, idle, 16, at_ms)
    account.change(failed, idle, 4, at_ms)
    account.change(failed, scattered, 4, at_ms)
    _record(account, at_ms, 'REFUSED', _NORTH, 'never fits')
    return account.take_closed(_START_MS + report.DAY_MS)[0]


def _set_running(
    account: ledger.Ledger,
    running: dict[attribution.TeamClass, int],
    *,
    hour: int,
) -> None:
    counts = attribution.attribute(running, _GUARANTEED, _UNGUARANTEED)
    free = 48 - sum(running.values())
    account.reconcile(
        counts | {use.Use(use.Category.IDLE): free},
        _START_MS + hour * _HOUR_MS,
    )


def _record(
    account: ledger.Ledger,
    at_ms: int,
    kind: str,
    team: ids.TeamId,
    reason: str,
) -> None:
    account.record(
        report.Decision(
            at_ms,
            report.DecisionKind[kind],
            ids.JobId(f'job-{team}'),
            team,
            _PLAN if team == _NORTH else _CHIME,
            reason,
        )
    )


def render_tables(account: report.Report) -> str:
    """Return the tables that docs/account.md shows."""
    tables = [table.render(account, name) for name in ('category', 'team')]
    return '\n'.join([*tables, table.render_reasons(account)])


def main(
    path: typing.Annotated[typing.Optional[pathlib.Path],
                           typer.Argument()] = None,
) -> None:
    """Print the tables, or write the page."""
    account = build()
    if path is None:
        typer.echo(render_tables(account), nl=False)
    else:
        path.write_text(page.render(account), encoding='utf-8')


if __name__ == '__main__':
    typer.run(main)

__all__ = ('build', 'main', 'render_tables')
