"""Renders a report as one HTML page that needs nothing else."""
from __future__ import annotations

import datetime
import html
import string
import typing

from nutmegworks.accounting import markup
from nutmegworks.accounting import report
from nutmegworks.accounting import table
from nutmegworks.accounting import use

# Rows of a chart or list that a person still reads.
MAX_BARS: typing.Final = 40
MAX_LISTED: typing.Final = 50
_SOURCES_SHOWN: typing.Final = 8

_TITLE_BY_KIND: typing.Final = {
    report.DecisionKind.PLACED: 'started',
    report.DecisionKind.WAITING: 'had to wait',
    report.DecisionKind.REFUSED: 'was refused',
}

_PAGE: typing.Final = string.Template(
    '''<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Account of accelerators, $period</title>
<style>
body { font: 16px/1.5 sans-serif; margin: 2em auto; max-width: 62em;
  padding: 0 1em; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .2em .6em; text-align: left; vertical-align: top; }
th { border-bottom: 1px solid #888; }
td.number, th.number { text-align: right; white-space: nowrap; }
td.bar { width: 45%; }
svg { display: block; width: 100%; height: 1.3em; }
.key { display: inline-block; width: 1em; height: 1em; }
.warning { color: #c0392b; font-weight: bold; }
</style>
</head>
<body>
<h1>Account of accelerators</h1>
<p>$period (days in UTC). Sources: $sources. The unit is the accelerator-hour:
one accelerator for one hour.</p>
$balance
<h2>What was paid for</h2>
<p>Of <b>$capacity</b> accelerator-hours that existed, <b>$used</b> ($share)
ran jobs. $unused ($unused_share) did not.</p>
$categories
<h2>Day by day</h2>
$days
<h2>Who used it</h2>
$teams
<h2>For which class of work</h2>
$classes
<h2>Who lent to whom</h2>
$loans
<h2>Why capacity was unused</h2>
$idle
<p>While capacity was unused, jobs may have waited or been refused. How often
each reason decided:</p>
$reasons
<h2>Latest refusals and waits</h2>
$decisions
</body>
</html>
'''
)


def render(account: report.Report) -> str:
    """Return the page; all names in it are escaped."""
    by_category = account.total_by(lambda row: row.use.category)
    capacity = account.capacity_ms
    used = sum(by_category.get(item, 0) for item in use.PRODUCTIVE)
    return _PAGE.substitute(
        period=_period(account),
        sources=_sources(account),
        balance=_balance(account),
        capacity=table.hours(capacity),
        used=table.hours(used),
        share=markup.percent(used, capacity),
        unused=table.hours(capacity - used),
        unused_share=markup.percent(capacity - used, capacity),
        categories=_categories(by_category, capacity),
        days=_bars(account, 'day', lambda row: table.day_text(row.day)),
        teams=_bars(account, 'team', lambda row: row.use.team_id),
        classes=_bars(account, 'class', lambda row: row.use.class_id),
        loans=_loans(account),
        idle=_idle(by_category, capacity),
        reasons=_reasons(account),
        decisions=_decisions(account),
    )


def _period(account: report.Report) -> str:
    days = sorted(account.capacity_ms_by_day)
    if not days:
        return 'no days'
    first, last = table.day_text(days[0]), table.day_text(days[-1])
    return first if first == last else f'{first} to {last}'


def _sources(account: report.Report) -> str:
    names = sorted({part.source for part in account.parts})
    shown = ', '.join(names[:_SOURCES_SHOWN]) or 'none'
    more = len(names) - _SOURCES_SHOWN
    return html.escape(shown + (f' and {more} more' if more > 0 else ''))


def _balance(account: report.Report) -> str:
    differences = account.imbalance_ms_by_day()
    if not differences:
        return '<p>The account balances: the uses add up to the capacity.</p>'
    days = ', '.join(table.day_text(day) for day in sorted(differences))
    return f'<p class="warning">The account does not balance on {days}.</p>'


def _categories(by_category: dict, capacity: int) -> str:
    rows = []
    for category in use.Category:
        spent = by_category.get(category, 0)
        name = f'{markup.key(category)} {category.value}'
        rows.append(
            [
                name,
                use.MEANING_BY_CATEGORY[category],
                table.hours(spent),
                markup.percent(spent, capacity),
            ]
        )
    return markup.stack(by_category, capacity) + markup.table(
        ['use', 'meaning', 'hours', 'share'],
        rows,
        numeric=2,
    )


