"""Tests of the token bucket."""

from mimosaworks.limits.token_bucket import TokenBucket


def test_a_clock_that_steps_backwards_grants_nothing() -> None:
    bucket = TokenBucket(10, 100, 50)
    bucket.refill(40)
    bucket.refill(50)
    assert bucket.level == 0
    bucket.refill(51)
    assert bucket.level == 10


def test_tokens_over_the_cap_are_lost() -> None:
    bucket = TokenBucket(10, 100, 0)
    bucket.refill(60)
    assert bucket.level == 100
    bucket.set_limits(10, 30)
    assert bucket.level == 30
    assert bucket.add_tokens(5) == 0
