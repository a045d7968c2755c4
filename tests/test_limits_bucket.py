"""Tests of the token bucket."""

from mimosaworks.limits.bucket import Bucket


def test_a_clock_that_steps_backwards_grants_nothing() -> None:
    bucket = Bucket(10, 100, 50)
    bucket.advance(40)
    bucket.advance(50)
    assert bucket.level == 0
    bucket.advance(51)
    assert bucket.level == 10


def test_tokens_over_the_cap_are_lost() -> None:
    bucket = Bucket(10, 100, 0)
    bucket.advance(60)
    assert bucket.level == 100
    bucket.set_terms(10, 30)
    assert bucket.level == 30
    assert bucket.put(5) == 0
