from __future__ import annotations

from nutmegworks.configuration import document
from nutmegworks.configuration import validation


def test_all_faults_are_listed_at_once() -> None:
    """Guards against faults that show only after others are mended."""
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
    other_team = document.TeamEntry(token_digests=(digest, ))
    faults = validation.validate(
        document.Document(
            classes={
                'a': entry,
                'B/': other
            },
            teams={
                't': team,
                'u': other_team
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


def test_guarantee_check_gets_only_valid_documents() -> None:
    """Guards against a guarantee check on an invalid document.

    A check of only some shapes would accept guarantees that do not fit.
    """
    team = document.TeamEntry(guarantees={'east': ('1x8', )})
    checked = []

    def check(configuration: object) -> list[str]:
        checked.append(configuration)
        return ['does not fit']

    valid = document.Document(teams={'t': team})
    assert validation.validate(
        valid, guarantee_check=check
    ) == ('does not fit', )
    invalid = document.Document(teams={'T!': team})
    assert len(validation.validate(invalid, guarantee_check=check)) == 1
    assert len(checked) == 1
