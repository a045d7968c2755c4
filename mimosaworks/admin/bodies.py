"""Reads changes from request bodies and reports every fault at once."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from mimosaworks.admin.attributes import build_entity, fault_reporter
from mimosaworks.admin.fault import Fault
from mimosaworks.admin.refusals import InvalidChangeError
from mimosaworks.entities import ENTITY_TYPES, Change
from mimosaworks.errors import ErrorKind, RequestError

_CHANGE_FIELDS = frozenset(('kind', 'name', 'entity'))


def parse_entity(kind: str, name: str, body: bytes) -> Change:
    """Return the change that puts the entity of a PUT request's body.

    Raises RequestError when the body is no JSON object and
    InvalidChangeError, with all faults, when the attributes are not valid.
    """
    faults: list[Fault] = []
    change = _put(kind, name, _json_object(_load(body)), faults)
    if change is None:
        raise InvalidChangeError(faults)
    return change


def parse_changes(body: bytes) -> tuple[Change, ...]:
    """Return the changes of a POST request's body, {"changes": [...]}.

    Raises as parse_entity.
    """
    listed = _json_object(_load(body)).get('changes')
    if not isinstance(listed, list):
        raise RequestError(ErrorKind.BAD_REQUEST, 'changes must be a list')
    faults: list[Fault] = []
    changes = tuple(_listed_changes(listed, faults))
    if faults:
        raise InvalidChangeError(faults)
    return changes


def _listed_changes(
    listed: list[object], faults: list[Fault]
) -> Iterator[Change]:
    seen: set[tuple[str, str]] = set()
    for position, raw in enumerate(listed):
        change = _listed_change(position, raw, faults)
        if change is None:
            continue
        if (change.kind, change.name) in seen:
            faults.append(
                Fault(change.kind, change.name, '', 'is changed twice')
            )
        seen.add((change.kind, change.name))
        yield change


def _listed_change(
    position: int, raw: object, faults: list[Fault]
) -> Change | None:
    reason = _shape_fault(raw)
    if reason:
        faults.append(Fault('', '', f'changes[{position}]', reason))
        return None
    fields = _json_object(raw)
    kind, name = fields['kind'], fields['name']
    if fields.get('entity') is None:
        return Change(kind, name)
    return _put(kind, name, fields['entity'], faults)


def _shape_fault(raw: object) -> str:
    if not isinstance(raw, dict):
        return 'must be an object'
    if set(raw) - _CHANGE_FIELDS:
        return 'must have the members kind, name and entity only'
    if not isinstance(raw.get('name'), str):
        return 'name must be text'
    if not isinstance(raw.get('entity'), dict | None):
        return 'entity must be an object or null'
    kind = raw.get('kind')
    if not isinstance(kind, str) or kind not in ENTITY_TYPES:
        kinds = ', '.join(ENTITY_TYPES)
        return f'kind must be one of {kinds}'
    return ''


def _put(
    kind: str, name: str, raw: Mapping[str, Any], faults: list[Fault]
) -> Change | None:
    entity = build_entity(kind, name, raw, fault_reporter(kind, name, faults))
    return None if entity is None else Change(kind, name, entity)


def _load(body: bytes) -> object:
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f'the body is not JSON: {exc}'
        ) from exc


def _json_object(loaded: object) -> dict[str, Any]:
    if not isinstance(loaded, dict):
        raise RequestError(
            ErrorKind.BAD_REQUEST, 'the body must be a JSON object'
        )
    return loaded
