"""Turns attrs messages into Cap'n Proto bytes and back."""

import functools
import pathlib
import re
from typing import Any, TypeVar

import attrs
import capnp
import cattrs

Message = TypeVar('Message')

_SCHEMA_DIR = pathlib.Path(__file__).parent
_UNDERSCORED = re.compile('_([a-z])')
_CAPITAL = re.compile('([A-Z])')


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
    """Return the bytes of the schema's struct named like message's class."""
    struct = _struct(type(message).__name__)
    fields = _rename(attrs.asdict(message), _to_camel)  # type: ignore[arg-type]
    packed: bytes = struct.new_message(**fields).to_bytes_packed()
    return packed


def decode(message_type: type[Message], packed: bytes) -> Message:
    """Return the message of this type that the bytes hold.

    Raises ValueError when the bytes are no such message.
    """
    struct = _struct(message_type.__name__)
    try:
        fields = struct.from_bytes_packed(packed).to_dict()
    except (capnp.KjException, ValueError) as exc:
        raise ValueError(f'not a {message_type.__name__}: {exc}') from exc
    return cattrs.structure(_rename(fields, _to_snake), message_type)


def _rename(node: Any, rename: Any) -> Any:
    if isinstance(node, dict):
        pairs = node.items()
        return {rename(name): _rename(sub, rename) for name, sub in pairs}
    if isinstance(node, list | tuple):
        return [_rename(sub, rename) for sub in node]
    return node


@functools.cache
def _to_camel(name: str) -> str:
    return _UNDERSCORED.sub(lambda found: found.group(1).upper(), name)


@functools.cache
def _to_snake(name: str) -> str:
    return _CAPITAL.sub(r'_\1', name).lower()
