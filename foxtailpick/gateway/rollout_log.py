"""Formats decisions and metrics of roll-outs."""

import typing

from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollouts as rollouts_lib
from foxtailpick.gateway import context


def format_metrics(gw: context.Gateway) -> typing.Iterator[str]:
    """Yield the metrics of the latest roll-outs in text format.

    :param gw: the gateway.
    """
    for service, rollout in gw.rollouts.items():
        labels = f'service="{service}",version="{rollout.order.version}"'
        name = 'foxtailpick_rollout'
        state = rollout.state.value
        yield f'{name}{{{labels},state="{state}"}} 1'
        yield f'{name}_condemned{{{labels}}} {int(rollout.is_condemned)}'
        share = rollouts_lib.get_share(
            rollout, rollouts_lib.find_step(rollout, gw.now_ms()), ''
        )
        yield f'{name}_share{{{labels}}} {share:g}'
        yield f'{name}_sent{{{labels}}} {rollout.exposure.sent}'
        yield f'{name}_sent_new{{{labels}}} {rollout.exposure.sent_new}'
        for is_old in (False, True):
            tallies = [
                tally
                for (_, _, group), tally in rollout.evidence.tallies.items()
                if (group == rollout_evidence.OLD_GROUP) is is_old
            ]
            side = f'{labels},side="{"old" if is_old else "new"}"'
            answers = sum(tally.answers for tally in tallies)
            failures = sum(tally.failures for tally in tallies)
            yield f'{name}_answers{{{side}}} {answers}'
            yield f'{name}_failures{{{side}}} {failures}'


def format_decision(
    decision: rollouts_lib.Decision,
) -> dict[str, typing.Any]:
    """Return the fields of a log line.

    :param decision: the decision.
    """
    fields: dict[str, typing.Any] = {
        'action': decision.action.value,
        'reason': decision.reason.value,
        'share': round(decision.share, 3),
        'sent': decision.sent,
        'sent_new': decision.sent_new,
        'totals_age_ms': decision.totals_age_ms,
    }
    verdict = decision.verdict
    if verdict is not None:
        fields.update(
            standing=verdict.standing.value,
            route=verdict.route,
            kind=verdict.kind.value,
            windows=verdict.windows,
            bad=verdict.bad,
            answers=verdict.answers,
            old_share=round(verdict.old_share, 4),
            old_answers=verdict.old_answers,
            chance=verdict.chance,
            is_old_earlier=verdict.is_old_earlier,
        )
    return fields
