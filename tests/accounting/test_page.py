from __future__ import annotations

import html.parser
import re

import msgspec

from nutmegworks.accounting import example
from nutmegworks.accounting import ledger
from nutmegworks.accounting import page
from nutmegworks.accounting import report
from nutmegworks.accounting import use

_BAR = re.compile(r'x="([\d.]+)" y="0" width="([\d.]+)"')
_VOID_TAGS = ('meta', )


class _Checker(html.parser.HTMLParser):
    """Collects the tags; fails on an end tag that does not match."""

    def __init__(self) -> None:
        super().__init__()
        self.open, self.seen = [], []

    def handle_starttag(self, tag, attrs) -> None:
        self.seen.append(tag)
        if tag not in _VOID_TAGS:
            self.open.append(tag)

    def handle_endtag(self, tag) -> None:
        assert self.open.pop() == tag


def test_page_is_well_formed_escaped_and_self_contained() -> None:
    """Guards against names that run as a script in the browser."""
    account = ledger.Ledger('<b>east', 0)
    name = '"><script>alert(1)</script>'
    for number in range(1100):
        item = use.running(f'{number}{name}', name, f'{number}-{name}')
        account.change(None, item, 1 + number % 7, number)
    kind = report.DecisionKind.REFUSED
    account.record(report.Decision(9, kind, name, name, name, name, name))
    text = page.render(account.today(3_600_000))
    checker = _Checker()
    checker.feed(text)
    assert not checker.open and checker.seen.count('svg') > page.MAX_BARS
    assert not {'script', 'b>east', 'img', 'link'} & set(checker.seen)
    assert 'http' not in text and 'url(' not in text
    assert f'{1100 - page.MAX_BARS} others' in text
    assert len(text) < 200_000


def test_bar_covers_the_whole_capacity() -> None:
    """Guards against a bar that omits some of the capacity."""
    account = example.build()
    text = page.render(account)
    svg = text[text.index('<svg'):text.index('</svg>')]
    bars = [tuple(map(float, bar)) for bar in _BAR.findall(svg)]
    ends = [x + width for x, width in bars]
    assert abs(ends[-1] - 1000) < 0.05
    assert all(abs(a - b[0]) < 0.05 for a, b in zip(ends, bars[1:]))
    # 511.5 + 156 + 32 of 48 x 24 hours ran jobs.
    assert '<b>1,152.0</b>' in text and '<b>699.5</b> (60.7%)' in text
    # A missing row is reported, and an empty report is rendered.
    incomplete = msgspec.structs.replace(account, rows=account.rows[1:])
    assert 'does not balance on 2026-12-04' in page.render(incomplete)
    assert 'no days' in page.render(report.Report())