def _bars(
    account: report.Report,
    title: str,
    key: typing.Callable[[report.Row], str],
) -> str:
    """Return a bar for each name; small ones are added up in one row."""
    spent_by_name: dict[str, dict[use.Category, int]] = {}
    for row in account.rows:
        spent = spent_by_name.setdefault(key(row), {})
        category = row.use.category
        spent[category] = spent.get(category, 0) + row.accelerator_ms
    spent_by_name.pop('', None)
    sums = {name: sum(spent.values()) for name, spent in spent_by_name.items()}
    by_size = sorted(sums, key=lambda name: (-sums[name], name))
    shown = by_size[:MAX_BARS]
    if title == 'day':
        shown = sorted(sums)[-MAX_BARS:]
    longest = max(sums.values(), default=0)
    rows = [
        [
            html.escape(name),
            markup.stack(spent_by_name[name], longest),
            table.hours(sums[name]),
        ] for name in shown
    ]
    rest = sums.keys() - set(shown)
    if rest:
        left = sum(sums[name] for name in rest)
        rows.append([f'{len(rest)} others', '', table.hours(left)])
    return markup.table([title, 'by use', 'hours'], rows, numeric=1)


def _loans(account: report.Report) -> str:
    loans = account.total_by(
        lambda row: (
            row.use.category is use.Category.LENT,
            row.use.lender_id,
            row.use.team_id,
        )
    )
    lent = [(ms, *key[1:]) for key, ms in loans.items() if key[0]]
    lent.sort(key=lambda loan: (-loan[0], loan[1:]))
    rows = [
        [html.escape(lender),
         html.escape(borrower),
         table.hours(spent)] for spent, lender, borrower in lent[:MAX_LISTED]
    ]
    rest = sum(loan[0] for loan in lent[MAX_LISTED:])
    if rest:
        rows.append(['others', '', table.hours(rest)])
    return markup.table(['lender', 'used by', 'hours'], rows, numeric=1)


def _idle(by_category: dict, capacity: int) -> str:
    unused = [item for item in use.Category if item not in use.PRODUCTIVE]
    rows = [
        [
            f'{markup.key(item)} {item.value}',
            use.MEANING_BY_CATEGORY[item],
            table.hours(by_category.get(item, 0)),
            markup.percent(by_category.get(item, 0), capacity),
        ] for item in sorted(unused, key=lambda it: -by_category.get(it, 0))
    ]
    return markup.table(
        ['cause', 'meaning', 'hours', 'share'], rows, numeric=2
    )


def _reasons(account: report.Report) -> str:
    count_by_reason: dict[tuple[str, str], int] = {}
    for item in account.reasons:
        key = (_TITLE_BY_KIND[item.kind], item.reason)
        count_by_reason[key] = count_by_reason.get(key, 0) + item.count
    ordered = sorted(count_by_reason, key=lambda key: -count_by_reason[key])
    rows = [
        [
            f'a job {title}',
            html.escape(reason), f'{count_by_reason[title, reason]:,}'
        ] for title, reason in ordered[:MAX_LISTED]
    ]
    return markup.table(['what happened', 'reason', 'times'], rows, numeric=1)


def _decisions(account: report.Report) -> str:
    shown = [
        item for item in reversed(account.decisions)
        if item.kind is not report.DecisionKind.PLACED
    ]
    rows = [
        [
            _time(item.at_ms),
            html.escape(item.team_id),
            html.escape(item.class_id),
            html.escape(item.job_id),
            html.escape(f'{_TITLE_BY_KIND[item.kind]}: {item.reason}'),
            html.escape(item.detail),
        ] for item in shown[:MAX_LISTED]
    ]
    titles = ['time in UTC', 'team', 'class', 'job', 'decision', 'detail']
    return markup.table(titles, rows, numeric=0)


def _time(at_ms: int) -> str:
    epoch = datetime.datetime(1970, 1, 1)
    time = epoch + datetime.timedelta(milliseconds=at_ms)
    return time.isoformat(' ', 'seconds')


__all__ = ('MAX_BARS', 'MAX_LISTED', 'render')
