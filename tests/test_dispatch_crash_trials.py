"""Trial runs of refused fingerprints: when, how often, stored before."""

from mimosaworks.dispatch import CrashTracker, TrialPlanner, Verdict
from mimosaworks.dispatch.crash_tracker import (
    SUCCESSES_TO_RETRACT,
    SUSPECT_TTL_S,
)
from mimosaworks.dispatch.trial_planner import (
    TRIAL_DELAY_AFTER_SUCCESS_S,
    TRIAL_DELAY_S,
)
from tests.test_dispatch_crash_book import POISON, make_crash, make_tracker


def record_all_stored(trial_planner: TrialPlanner) -> None:
    """Report that the store holds all suspects of the tracker."""
    tracker = trial_planner.tracker
    trial_planner.record_stored_suspects(
        tracker.version, frozenset(tracker.suspects)
    )


# Guards against a request that stays refused although the targets crashed for
# other reasons while it ran: it gets one trial run.
def test_a_refused_fingerprint_gets_one_trial() -> None:
    trial_planner = TrialPlanner(make_tracker(3))
    tracker = trial_planner.tracker
    trial_times_s = []
    for now in range(int(SUSPECT_TTL_S)):
        trial_planner.plan_trial_if_due(POISON, now)
        record_all_stored(trial_planner)
        if trial_planner.has_stored_trial(POISON):
            trial_planner.record_trial_start(POISON, now)
            trial_times_s.append(now)
            tracker.record_crash(make_crash(3), None, now)
    assert trial_times_s == [TRIAL_DELAY_S]


# Guards against a frequent request that is refused for long because three
# targets crashed within moments, for other reasons, while it ran.
def test_a_fingerprint_that_succeeded_gets_an_earlier_trial() -> None:
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(
            make_crash(number, has_succeeded=number == 1), None, 0
        )
    trial_planner = TrialPlanner(tracker)
    trial_times_s = []
    for now in range(int(SUSPECT_TTL_S)):
        trial_planner.plan_trial_if_due(POISON, now)
        record_all_stored(trial_planner)
        if trial_planner.has_stored_trial(POISON):
            trial_planner.record_trial_start(POISON, now)
            trial_times_s.append(now)
    assert trial_times_s == [
        TRIAL_DELAY_AFTER_SUCCESS_S,
        TRIAL_DELAY_AFTER_SUCCESS_S + TRIAL_DELAY_S,
    ]


# Guards against a trial run that only its holder knows of, so that each new
# holder repeats it, and each repetition crashes a target.
def test_a_trial_is_stored_before_it_is_made() -> None:
    trial_planner = TrialPlanner(make_tracker(3))
    tracker = trial_planner.tracker
    record_all_stored(trial_planner)
    trial_planner.plan_trial_if_due(POISON, TRIAL_DELAY_S)
    assert not trial_planner.has_stored_trial(POISON)
    trial_planner.record_stored_suspects(
        tracker.version, frozenset(('other',))
    )  # no capacity in the row
    assert not trial_planner.has_stored_trial(POISON)
    next_planner = TrialPlanner(CrashTracker())
    next_planner.tracker.import_suspect(
        POISON, tracker.suspects[POISON], TRIAL_DELAY_S
    )
    next_planner.plan_trial_if_due(POISON, TRIAL_DELAY_S * 2)
    record_all_stored(next_planner)
    assert not next_planner.has_stored_trial(POISON)
    record_all_stored(trial_planner)
    assert trial_planner.has_stored_trial(POISON)


def test_an_unsent_trial_can_be_made_again() -> None:
    trial_planner = TrialPlanner(make_tracker(3))
    trial_planner.plan_trial_if_due(POISON, TRIAL_DELAY_S)
    record_all_stored(trial_planner)
    trial_planner.record_trial_start(POISON, TRIAL_DELAY_S)
    assert not trial_planner.has_stored_trial(POISON)
    trial_planner.restore_trial(POISON)
    assert trial_planner.has_stored_trial(POISON)


# Guards against a request that crashes targets occasionally and whose trial
# runs follow each other without a delay.
def test_the_delay_grows_with_each_succeeded_trial() -> None:
    trial_planner = TrialPlanner(make_tracker(3))
    tracker = trial_planner.tracker
    trial_times_s = []
    for now in range(int(TRIAL_DELAY_S * 25)):
        if tracker.get_verdict(POISON) is not Verdict.REFUSED:
            tracker.record_crash(make_crash(10 + now), None, now)
        trial_planner.plan_trial_if_due(POISON, now)
        record_all_stored(trial_planner)
        if trial_planner.has_stored_trial(POISON):
            trial_planner.record_trial_start(POISON, now)
            trial_times_s.append(now)
            tracker.record_success(POISON)
    assert trial_times_s == [10, 51, 212]


def test_a_succeeded_trial_retracts_one_crash_at_a_time() -> None:
    trial_planner = TrialPlanner(make_tracker(3))
    tracker = trial_planner.tracker
    trial_planner.plan_trial_if_due(POISON, TRIAL_DELAY_S)
    record_all_stored(trial_planner)
    trial_planner.record_trial_start(POISON, TRIAL_DELAY_S)
    tracker.record_success(POISON)
    assert tracker.get_verdict(POISON) is Verdict.SERIALIZED
    for _ in range(2 * SUCCESSES_TO_RETRACT):
        tracker.record_success(POISON)
    assert not tracker.suspects
