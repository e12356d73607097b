"""Finds the class of a request and checks that the team may use it."""
from __future__ import annotations

import result

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.model import ids
from nutmegworks.model import published
from nutmegworks.model import verdict
from nutmegworks.model import work


def find_class(
    configuration: work.Configuration,
    class_id: str,
    team_id: ids.TeamId,
) -> result.Result[work.WorkClass, verdict.Refusal]:
    """Return the class, or a refusal.

    The refusal says that the class does not exist or that the team is not
    entitled to it.
    """
    work_class = configuration.class_by_id.get(ids.ClassId(class_id))
    if work_class is None:
        return result.Err(
            verdict.did_not_run(
                verdict.Reason.UNKNOWN_CLASS,
                f'there is no class {class_id!r}',
            )
        )
    if team_id not in work_class.team_ids:
        return result.Err(
            verdict.did_not_run(
                verdict.Reason.FORBIDDEN,
                f'team {team_id} is not entitled to class {class_id}',
            )
        )
    return result.Ok(work_class)


class ClassifyFilter(entry_filter.Filter):

    def __init__(
        self,
        configuration: published.Published[work.Configuration],
    ) -> None:
        self._configuration = configuration

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        configuration = self._configuration.value
        assert configuration is not None
        class_id = context.request.headers.get(headers.CLASS, '')
        class_result = find_class(configuration, class_id, context.team_id)
        if isinstance(class_result, result.Err):
            return class_result
        context.work_class = class_result.ok_value
        if context.work_class.service_id != context.service_id:
            return entry_filter.refuse(
                verdict.did_not_run(
                    verdict.Reason.UNKNOWN_SERVICE,
                    f'class {class_id} does not belong to service '
                    f'{context.service_id!r}',
                )
            )
        return await proceed(context)


__all__ = ('ClassifyFilter', 'find_class')
