"""Guarantees about responses, checked against the workers' records.

Each check yields a line for every violation and nothing if there is none.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from soak.callers import GONE, Answer, Story
from soak.record import Runs, SoakRecord, place_of
from soak.schedule import Disruption
from soak.site import STOP_S

FAILED: Final = 'failed'
VISIBLE_S: Final = 3.0
LOSS_SLACK_S: Final = 0.2


def told_wrongly(record: SoakRecord) -> Iterator[str]:
    """Find responses that the workers' records contradict (MIXED, LOST)."""
    for story in record.stories.values():
        for answer in story.answers:
            contradiction = _contradiction(record, story, answer)
            if contradiction:
                yield f'{contradiction}: {story.plan.job_id}, {answer}'


def completed_too_early(record: SoakRecord) -> Iterator[str]:
    """Find jobs reported as completed before all tasks were (MIXED)."""
    done_s: dict[str, float] = {}
    for end in record.done():
        done_s.setdefault(end.task, end.at_s)
    for story in record.stories.values():
        shown_s = story.completed_s
        if not shown_s:
            continue
        ended: Counter[str] = Counter(
            place_of(task).job_id
            for task, at_s in done_s.items()
            if at_s <= shown_s and task.startswith(story.plan.job_id)
        )
        if ended[story.plan.job_id] < story.plan.task_count:
            yield f'MIXED: {story.plan.job_id} completed, {ended.total()} done'


def lost(record: SoakRecord) -> Iterator[str]:
    """Find accepted jobs that did not reach their final state (LOST)."""
    runs = record.last_runs()
    for story in record.stories.values():
        if story.accepted_s and not story.is_cancel_sent:
            yield from _find_missing(story, runs)


def cut_off(record: SoakRecord) -> Iterator[str]:
    """Find requests that a planned stop left unanswered (LOST)."""
    for story in record.stories.values():
        for answer in story.answers:
            if _is_cut(answer) and _is_planned(record, answer):
                yield f'LOST: {story.plan.job_id}, cut off, {answer}'


def _find_missing(story: Story, runs: Runs) -> Iterator[str]:
    plan = story.plan
    if plan.is_endless:
        missing = [task for task in plan.first_tasks() if not runs[task]]
        if missing:
            yield f'LOST: {missing} do not run'
    elif story.answers[-1].state != plan.expected_end:
        yield f'LOST: {plan.job_id}, {story.answers[-1]}'


def _contradiction(record: SoakRecord, story: Story, answer: Answer) -> str:
    is_failed = answer.state == FAILED
    if is_failed and story.plan.expected_end != FAILED:
        return 'LOST, shown as failed'
    if answer.status != GONE or not story.accepted_s:
        return ''
    is_visible = answer.sent_s > story.accepted_s + VISIBLE_S
    is_calm = record.is_calm(story.accepted_s, answer.heard_s)
    return 'LOST, not known' if is_visible and is_calm else ''


def _is_cut(answer: Answer) -> bool:
    return not answer.status and answer.heard_s - answer.sent_s > LOSS_SLACK_S


def _is_planned(record: SoakRecord, answer: Answer) -> bool:
    """Return whether only a planned stop can have cut off a response."""
    is_calm = record.is_calm(answer.sent_s, answer.heard_s)
    return is_calm and any(
        _may_have_cut(fault, answer) for fault in record.disruptions
    )


def _may_have_cut(fault: Disruption, answer: Answer) -> bool:
    if fault.kind != 'PlannedStop' or fault.target != answer.instance:
        return False
    ends_s = fault.begins_s + STOP_S
    return fault.begins_s <= answer.heard_s <= ends_s


ANSWER_CHECKS: Final = (told_wrongly, completed_too_early, lost, cut_off)
