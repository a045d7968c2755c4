"""One fault found in a sheet."""

import attrs


@attrs.frozen
class SheetFault:
    """Names the row, the column and what is wrong.

    Rows are counted from 1, blank ones included, as a spreadsheet does; 0
    stands for an entity that the sheet does not hold. column is a heading,
    or a letter where there is no heading, or empty for the whole row.
    """

    row: int
    column: str
    reason: str
    is_warning: bool = False

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        level = 'warning: ' if self.is_warning else ''
        row = f'row {self.row}' if self.row else ''
        column = f'column {self.column}' if self.column else ''
        place = ', '.join(filter(None, (row, column)))
        return f'{level}{place}: {self.reason}' if place else self.reason
