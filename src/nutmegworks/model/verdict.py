"""Refusals of requests and jobs, and whether the request may have run."""
from __future__ import annotations

import dataclasses
import enum
import typing


class Verdict(enum.Enum):
    """Whether a request or job has run, which may be unknown."""

    DID_NOT_RUN = 'did-not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(enum.Enum):
    """Why a request or job was refused."""

    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not-found'
    UNKNOWN_CLASS = 'unknown-class'
    UNKNOWN_SERVICE = 'unknown-service'
    KEY_REQUIRED = 'key-required'
    KEY_EXPIRED = 'key-expired'
    KEY_REUSED = 'key-reused'
    IN_PROGRESS = 'in-progress'
    NOT_READY = 'not-ready'
    STOPPING = 'stopping'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NO_UPSTREAM = 'no-upstream'
    UPSTREAM_REFUSED = 'upstream-refused'
    UPSTREAM_FAILED = 'upstream-failed'
    STORE_UNAVAILABLE = 'store-unavailable'
    NOT_OWNER = 'not-owner'
    NEVER_FITS = 'never-fits'
    ANSWER_LOST = 'answer-lost'
    CONFLICT = 'conflict'
    INTERNAL = 'internal'


HTTP_STATUS_BY_REASON: typing.Final = {
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_CLASS: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 504,
    Reason.NO_UPSTREAM: 503,
    Reason.UPSTREAM_REFUSED: 503,
    Reason.UPSTREAM_FAILED: 502,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.NOT_OWNER: 503,
    Reason.NEVER_FITS: 422,
    Reason.ANSWER_LOST: 502,
    Reason.CONFLICT: 409,
    Reason.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request gets no response from an upstream.

    :param verdict: whether the request may have run.
    :param detail: a sentence for the caller to read.
    :param retry_after: seconds after which a retry may succeed; None if
        waiting does not help.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ''
    retry_after: float | None = None

    @property
    def http_status(self) -> int:
        return HTTP_STATUS_BY_REASON[self.reason]


def did_not_run(
    reason: Reason,
    detail: str = '',
    *,
    retry_after: float | None = None,
) -> Refusal:
    """Return a refusal for a request of which no byte was forwarded."""
    return Refusal(Verdict.DID_NOT_RUN, reason, detail, retry_after)


def may_have_run(
    reason: Reason,
    detail: str = '',
    *,
    retry_after: float | None = None,
) -> Refusal:
    """Return a refusal for a request that may have reached an upstream."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail, retry_after)


__all__ = (
    'HTTP_STATUS_BY_REASON',
    'Reason',
    'Refusal',
    'Verdict',
    'did_not_run',
    'may_have_run',
)
