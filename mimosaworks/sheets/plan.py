"""What applying a sheet would change."""

from collections.abc import Iterable, Iterator

import attrs

from mimosaworks.admin import Fault, check_changes
from mimosaworks.entities import Catalogue, Change, Entity
from mimosaworks.sheets.columns import heading_of
from mimosaworks.sheets.fault import SheetFault
from mimosaworks.sheets.plan_step import Difference, PlanStep
from mimosaworks.sheets.sheet import Place, Sheet


@attrs.frozen
class Plan:
    """The steps from a version to what the sheet asks for, as one change."""

    base_version: int
    steps: tuple[PlanStep, ...]
    faults: tuple[SheetFault, ...]
    warnings: tuple[SheetFault, ...]

    @property
    def changes(self) -> tuple[Change, ...]:
        """The changes of all steps."""
        return tuple(step.change for step in self.steps)


def plan_sheet(sheet: Sheet, catalogue: Catalogue, prune: bool) -> Plan:
    """Return the plan of a sheet, with the faults between entities.

    With prune, entities that the sheet lacks are deleted, but only those of
    kinds of which the sheet has at least one row.
    """
    steps = tuple(_puts(sheet, catalogue))
    if prune:
        steps += tuple(_deletions(sheet, catalogue))
    changes = [step.change for step in steps]
    found = list(_entity_faults(sheet, check_changes(catalogue, changes)))
    faults = (fault for fault in found if not fault.is_warning)
    warnings = tuple(fault for fault in found if fault.is_warning)
    return Plan(catalogue.version, steps, (*sheet.faults, *faults), warnings)


def _puts(sheet: Sheet, catalogue: Catalogue) -> Iterator[PlanStep]:
    for (kind, name), entity in sheet.entities.items():
        present = getattr(catalogue, kind).get(name)
        change = Change(kind, name, entity)
        if present is None:
            yield PlanStep('create', change)
        elif present != entity:
            yield PlanStep('update', change, _differences(present, entity))


def _differences(before: Entity, after: Entity) -> tuple[Difference, ...]:
    names = [field.name for field in attrs.fields(type(before))]
    pairs = (
        Difference(name, getattr(before, name), getattr(after, name))
        for name in names
    )
    return tuple(pair for pair in pairs if pair.before != pair.after)


def _deletions(sheet: Sheet, catalogue: Catalogue) -> Iterator[PlanStep]:
    for kind in sorted({kind for kind, _ in sheet.rows}):
        for name in getattr(catalogue, kind):
            if (kind, name) not in sheet.rows:
                yield PlanStep('delete', Change(kind, name))


def _entity_faults(
    sheet: Sheet, faults: Iterable[Fault]
) -> Iterator[SheetFault]:
    # What refers to a row that could not be read is at no fault itself.
    places = set(sheet.rows).difference(sheet.entities)
    unread = {name for _, name in places if name}
    for fault in faults:
        if fault.missing not in unread:
            yield _sheet_fault(sheet, fault)


def _sheet_fault(sheet: Sheet, fault: Fault) -> SheetFault:
    place: Place = fault.kind, fault.name
    row = sheet.rows.get(place)
    if row is None:
        return SheetFault(0, '', str(fault), fault.is_warning)
    heading = heading_of(fault.kind, fault.attribute, row.cells)
    return SheetFault(row.number, heading, fault.reason, fault.is_warning)
