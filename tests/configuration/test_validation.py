from __future__ import annotations

from nutmegworks.configuration import document
from nutmegworks.configuration import validation


def test_every_fault_is_listed_at_once() -> None:
    """An operator must not find faults one failed attempt at a time."""
    entry = document.ClassEntry(
        service='s', target=float('nan'), guaranteed_share=0.7, teams=('x', )
    )
    other = document.ClassEntry(service='s', target=1, guaranteed_share=0.4)
    digest = 'a' * 64
    team = document.TeamEntry(
        token_digests=(digest, 'token'),
        guarantees={
            'east': ('0x8', '1x8'),
            'moon': ('1x8', )
        },
    )
    thief = document.TeamEntry(token_digests=(digest, ))
    faults = validation.validate(
        document.Document(
            classes={
                'a': entry,
                'B/': other
            },
            teams={
                't': team,
                'u': thief
            },
        ),
        domain_ids={'east'},
    )
    expected = [
        "'B/': the name is not valid", 'target must be', "'x' does not exist",
        'shares sum to 1.1', 'not SHA-256', "shares a token with team 't'",
        "'0x8' is not of the form", "'moon': the domain does not exist"
    ]
    assert len(faults) == len(expected), faults
    for text in expected:
        assert any(text in fault for fault in faults), text


def test_guarantee_check_sees_only_convertible_documents() -> None:
    """A proof over half-read shapes would approve what cannot fit."""
    team = document.TeamEntry(guarantees={'east': ('1x8', )})
    seen = []

    def check(configuration: object) -> list[str]:
        seen.append(configuration)
        return ['does not fit']

    good = document.Document(teams={'t': team})
    assert validation.validate(
        good, guarantee_check=check
    ) == ('does not fit', )
    bad = document.Document(teams={'T!': team})
    assert len(validation.validate(bad, guarantee_check=check)) == 1
    assert len(seen) == 1
