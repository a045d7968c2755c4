"""Tests of the bench's count of wrongful refusals."""

import attrs

from bench.ideal_bucket import refused_inside_rate, served_share
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


def test_a_refusal_counts_if_the_tokens_were_there() -> None:
    outcomes = [
        _outcome(0),
        _outcome(0),
        _outcome(0.5, 'rate_exceeded'),
        _outcome(1.5, 'rate_exceeded'),
    ]
    found = refused_inside_rate(PROFILE, outcomes)
    assert [out.ask.at_s for out in found] == [1.5]


def test_the_share_counts_what_was_offered_within_the_grant() -> None:
    outcomes = [_outcome(0), _outcome(0), _outcome(0, 'rate_exceeded')]
    assert served_share(TENANT, outcomes, 0) == 1
    assert served_share(TENANT, outcomes, 1) == 2 / 3
