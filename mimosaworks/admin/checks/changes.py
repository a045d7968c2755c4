"""Checks what changes would bring into a configuration."""

from collections.abc import Iterator, Sequence

from mimosaworks.admin.checks.keys import key_faults
from mimosaworks.admin.checks.models import adapter_faults, model_faults
from mimosaworks.admin.checks.routes import route_faults
from mimosaworks.admin.checks.targets import target_faults
from mimosaworks.admin.fault import Fault
from mimosaworks.entities import Catalogue, Change, apply_changes


def check_changes(
    catalogue: Catalogue, changes: Sequence[Change]
) -> tuple[Fault, ...]:
    """Return the faults and warnings that the changes would bring in.

    What was at fault before is left out, so that it can't block a change of
    another entity.
    """
    absent = tuple(_absent_faults(catalogue, changes))
    changed = apply_changes(catalogue, changes, catalogue.version)
    found = check_catalogue(changed)
    known = set(check_catalogue(catalogue)) if found else set()
    return absent + tuple(fault for fault in found if fault not in known)


def check_catalogue(catalogue: Catalogue) -> tuple[Fault, ...]:
    """Return all faults and warnings between the entities."""
    return (
        *key_faults(catalogue),
        *adapter_faults(catalogue),
        *model_faults(catalogue),
        *target_faults(catalogue),
        *route_faults(catalogue),
    )


def _absent_faults(
    catalogue: Catalogue, changes: Sequence[Change]
) -> Iterator[Fault]:
    for change in changes:
        is_absent = change.name not in getattr(catalogue, change.kind)
        if change.entity is None and is_absent:
            yield Fault(change.kind, change.name, '', 'there is no such entity')
