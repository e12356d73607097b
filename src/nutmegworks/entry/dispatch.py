"""Sends a request to upstreams until one answers or the deadline passes."""
from __future__ import annotations

import abc
import dataclasses
import math
import random
import time
import typing

import curio
import result

from nutmegworks.adapters import upstreams
from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.limits import deadline
from nutmegworks.limits import retries
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.telemetry import metrics as telemetry_metrics
from nutmegworks.telemetry import spans

# Interval at which a request that no upstream accepts looks for one again.
SELECT_INTERVAL_SECONDS: typing.Final = 0.01
# Sent to callers if no upstream took the request or the retry budget is used
# up.
RETRY_AFTER_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SelectedUpstream:
    """The upstream that was selected for one attempt.

    :param send_before: monotonic seconds after which the request must not be
        sent any more.
    """

    upstream_id: ids.UpstreamId
    address: client.Address
    send_before: float = math.inf


class UpstreamSelector(abc.ABC):
    """Selects upstreams and records the results of attempts."""

    @abc.abstractmethod
    def select(
        self,
        service_id: ids.ServiceId,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId],
    ) -> SelectedUpstream | None:
        """Return an upstream that accepts work, or None.

        The attempt counts as outstanding until its result or cancellation
        is recorded.

        :param excluded: upstreams not to select.
        """

    @abc.abstractmethod
    def record_result(
        self,
        upstream_id: ids.UpstreamId,
        request_id: ids.RequestId,
        error: upstreams.CallError | None,
        *,
        leaving: bool = False,
    ) -> None:
        """Record the result of an attempt of a request.

        :param error: None if the attempt succeeded.
        :param leaving: whether the response announced that the upstream is
            leaving.
        """

    @abc.abstractmethod
    def record_cancellation(self, upstream_id: ids.UpstreamId) -> None:
        """Record an attempt that was cancelled before its result."""


@dataclasses.dataclass(slots=True)
class _Progress:
    """Results of the attempts of one request so far."""

    may_have_run: bool = False
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    last_error: upstreams.CallError | None = None

    def refusal(
        self,
        reason: verdict.Reason,
        detail: str,
        retry_after: float | None = None,
    ) -> entry_filter.Outcome:
        outcome = verdict.Verdict.DID_NOT_RUN
        if self.may_have_run:
            outcome = verdict.Verdict.MAY_HAVE_RUN
        return entry_filter.refuse(
            verdict.Refusal(outcome, reason, detail, retry_after)
        )


_REASON_BY_FAULT: typing.Final = {
    upstreams.CallFault.REFUSED: verdict.Reason.UPSTREAM_REFUSED,
    upstreams.CallFault.TIMEOUT: verdict.Reason.DEADLINE,
}


class Dispatcher:
    """Last step of the filter chain; retries within the retry budget."""

    def __init__(
        self,
        selector: UpstreamSelector,
        upstream_client: upstreams.UpstreamClient,
        budget: retries.RetryBudget,
        tracer: spans.Tracer,
        metrics: telemetry_metrics.Metrics,
        *,
        rng: random.Random,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._selector = selector
        self._client = upstream_client
        self._budget = budget
        self._rng = rng
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock

    async def dispatch(
        self,
        context: entry_context.RequestContext,
    ) -> entry_filter.Outcome:
        """Send the request to one upstream after another."""
        progress = _Progress()
        self._budget.request_started(context.entitled_class.class_id)
        while True:
            selected = await self._select(context, progress)
            if selected is None:
                return self._deadline_exceeded(context, progress)
            answer = await self._attempt(context, selected)
            if isinstance(answer, result.Ok):
                return result.Ok(_response(context, answer.ok_value))
            outcome = self._handle_error(
                context, progress, selected, answer.err_value
            )
            if outcome is not None:
                return outcome
            await curio.sleep(retries.backoff(context.attempts, self._rng))

    async def _select(
        self,
        context: entry_context.RequestContext,
        progress: _Progress,
    ) -> SelectedUpstream | None:
        while self._clock() < context.deadline:
            selected = self._selector.select(
                context.service_id, excluded=progress.excluded
            )
            if selected is not None:
                return selected
            # All available upstreams may have been tried, so they may be
            # selected again.
            progress.excluded.clear()
            await curio.sleep(SELECT_INTERVAL_SECONDS)
        return None

    def _deadline_exceeded(
        self,
        context: entry_context.RequestContext,
        progress: _Progress,
    ) -> entry_filter.Outcome:
        if progress.last_error is not None:
            return progress.refusal(
                verdict.Reason.DEADLINE,
                f'no time is left; last failure: {progress.last_error.detail}',
            )
        return progress.refusal(
            verdict.Reason.NO_UPSTREAM,
            f'no upstream of {context.service_id} took the request in time',
            RETRY_AFTER_SECONDS,
        )

    async def _attempt(
        self,
        context: entry_context.RequestContext,
        selected: SelectedUpstream,
    ) -> result.Result[upstreams.CallResponse, upstreams.CallError]:
        context.attempts += 1
        assert context.span is not None
        span = self._tracer.start(
            'upstream', traceparent=context.span.traceparent
        )
        idempotent = context.entitled_class.idempotent
        remaining = max(0.001, context.deadline - self._clock())
        timeout = deadline.attempt_timeout(remaining, may_retry=idempotent)
        call = upstreams.Call(
            ids.RequestId(f'{context.request_id}.{context.attempts}'),
            context.service_id,
            context.entitled_class.class_id,
            timeout,
            context.request.body,
            span.traceparent,
            selected.send_before,
        )
        try:
            # A non-idempotent request has only one attempt, so it must not
            # use an idle connection that may no longer work.
            answer = await self._client.run(
                selected.address, call, fresh=not idempotent
            )
        except BaseException:
            self._selector.record_cancellation(selected.upstream_id)
            raise
        error = answer.err()
        response = answer.ok()
        self._selector.record_result(
            selected.upstream_id,
            context.request_id,
            error,
            leaving=response is not None and response.leaving,
        )
        span.attributes['upstream'] = selected.upstream_id
        span.attributes['fault'] = error.fault.value if error else ''
        self._tracer.finish(span)
        return answer

    def _handle_error(
        self,
        context: entry_context.RequestContext,
        progress: _Progress,
        selected: SelectedUpstream,
        error: upstreams.CallError,
    ) -> entry_filter.Outcome | None:
        """Return a refusal, or None if another attempt may be made."""
        class_id = context.entitled_class.class_id
        self._metrics.attempts.inc(
            {
                'class': class_id,
                'result': error.fault.value
            }
        )
        progress.last_error = error
        may_have_run = error.verdict is not verdict.Verdict.DID_NOT_RUN
        progress.may_have_run = progress.may_have_run or may_have_run
        progress.excluded.add(selected.upstream_id)
        reason = _REASON_BY_FAULT.get(
            error.fault, verdict.Reason.UPSTREAM_FAILED
        )
        if may_have_run and not context.entitled_class.idempotent:
            return progress.refusal(reason, error.detail)
        if not self._budget.allow_retry(class_id):
            return progress.refusal(
                reason,
                f'the retry budget is used up: {error.detail}',
                RETRY_AFTER_SECONDS,
            )
        return None


def _response(
    context: entry_context.RequestContext,
    answer: upstreams.CallResponse,
) -> message.Response:
    fields = {
        'content-type': answer.content_type,
        headers.REQUEST_ID: context.request_id,
        headers.VERDICT: verdict.Verdict.RAN.value,
    }
    return message.Response(200, fields, answer.body)


__all__ = (
    'Dispatcher',
    'SelectedUpstream',
    'UpstreamSelector',
)
