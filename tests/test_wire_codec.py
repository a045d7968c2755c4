"""Tests of the message codec."""

import importlib
from typing import Any, get_origin

import attrs
import pytest

from mimosaworks.wire import (
    Demand,
    ModelDemand,
    PeerClient,
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


def messages() -> list[type]:
    """Return the exported messages."""
    wire = importlib.import_module('mimosaworks.wire')
    exported = (getattr(wire, name) for name in wire.__all__)
    return [
        one
        for one in exported
        if isinstance(one, type) and attrs.has(one) and one is not PeerClient
    ]


# Guards against a field that the schema lacks, without which no message of its
# kind can be sent.
@pytest.mark.parametrize('kind', messages())
def test_a_message_with_all_its_fields_can_be_sent(kind: type) -> None:
    message = _empty(kind)
    assert decode(kind, encode(message)) == message


def _empty(kind: type) -> Any:
    """Return a message with nothing in its fields, or an empty value."""
    if attrs.has(kind):
        attrs.resolve_types(kind)
        fields = attrs.fields(kind)
        return kind(**{field.name: _empty(field.type) for field in fields})
    return (get_origin(kind) or kind)()


def test_broken_bytes_are_a_value_error() -> None:
    with pytest.raises(ValueError, match='not a Demand'):
        decode(Demand, b'\xff\xff\xff')
