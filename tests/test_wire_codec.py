"""Tests of the message codec."""

import contextlib
import importlib
import random
import time
from collections.abc import Iterator
from typing import Any, get_origin

import attrs
import pytest

from mimosaworks.wire import (
    Ack,
    BeatReply,
    Demand,
    LeaseNotice,
    ModelDemand,
    PeerClient,
    ReplicaEntry,
    ReplicaMap,
    decode,
    encode,
)

SEED = 31
MUTATIONS = 2000
HEAD_BYTES = 24
MAX_READ_S = 0.5
MODELS = 600  # so that a message has several segments
# A reply whose lists have the same bytes, named again and again.
OVERLAPPING = bytes.fromhex(
    '101f500b0a010101030005c0f07f00011125071125071125071125061121e1111d07'
    '111d0611190711190696151650030450010150020750010250020111051211051201'
    '610162'
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


# Guards against a cut message that is taken for one with less in it.
@pytest.mark.parametrize('message', [Ack(accepted=True), *MESSAGES])
def test_a_cut_message_is_a_value_error(message: object) -> None:
    packed = encode(message)
    for size, _ in enumerate(packed):
        with pytest.raises(ValueError, match='not a'):
            decode(type(message), packed[:size])


def test_broken_bytes_are_a_value_error() -> None:
    with pytest.raises(ValueError, match='not a Demand'):
        decode(Demand, b'\xff\xff\xff')


def mutations(rng: random.Random, sound: bytes) -> Iterator[bytes]:
    """Return a message cut short, and with bytes changed, most in its head."""
    for _ in range(MUTATIONS):
        yield sound[: rng.randrange(len(sound))]
        changed = bytearray(sound)
        most = rng.choice((HEAD_BYTES, len(sound)))
        for _ in range(rng.randrange(1, 5)):
            changed[rng.randrange(most)] = rng.randrange(256)
        yield bytes(changed)


# Guards against a message of several segments that is cut short, or names
# others than it has: dropping it ended the process.
@pytest.mark.parametrize('kind', [Demand, ReplicaMap])
def test_a_large_message_that_is_malformed_is_a_value_error(kind: type) -> None:
    rng = random.Random(SEED)  # noqa: S311 -- no secrets
    models = tuple(
        ModelDemand(f'm-{one}', waiting_tokens=one) for one in range(MODELS)
    )
    sound = encode(Demand('r', models))
    assert decode(Demand, sound) == Demand('r', models)
    for packed in mutations(rng, sound):
        with contextlib.suppress(ValueError):
            decode(kind, packed)


# Guards against a number that ends what sends the message.
@pytest.mark.parametrize('tokens', [-1, 10**30])
def test_a_number_without_room_is_a_value_error(tokens: int) -> None:
    models = (ModelDemand('m', waiting_tokens=tokens),)
    with pytest.raises(ValueError, match='Demand'):
        encode(Demand('r', models))


# Guards against a text that was not sent and a KeyError that nobody expects.
def test_a_message_of_another_kind_is_a_value_error() -> None:
    with pytest.raises(ValueError, match='not a LeaseNotice'):
        decode(LeaseNotice, encode(Ack(accepted=True)))


# Guards against a short message of a peer that takes a node's memory and stops
# its event loop as it is read.
def test_a_message_that_names_its_bytes_again_and_again_is_refused() -> None:
    started_s = time.process_time()
    with pytest.raises(ValueError, match='not a BeatReply'):
        decode(BeatReply, OVERLAPPING)
    assert time.process_time() - started_s < MAX_READ_S


# Guards against a bound on that which refuses whole messages.
def test_long_lists_of_a_message_are_read() -> None:
    names = tuple(f'node-{one}' for one in range(MODELS))
    reply = BeatReply(is_holder=True, silent=names, members_gone=names)
    assert decode(BeatReply, encode(reply)) == reply
