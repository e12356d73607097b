"""Validates a whole document and reports all faults at once."""
from __future__ import annotations

import collections
import math
import re
import typing

from nutmegworks.configuration import document as documents
from nutmegworks.model import ids
from nutmegworks.model import shape
from nutmegworks.model import work

# Checks that the guaranteed shapes fit the failure domains; returns one
# sentence for each that does not.
GuaranteeCheck = typing.Callable[
    [work.Configuration],
    typing.Iterable[str],
]

# Names become parts of paths, log lines and metric labels.
_NAME: typing.Final = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
_DIGEST: typing.Final = re.compile(r'[0-9a-f]{64}')
# Decimal shares are rounded in binary, so a sum that should be 1, such as ten
# times 0.1, may differ from 1 by a rounding error.
_SHARE_TOLERANCE: typing.Final = 1e-9


def accept_all(configuration: work.Configuration) -> tuple[str, ...]:
    """Accept every guarantee."""
    return ()


def validate(
    document: documents.Document,
    *,
    guarantee_check: GuaranteeCheck = accept_all,
    domain_ids: typing.Container[str] | None = None,
) -> tuple[str, ...]:
    """Return one sentence per fault; an empty tuple if it is valid.

    :param domain_ids: the failure domains that exist; None to accept any.
    """
    faults = [
        *_name_faults(document),
        *_class_faults(document),
        *_share_faults(document),
        *_token_faults(document),
        *_shape_faults(document, domain_ids),
    ]
    if not faults:
        configuration = documents.to_configuration(
            document, ids.ConfigSequence(0)
        )
        faults.extend(guarantee_check(configuration))
    return tuple(faults)


def _name_faults(document: documents.Document) -> typing.Iterator[str]:
    for kind, names in (
        ('class', document.classes),
        ('team', document.teams),
    ):
        for name in names:
            if not _NAME.fullmatch(name):
                yield f'{kind} {name!r}: the name is not valid'


def _class_faults(document: documents.Document) -> typing.Iterator[str]:
    for name, entry in document.classes.items():
        if not _NAME.fullmatch(entry.service):
            yield f'class {name!r}: the service name is not valid'
        if not (math.isfinite(entry.target) and entry.target > 0):
            yield f'class {name!r}: the target must be a positive time'
        if not 0 <= entry.guaranteed_share <= 1:
            yield f'class {name!r}: the share must be between 0 and 1'
        for team in entry.teams:
            if team not in document.teams:
                yield f'class {name!r}: team {team!r} does not exist'


def _share_faults(document: documents.Document) -> typing.Iterator[str]:
    share_by_service: dict[str, float] = collections.defaultdict(float)
    for entry in document.classes.values():
        share_by_service[entry.service] += entry.guaranteed_share
    for service, share in share_by_service.items():
        if share > 1 + _SHARE_TOLERANCE:
            yield f'service {service!r}: shares sum to {share:.4g}, above 1'


def _token_faults(document: documents.Document) -> typing.Iterator[str]:
    team_by_digest: dict[str, str] = {}
    for name, entry in document.teams.items():
        for digest in entry.token_digests:
            if not _DIGEST.fullmatch(digest):
                yield f'team {name!r}: a token digest is not SHA-256'
            owner = team_by_digest.setdefault(digest, name)
            if owner != name:
                yield f'team {name!r}: shares a token with team {owner!r}'
        if len(set(entry.token_digests)) < len(entry.token_digests):
            yield f'team {name!r}: a token is listed twice'


def _shape_faults(
    document: documents.Document,
    domain_ids: typing.Container[str] | None,
) -> typing.Iterator[str]:
    for name, entry in document.teams.items():
        for domain, texts in entry.guarantees.items():
            location = f'team {name!r}, domain {domain!r}'
            if not _NAME.fullmatch(domain):
                yield f'{location}: the domain name is not valid'
            elif domain_ids is not None and domain not in domain_ids:
                yield f'{location}: the domain does not exist'
            for text in texts:
                try:
                    shape.Shape.parse(text)
                except shape.ShapeError as error:
                    yield f'{location}: {error}'


__all__ = ('GuaranteeCheck', 'accept_all', 'validate')
