from __future__ import annotations

import pathlib

from nutmegworks.accounting import example
from nutmegworks.accounting import table

_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'account.md'


def test_documentation_matches_the_output() -> None:
    """Guards against an outdated example in docs/account.md."""
    account = example.build()
    assert f'```\n{example.render_tables(account)}```' in _PAGE.read_text()
    for dimension in table.DIMENSIONS:
        last = table.render(account, dimension).splitlines()[-1]
        assert last.split()[-1] == '1,152.0'
