"""Renders a report as one self-contained HTML page."""
from __future__ import annotations

import datetime
import html
import string
import typing

from nutmegworks.accounting import markup
from nutmegworks.accounting import report
from nutmegworks.accounting import table
from nutmegworks.accounting import use

# Charts and lists are cut to a number of rows that a person still reads.
MAX_BARS: typing.Final = 40
MAX_LIST_ROWS: typing.Final = 50
_MAX_SOURCES: typing.Final = 8

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
    """Return the page as HTML; all names in it are escaped."""
    by_category = account.total_by(lambda row: row.use.category)
    capacity = account.capacity_ms
    used = sum(by_category.get(item, 0) for item in use.PRODUCTIVE)
    return _PAGE.substitute(
        period=_period(account),
        sources=_sources(account),
        balance=_balance_check(account),
        capacity=table.hours(capacity),
        used=table.hours(used),
        share=markup.percent(used, capacity),
        unused=table.hours(capacity - used),
        unused_share=markup.percent(capacity - used, capacity),
        categories=_categories(by_category, capacity),
        days=_bar_chart(account, 'day', lambda row: table.day_text(row.day)),
        teams=_bar_chart(account, 'team', lambda row: row.use.team_id),
        classes=_bar_chart(account, 'class', lambda row: row.use.class_id),
        loans=_loans(account),
        idle=_unused(by_category, capacity),
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
    shown = ', '.join(names[:_MAX_SOURCES]) or 'none'
    more = len(names) - _MAX_SOURCES
    return html.escape(shown + (f' and {more} more' if more > 0 else ''))


def _balance_check(account: report.Report) -> str:
    differences = account.imbalance_ms_by_day()
    if not differences:
        return '<p>The account balances: the uses add up to the capacity.</p>'
    days = ', '.join(table.day_text(day) for day in sorted(differences))
    return f'<p class="warning">The account does not balance on {days}.</p>'


def _categories(by_category: dict, capacity: int) -> str:
    rows = []
    for category in use.Category:
        ms = by_category.get(category, 0)
        name = f'{markup.legend_swatch(category)} {category.value}'
        rows.append(
            [
                name,
                use.MEANING_BY_CATEGORY[category],
                table.hours(ms),
                markup.percent(ms, capacity),
            ]
        )
    return markup.stacked_bar(by_category, capacity) + markup.table(
        ['use', 'meaning', 'hours', 'share'],
        rows,
        numeric=2,
    )


def _bar_chart(
    account: report.Report,
    title: str,
    key: typing.Callable[[report.Row], str],
) -> str:
    """Return a bar for each name; names beyond the limit share one row."""
    sums_by_name: dict[str, dict[use.Category, int]] = {}
    for row in account.rows:
        sums = sums_by_name.setdefault(key(row), {})
        category = row.use.category
        sums[category] = sums.get(category, 0) + row.accelerator_ms
    sums_by_name.pop('', None)
    total_by_name = {
        name: sum(sums.values())
        for name, sums in sums_by_name.items()
    }
    by_size = sorted(
        total_by_name, key=lambda name: (-total_by_name[name], name)
    )
    shown = by_size[:MAX_BARS]
    if title == 'day':
        shown = sorted(total_by_name)[-MAX_BARS:]
    longest = max(total_by_name.values(), default=0)
    rows = [
        [
            html.escape(name),
            markup.stacked_bar(sums_by_name[name], longest),
            table.hours(total_by_name[name]),
        ] for name in shown
    ]
    others = total_by_name.keys() - set(shown)
    if others:
        others_ms = sum(total_by_name[name] for name in others)
        rows.append([f'{len(others)} others', '', table.hours(others_ms)])
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
         table.hours(ms)] for ms, lender, borrower in lent[:MAX_LIST_ROWS]
    ]
    others_ms = sum(loan[0] for loan in lent[MAX_LIST_ROWS:])
    if others_ms:
        rows.append(['others', '', table.hours(others_ms)])
    return markup.table(['lender', 'used by', 'hours'], rows, numeric=1)


def _unused(by_category: dict, capacity: int) -> str:
    unused = [item for item in use.Category if item not in use.PRODUCTIVE]
    rows = [
        [
            f'{markup.legend_swatch(item)} {item.value}',
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
        ] for title, reason in ordered[:MAX_LIST_ROWS]
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
        ] for item in shown[:MAX_LIST_ROWS]
    ]
    titles = ['time in UTC', 'team', 'class', 'job', 'decision', 'detail']
    return markup.table(titles, rows, numeric=0)


def _time(at_ms: int) -> str:
    epoch = datetime.datetime(1970, 1, 1)
    time = epoch + datetime.timedelta(milliseconds=at_ms)
    return time.isoformat(' ', 'seconds')


__all__ = ('MAX_BARS', 'MAX_LIST_ROWS', 'render')
