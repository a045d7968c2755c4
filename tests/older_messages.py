"""Encodes and decodes messages with the sources that are found first.

Its argument is "make": writes a message of each type with a value in each
field; or "read": reads such lines, and writes what it makes of them.
"""

import base64
import json
import sys
import types
from collections.abc import Iterator, Mapping
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from mimosaworks import wire

SOME: Mapping[Any, Any] = types.MappingProxyType({
    str: 'some',
    int: 7,
    float: 1.5,
    bool: True,
})


def fill(kind: Any) -> Any:
    """Return a value of a type that is not the default of any field."""
    if attrs.has(kind):
        hints = get_type_hints(kind)
        names = [field.name for field in attrs.fields(kind)]
        return kind(**{name: fill(hints[name]) for name in names})
    if get_origin(kind) is tuple:
        each = fill(get_args(kind)[0])
        return (each, each)
    return SOME[kind]


def list_types() -> Iterator[type[Any]]:
    """Yield the types of all messages."""
    for name in sorted(wire.__all__):
        kind = getattr(wire, name)
        if attrs.has(kind) and kind is not wire.PeerClient:
            yield kind


def pack(message: object) -> str:
    """Return an encoded message as text."""
    return base64.b64encode(wire.encode(message)).decode()


def make() -> dict[str, str]:
    """Return a message of each type, by its name."""
    return {kind.__name__: pack(fill(kind)) for kind in list_types()}


def read(made: dict[str, str]) -> dict[str, Any]:
    """Return the fields of such messages, of those types that are known."""
    return {
        kind.__name__: attrs.asdict(
            wire.decode(kind, base64.b64decode(made[kind.__name__]))
        )
        for kind in list_types()
        if kind.__name__ in made
    }


if __name__ == '__main__':
    shown = make() if sys.argv[1] == 'make' else read(json.load(sys.stdin))
    sys.stdout.write(json.dumps([wire.__file__, shown]))
