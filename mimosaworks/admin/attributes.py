"""Builds entities from untyped attributes and reports every fault."""

import math
import re
import types
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

from mimosaworks.admin.fault import Fault
from mimosaworks.entities import ENTITY_TYPES, Entity

NAME_LENGTH_MAX = 200  # characters
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:@-]*')
# Model names often carry their publisher's name before a slash. The names of
# other entities are parts of row keys, where a slash would be ambiguous.
_MODEL_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:@/-]*')
_KINDS_WITH_SLASH = ('model', 'adapter')
_ACCEPTED_TYPES = types.MappingProxyType({
    bool: ((bool,), 'true or false'),
    int: ((int,), 'a whole number'),
    float: ((int, float), 'a finite number'),
    str: ((str,), 'text'),
})

Report = Callable[[str, str], None]


def build_entity(
    kind: str, name: str, raw: Mapping[str, Any], report: Report
) -> Entity | None:
    """Return the entity that the attributes describe.

    Calls report with the attribute and the reason for each fault, and
    returns None if there was any. Types are not converted: a text is no
    number, and only true and false are Boolean.
    """
    entity_type = ENTITY_TYPES[kind]
    faults = list(_attribute_faults(entity_type, {**raw, 'name': name}))
    faults.extend(_name_faults(kind, name))
    faults.extend(_mismatch_faults(name, raw))
    for attribute, reason in faults:
        report(attribute, reason)
    if faults:
        return None
    return entity_type(**{**raw, 'name': name})


def fault_reporter(kind: str, name: str, faults: list[Fault]) -> Report:
    """Return a function that adds an entity's faults to the list."""

    def report(attribute: str, reason: str) -> None:
        faults.append(Fault(kind, name, attribute, reason))

    return report


def _attribute_faults(
    entity_type: type[Entity], raw: Mapping[str, Any]
) -> Iterator[tuple[str, str]]:
    fields = attrs.fields_dict(entity_type)
    for unknown in sorted(set(raw) - set(fields)):
        yield unknown, 'unknown attribute'
    for name, field in fields.items():
        content = raw.get(name, field.default)
        if content is attrs.NOTHING:
            yield name, 'is required'
        else:
            yield from _value_faults(field, content)


def _value_faults(
    field: 'attrs.Attribute[Any]', content: object
) -> Iterator[tuple[str, str]]:
    reason = _type_fault(field.type, content)
    if reason:
        yield field.name, reason
    elif field.validator is not None:
        try:
            field.validator(None, field, content)
        except ValueError as exc:
            yield field.name, str(exc.args[0])


def _type_fault(wanted: Any, content: object) -> str:
    accepted, noun = _ACCEPTED_TYPES[wanted]
    # A Boolean is an int in Python but never a count or an amount here.
    is_boolean = isinstance(content, bool)
    is_wanted = isinstance(content, accepted) and is_boolean is (wanted is bool)
    if is_wanted and (wanted is not float or _is_finite(content)):
        return ''
    return f'must be {noun}, not {content!r}'


def _is_finite(content: Any) -> bool:
    try:
        return math.isfinite(content)
    except OverflowError:
        return False


def _name_faults(kind: str, name: str) -> Iterator[tuple[str, str]]:
    has_slash = kind in _KINDS_WITH_SLASH
    pattern = _MODEL_NAME if has_slash else _NAME
    if not pattern.fullmatch(name) or len(name) > NAME_LENGTH_MAX:
        marks = '. _ : @ - /' if has_slash else '. _ : @ -'
        yield (
            'name',
            f'must be 1 to {NAME_LENGTH_MAX} letters, digits and {marks}, '
            'beginning with a letter or digit',
        )


def _mismatch_faults(
    name: str, raw: Mapping[str, Any]
) -> Iterator[tuple[str, str]]:
    if raw.get('name', name) != name:
        yield 'name', f'{raw["name"]!r} differs from {name!r}'
