"""Which part of a prompt is blamed for crashes, without network."""

import types

import pytest

from mimosaworks.deployment import PromptPart, RequestProfile
from mimosaworks.dispatch import (
    CrashTracker,
    Suspect,
    TargetCrash,
    Verdict,
    suspect_keys,
)
from mimosaworks.dispatch.suspect_rules import find_keys
from tests.dispatch_world import make_entry

COMMON, DEADLY, BESIDE, NEW = 'common', 'deadly', 'beside', 'new'
PARTS = types.MappingProxyType({
    name: f'part:{name}' for name in (COMMON, DEADLY, BESIDE, NEW)
})


def keys(*parts: str, content: str = 'content') -> tuple[str, ...]:
    profile = RequestProfile(
        parts=tuple(PromptPart(part, 10) for part in (*parts, f'own-{content}'))
    )
    return suspect_keys(content, profile)


def crash(
    tracker: CrashTracker, target: str, *requests: tuple[str, ...]
) -> None:
    """Crash a target that ran these requests."""
    for request in requests:
        for key in request:
            tracker.record_crash(
                TargetCrash(key, target, 1), make_entry(target), 0
            )


def answer(tracker: CrashTracker, request: tuple[str, ...]) -> None:
    for key in request:
        tracker.record_success(key)


def verdicts(tracker: CrashTracker) -> dict[str, Verdict]:
    return {name: tracker.get_verdict(key) for name, key in PARTS.items()}


def test_the_last_part_of_a_prompt_is_no_key() -> None:
    assert keys(COMMON, DEADLY) == ('content', 'part:common', 'part:deadly')


# Guards against requests with a deadly part that crash targets without end,
# and against refusals of what only ran beside them or shares their beginning.
def test_a_part_that_is_in_no_answer_is_blamed() -> None:
    tracker = CrashTracker()
    answer(tracker, keys(COMMON, BESIDE))
    for number in range(3):
        crash(
            tracker,
            f't{number}',
            keys(COMMON, DEADLY, content=f'd{number}'),
            keys(COMMON, BESIDE, content=f'b{number}'),
        )
    assert verdicts(tracker) == {
        COMMON: Verdict.SERVED,
        DEADLY: Verdict.REFUSED,
        BESIDE: Verdict.SERVED,
        NEW: Verdict.SERVED,
    }
    cleared = {PARTS[COMMON], PARTS[BESIDE]}
    assert cleared.isdisjoint(tracker.suspects)


# Guards against crashes that count twice: for the part that is blamed, and for
# all that shared requests with it, whichever node reports first.
def test_later_crashes_under_a_blamed_part_count_for_no_other() -> None:
    tracker = CrashTracker()
    answer(tracker, keys(COMMON, BESIDE))
    for number in range(8):
        crash(tracker, f't{number}', keys(COMMON, DEADLY, content=f'{number}'))
        crash(tracker, f't{number}', keys(COMMON, BESIDE, content=f'b{number}'))
    assert tracker.get_verdict(PARTS[COMMON]) is Verdict.SERVED
    assert tracker.get_verdict(PARTS[BESIDE]) is Verdict.SERVED


# Guards against a part that is never blamed since it was in answers before.
def test_a_part_that_turns_deadly_is_refused_after_five_crashes() -> None:
    tracker = CrashTracker()
    answer(tracker, keys(DEADLY))
    for number in range(5):
        assert tracker.get_verdict(PARTS[DEADLY]) is Verdict.SERVED
        crash(tracker, f't{number}', keys(DEADLY, content=f'{number}'))
    assert tracker.get_verdict(PARTS[DEADLY]) is Verdict.REFUSED


# Guards against new parts that are refused for the crashes of another: one
# answer shows that they crash no target.
@pytest.mark.parametrize('crashes', [1, 2, 4])
def test_one_answer_clears_a_part(crashes: int) -> None:
    tracker = CrashTracker()
    for number in range(crashes):
        crash(tracker, f't{number}', keys(NEW, content=f'{number}'))
    answer(tracker, keys(NEW))
    assert tracker.get_verdict(PARTS[NEW]) is Verdict.SERVED
    assert PARTS[NEW] not in tracker.suspects


# Guards against refusals of all requests when one target crashes by itself.
def test_a_target_that_crashes_by_itself_blames_no_part_in_use() -> None:
    tracker = CrashTracker()
    for number in range(20):
        crash(tracker, 't', keys(COMMON, BESIDE, content=f'{number}'))
        answer(tracker, keys(COMMON, BESIDE))
    assert set(verdicts(tracker).values()) == {Verdict.SERVED}


def test_parts_of_an_earlier_holder_keep_their_crashes() -> None:
    tracker = CrashTracker()
    crashes = [
        TargetCrash(PARTS[DEADLY], f't{number}', 1) for number in (1, 2, 3)
    ]
    stored = Suspect(crashes={one.key: one for one in crashes})
    tracker.import_suspect(PARTS[DEADLY], stored, 0)
    assert tracker.get_verdict(PARTS[DEADLY]) is Verdict.REFUSED


def find_refused(tracker: CrashTracker, *parts: str) -> tuple[str, ...]:
    return find_keys(tracker, keys(*parts), Verdict.REFUSED)


# Guards against all requests of a caller refused with a deadly part that was
# in each request since the start: no answer tells the parts apart.
def test_a_request_without_the_other_part_shows_which_one_is_deadly() -> None:
    tracker = CrashTracker()
    for number in range(3):
        crash(tracker, f't{number}', keys(COMMON, DEADLY, content=f'{number}'))
    assert find_refused(tracker, COMMON, DEADLY)
    assert not find_refused(tracker, COMMON, BESIDE)
    answer(tracker, keys(COMMON, BESIDE))
    assert tracker.get_verdict(PARTS[COMMON]) is Verdict.SERVED
    assert find_refused(tracker, COMMON, DEADLY) == (PARTS[DEADLY],)


def test_a_crash_without_the_other_part_shows_it_too() -> None:
    tracker = CrashTracker()
    for number in range(3):
        crash(tracker, f't{number}', keys(DEADLY, NEW, content=f'{number}'))
    crash(tracker, 't4', keys(DEADLY, BESIDE, content='alone'))
    assert find_refused(tracker, DEADLY, BESIDE) == (PARTS[DEADLY],)
    assert not find_refused(tracker, COMMON, NEW)
