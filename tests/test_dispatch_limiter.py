"""Token rate limits of workspaces at the lease holder."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaworks.deployment import WorkspaceConfig
from mimosaworks.dispatch.workspace_limiter import WorkspaceLimiter

RATE = 100.0
BURST = 500.0


def make_limiter() -> WorkspaceLimiter:
    limiter = WorkspaceLimiter()
    workspace_cfg = WorkspaceConfig('small', frozenset(), RATE, BURST)
    limiter.apply_workspaces({'small': workspace_cfg}, 0)
    return limiter


def test_requests_after_a_burst_wait() -> None:
    limiter = make_limiter()
    assert limiter.acquire('small', BURST, 0).is_acquired
    refused = limiter.acquire('small', 100, 0)
    assert not refused.is_acquired
    assert refused.wait_s == 1


def test_tokens_are_acquired_in_advance_for_a_short_wait() -> None:
    limiter = make_limiter()
    limiter.acquire('small', BURST, 0)
    first = limiter.acquire('small', 50, 0, max_wait_s=1)
    second = limiter.acquire('small', 50, 0, max_wait_s=1)
    third = limiter.acquire('small', 50, 0, max_wait_s=1)
    assert (first.is_acquired, first.wait_s) == (True, 0.5)
    assert (second.is_acquired, second.wait_s) == (True, 1)
    assert not third.is_acquired


def test_a_request_larger_than_the_burst_passes_a_full_bucket_only() -> None:
    limiter = make_limiter()
    assert limiter.acquire('small', 2 * BURST, 0).is_acquired
    assert not limiter.acquire('small', 2 * BURST, 1).is_acquired


def test_a_workspace_without_a_rate_has_no_limit() -> None:
    limiter = make_limiter()
    workspace_cfg = WorkspaceConfig('free', frozenset(), 0, 0)
    limiter.apply_workspaces({'free': workspace_cfg}, 0)
    assert limiter.acquire('free', 10**9, 0).is_acquired


def test_a_new_holder_starts_from_the_last_known_balances() -> None:
    limiter = make_limiter()
    limiter.cap_balances({'small': -100}, 0)
    assert limiter.acquire('small', 100, 0).wait_s == 2


@given(
    st.lists(
        st.tuples(
            st.floats(0, 3), st.floats(1, 400), st.floats(0, 2), st.booleans()
        ),
        max_size=40,
    )
)
def test_no_window_exceeds_rate_and_burst(
    assignment_reqs: list[tuple[float, float, float, bool]],
) -> None:
    limiter = make_limiter()
    now: float = 0
    charged_costs: list[tuple[float, float]] = []
    for pause_s, cost, max_wait_s, is_refunded in assignment_reqs:
        now += pause_s
        acquisition = limiter.acquire('small', cost, now, max_wait_s)
        if acquisition.is_acquired and is_refunded:
            limiter.refund('small', cost)
        elif acquisition.is_acquired:
            charged_costs.append((now + acquisition.wait_s, cost))
    for begin, _ in charged_costs:
        for crash, _ in charged_costs:
            charged_tokens = sum(
                took for at, took in charged_costs if begin <= at <= crash
            )
            assert charged_tokens <= BURST + RATE * max(crash - begin, 0) + 1e-3
