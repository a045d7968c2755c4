"""Sheets that planners export as CSV."""

from mimosaworks.sheets.cell_error import CellError
from mimosaworks.sheets.columns import all_headings, columns_of
from mimosaworks.sheets.fault import SheetFault
from mimosaworks.sheets.plan import Plan, plan_sheet
from mimosaworks.sheets.plan_step import Difference, PlanStep
from mimosaworks.sheets.reading import entity_of_row, read_sheet
from mimosaworks.sheets.row import SheetRow
from mimosaworks.sheets.sheet import Sheet

__all__ = [
    'CellError',
    'Difference',
    'Plan',
    'PlanStep',
    'Sheet',
    'SheetFault',
    'SheetRow',
    'all_headings',
    'columns_of',
    'entity_of_row',
    'plan_sheet',
    'read_sheet',
]
