"""Tests of the bench's comparison with an ideal bucket."""

import attrs
import pytest

from bench.ideal_bucket import count_served
from bench.outcome import Outcome
from bench.planned_request import PlannedRequest
from bench.profile import Tenant
from bench.profiles import read_profile

TENANT = Tenant('w', rate_tokens_per_s=1, burst_tokens=2, load_share=1)
PROFILE = attrs.evolve(read_profile('zhetysu'), tenants=(TENANT,))


def _outcome(at_s: float, code: str = '') -> Outcome:
    ask = PlannedRequest(at_s, 'w', '', '', 0, 1)
    status = 429 if code else 200
    return Outcome(ask, status, code, False, 0, 0)


def test_a_refusal_outside_the_rate_is_not_wrongful() -> None:
    outcomes = [_outcome(0), _outcome(0), _outcome(0, 'rate_exceeded')]
    served = count_served(PROFILE, outcomes)['w']
    assert not served.wrongful
    assert served.share == pytest.approx(1)


def test_it_does_not_matter_which_of_too_many_requests_is_served() -> None:
    outcomes = [_outcome(0, 'rate_exceeded'), _outcome(0), _outcome(0)]
    assert not count_served(PROFILE, outcomes)['w'].wrongful


def test_a_refusal_inside_the_rate_is_wrongful() -> None:
    outcomes = [_outcome(0), _outcome(0, 'model_not_ready')]
    served = count_served(PROFILE, outcomes)['w']
    assert served.wrongful == 1
    assert served.share == pytest.approx(0.5)
