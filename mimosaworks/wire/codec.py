"""Turns attrs messages into Cap'n Proto bytes and back."""

import functools
import pathlib
import re
from typing import Any, TypeVar

import attrs
import capnp
import cattrs
from cattrs.gen import (
    make_dict_structure_fn,
    make_dict_unstructure_fn,
    override,
)

from mimosaworks.wire.framing import count_message_words

Message = TypeVar('Message')

_SCHEMA_DIR = pathlib.Path(__file__).parent
# The library reads at most so many words of a message, those that several of
# its pointers name counted again.
MAX_WORDS = 8388608
# What it counts for parts of a message that have no bytes.
EMPTY_WORDS = 64
_UNDERSCORED = re.compile('_([a-z])')


@functools.cache
def _struct(name: str) -> Any:
    schemas = (_load(str(path)) for path in _SCHEMA_DIR.glob('*.capnp'))
    return next(
        getattr(schema, name) for schema in schemas if hasattr(schema, name)
    )


@functools.cache
def _load(path: str) -> Any:
    return capnp.load(path)


def encode(message: object) -> bytes:
    """Return the bytes of the schema's struct named like message's class.

    Raises ValueError when a field has no room for what it holds.
    """
    name = type(message).__name__
    fields = _converter().unstructure(message)
    try:
        packed: bytes = _struct(name).new_message(**fields).to_bytes_packed()
    except (capnp.KjException, OverflowError) as exc:
        raise ValueError(f'the {name} can not be sent: {exc}') from exc
    return packed


def decode(message_type: type[Message], packed: bytes) -> Message:
    """Return the message of this type that the bytes hold.

    Raises ValueError when the bytes are no such message.
    """
    struct = _struct(message_type.__name__)
    try:
        most = 2 * count_message_words(packed) + EMPTY_WORDS
        fields = struct.from_bytes_packed(
            packed, traversal_limit_in_words=min(most, MAX_WORDS)
        ).to_dict()
        # A text or struct that was not sent has no key.
        return _converter().structure(fields, message_type)
    except (capnp.KjException, ValueError, KeyError) as exc:
        raise ValueError(f'not a {message_type.__name__}: {exc!r}') from exc


@functools.cache
def _converter() -> cattrs.Converter:
    """Return the converter between messages and the schema's names."""
    # The schema has checked all types: messages need no second check.
    made = cattrs.Converter(
        detailed_validation=False,
        unstruct_collection_overrides={tuple: list},
    )
    made.register_unstructure_hook_factory(
        attrs.has,
        lambda kind: make_dict_unstructure_fn(kind, made, **_renames(kind)),
    )
    made.register_structure_hook_factory(
        attrs.has,
        lambda kind: make_dict_structure_fn(kind, made, **_renames(kind)),
    )
    return made


def _renames(cls: type[Any]) -> dict[str, Any]:
    return {
        field.name: override(rename=_to_camel(field.name))
        for field in attrs.fields(cls)
    }


def _to_camel(name: str) -> str:
    return _UNDERSCORED.sub(lambda found: found.group(1).upper(), name)
