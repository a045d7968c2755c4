"""Rates of workspaces at the holder."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaworks.deployment import WorkspaceTerms
from mimosaworks.dispatch.limiter import Limiter

RATE = 100.0
BURST = 500.0


def make_limiter() -> Limiter:
    limiter = Limiter()
    terms = WorkspaceTerms('small', frozenset(), RATE, BURST)
    limiter.follow_terms({'small': terms}, 0)
    return limiter


def test_a_burst_passes_and_what_follows_waits() -> None:
    limiter = make_limiter()
    assert limiter.take('small', BURST, 0).is_taken
    refused = limiter.take('small', 100, 0)
    assert not refused.is_taken
    assert refused.wait_s == 1


def test_a_short_wait_for_tokens_is_taken_in_advance() -> None:
    limiter = make_limiter()
    limiter.take('small', BURST, 0)
    first = limiter.take('small', 50, 0, max_wait_s=1)
    second = limiter.take('small', 50, 0, max_wait_s=1)
    third = limiter.take('small', 50, 0, max_wait_s=1)
    assert (first.is_taken, first.wait_s) == (True, 0.5)
    assert (second.is_taken, second.wait_s) == (True, 1)
    assert not third.is_taken


def test_a_request_larger_than_the_burst_passes_a_full_bucket_only() -> None:
    limiter = make_limiter()
    assert limiter.take('small', 2 * BURST, 0).is_taken
    assert not limiter.take('small', 2 * BURST, 1).is_taken


def test_a_workspace_without_a_rate_has_no_limit() -> None:
    limiter = make_limiter()
    terms = WorkspaceTerms('free', frozenset(), 0, 0)
    limiter.follow_terms({'free': terms}, 0)
    assert limiter.take('free', 10**9, 0).is_taken


def test_a_new_holder_starts_from_the_levels_known_last() -> None:
    limiter = make_limiter()
    limiter.cap_levels({'small': -100}, 0)
    assert limiter.take('small', 100, 0).wait_s == 2


@given(
    st.lists(
        st.tuples(
            st.floats(0, 3), st.floats(1, 400), st.floats(0, 2), st.booleans()
        ),
        max_size=40,
    )
)
def test_no_window_holds_more_than_rate_and_burst(
    asks: list[tuple[float, float, float, bool]],
) -> None:
    limiter = make_limiter()
    now: float = 0
    sent: list[tuple[float, float]] = []
    for pause_s, cost, patience_s, is_given_back in asks:
        now += pause_s
        taken = limiter.take('small', cost, now, patience_s)
        if taken.is_taken and is_given_back:
            limiter.give_back('small', cost)
        elif taken.is_taken:
            sent.append((now + taken.wait_s, cost))
    for begin, _ in sent:
        for end, _ in sent:
            spent = sum(took for at, took in sent if begin <= at <= end)
            assert spent <= BURST + RATE * max(end - begin, 0) + 1e-3
