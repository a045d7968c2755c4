"""Tests of the message codec."""

import pytest

from mimosaworks.wire import (
    Demand,
    ModelDemand,
    ReplicaEntry,
    ReplicaMap,
    decode,
    encode,
)

MESSAGES = (
    ReplicaMap(3, 4, 'h', (ReplicaEntry('m', 't', 'ready', ('x',)),)),
    Demand('r', (ModelDemand('m', waiting_tokens=5),)),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_decode_returns_what_was_encoded(message: object) -> None:
    assert decode(type(message), encode(message)) == message


def test_broken_bytes_are_a_value_error() -> None:
    with pytest.raises(ValueError, match='not a Demand'):
        decode(Demand, b'\xff\xff\xff')
